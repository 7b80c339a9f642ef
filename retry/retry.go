// Package retry bounds how often and how soon idempotent work is tried again.
package retry

import (
	"math/rand/v2"
	"time"

	"github.com/briarrouter/briarrouter/unit"
)

// Budget allows retries in proportion to the first attempts of a service, so
// that retries cannot multiply the load of a service that fails as a whole.
type Budget struct {
	cfg Config
	// tokens is between 0 and the burst; a retry takes one.
	tokens float64
	// most is the largest burst so far. A budget is filled up to it once: one
	// that shrinks and grows must not fill anew.
	most float64
}

// Config makes a Budget.
type Config struct {
	// Share is how many retries are allowed for each first attempt.
	Share unit.Ratio
	// Burst is how many retries may follow each other after a quiet time; zero
	// stands for defaultBurst. Any span of time has at most Burst retries more
	// than Share allows for its attempts.
	Burst float64
}

const defaultBurst = 10

func (c Config) burst() float64 {
	if c.Burst == 0 {
		return defaultBurst
	}
	return c.Burst
}

// NewBudget returns a full budget.
func NewBudget(cfg Config) *Budget { return &Budget{cfg: cfg, tokens: cfg.burst(), most: cfg.burst()} }

const (
	// idleBurst is the burst of a daemon that callers are not steered to. It is
	// less than one retry: the stray requests that such a daemon gets are not
	// worth what a hundred of them would take from the others.
	idleBurst = 0.5
	// allotted is the part of a fleet's allowance that is dealt out. The rest is
	// for daemons that leave the set that callers use while others join it.
	allotted = 0.85
)

// Allot returns the burst of one daemon, so that the bursts of a fleet stay
// within a total allowance. It answers the load of a platform that counts the
// retries of all daemons together, which share nothing that they could count
// with. Serving tells that callers are steered to this daemon, as they are to
// the given number of servers in all.
func Allot(total float64, serving bool, servers int) float64 {
	if !serving || servers == 0 {
		return idleBurst
	}
	return max(1, allotted*total/float64(servers))
}

// SetConfig changes what is allowed.
func (b *Budget) SetConfig(cfg Config) {
	b.cfg = cfg
	if burst := cfg.burst(); burst > b.most {
		b.tokens += burst - b.most
		b.most = burst
	}
	b.tokens = min(b.tokens, cfg.burst())
}

// Attempt records a first attempt.
func (b *Budget) Attempt() { b.tokens = min(b.cfg.burst(), b.tokens+float64(b.cfg.Share)) }

// TryTake takes the right to one retry.
func (b *Budget) TryTake() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Burst returns how many retries may follow each other after a quiet time.
func (b *Budget) Burst() float64 { return b.cfg.burst() }

// Tokens returns how many retries are allowed now.
func (b *Budget) Tokens() float64 { return b.tokens }

const (
	firstBackoff = 5 * time.Millisecond
	maxBackoff   = 200 * time.Millisecond
)

// Backoff returns how long to wait before the given retry, counted from 1. The
// time is drawn evenly from zero to a bound that doubles.
func Backoff(retry int, random *rand.Rand) time.Duration {
	bound := min(maxBackoff, firstBackoff<<min(retry-1, 10))
	return time.Duration(random.Int64N(int64(bound)))
}
