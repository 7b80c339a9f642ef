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
func NewBudget(cfg Config) *Budget { return &Budget{cfg: cfg, tokens: cfg.burst()} }

// SetConfig changes what is allowed.
func (b *Budget) SetConfig(cfg Config) {
	b.cfg = cfg
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
