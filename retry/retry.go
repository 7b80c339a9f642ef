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
	share unit.Ratio
	// tokens is between 0 and burst; a retry takes one.
	tokens float64
}

// burst is how many retries may follow each other after a quiet time.
const burst = 10

// NewBudget returns a full budget that allows share retries for each attempt.
func NewBudget(share unit.Ratio) *Budget { return &Budget{share: share, tokens: burst} }

// SetShare changes the share.
func (b *Budget) SetShare(share unit.Ratio) { b.share = share }

// Attempt records a first attempt.
func (b *Budget) Attempt() { b.tokens = min(burst, b.tokens+float64(b.share)) }

// TryTake takes the right to one retry.
func (b *Budget) TryTake() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

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
