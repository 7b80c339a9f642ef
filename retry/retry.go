// Package retry limits the number of retries and draws the delay before each.
package retry

import (
	"math/rand/v2"
	"time"

	"github.com/briarrouter/briarrouter/unit"
)

// Budget allows retries in proportion to the first attempts of a service, so that
// retries cannot multiply the load on a service that fails as a whole. It is a
// token bucket, and is not safe for concurrent use.
type Budget struct {
	cfg Config
	// tokens is between 0 and the burst; a retry takes one.
	tokens float64
	// maxBurst is the largest burst so far. Tokens are added only when the burst
	// exceeds it, so that a burst that shrinks and grows again does not refill them.
	maxBurst float64
}

type Config struct {
	// Share is the number of retries allowed per first attempt.
	Share unit.Ratio
	// Burst is the capacity of the token bucket; zero means defaultBurst. The retries
	// in any interval are at most Burst plus Share times the first attempts in it.
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
func NewBudget(cfg Config) *Budget {
	return &Budget{cfg: cfg, tokens: cfg.burst(), maxBurst: cfg.burst()}
}

const (
	// idleBurst is the burst of a daemon that callers are not directed to. It is
	// less than one, so that such a daemon makes no retries: it gets only stray
	// requests, and a hundred such daemons would take too much of the total from
	// the replicas.
	idleBurst = 0.5
	// replicaShare is the fraction of the total burst that is divided among the
	// replicas. The rest is a reserve for the time around the replacement of a
	// replica, in which both the old and the new one can spend a burst.
	replicaShare = 0.85
)

// BurstShare returns the burst of one daemon, so that the bursts of all daemons
// stay within a total. It is for platforms that limit the retries of all daemons
// together, since the daemons share no counter. The argument replicas is the number
// of daemons that callers are directed to, and serving tells whether this daemon is
// one of them. A replica has a burst of at least 1, even if the sum then exceeds the
// total.
func BurstShare(total float64, serving bool, replicas int) float64 {
	if !serving || replicas == 0 {
		return idleBurst
	}
	return max(1, replicaShare*total/float64(replicas))
}

// SetConfig changes the configuration. Tokens beyond the new burst are lost.
func (b *Budget) SetConfig(cfg Config) {
	b.cfg = cfg
	if burst := cfg.burst(); burst > b.maxBurst {
		b.tokens += burst - b.maxBurst
		b.maxBurst = burst
	}
	b.tokens = min(b.tokens, cfg.burst())
}

// RecordFirstAttempt adds Share tokens for the first attempt of a request.
func (b *Budget) RecordFirstAttempt() { b.tokens = min(b.cfg.burst(), b.tokens+float64(b.cfg.Share)) }

// TryTake takes a token for one retry and reports whether there was one.
func (b *Budget) TryTake() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Burst returns the capacity of the token bucket.
func (b *Budget) Burst() float64 { return b.cfg.burst() }

// Tokens returns the number of tokens. A retry needs a whole one.
func (b *Budget) Tokens() float64 { return b.tokens }

const (
	firstBackoff = 5 * time.Millisecond
	maxBackoff   = 200 * time.Millisecond
)

// Backoff returns the delay before the given retry, counted from 1. The delay is
// drawn uniformly from zero to a bound that doubles with each retry, up to
// maxBackoff.
func Backoff(retry int, random *rand.Rand) time.Duration {
	bound := min(maxBackoff, firstBackoff<<min(retry-1, 10))
	return time.Duration(random.Int64N(int64(bound)))
}
