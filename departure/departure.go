// Package departure decides which requests a daemon takes while it is being stopped.
// Callers that ask for addresses are told to use other daemons, but some keep an address
// that they were given earlier, or an open connection, until the daemon is gone. What is
// still in progress at the end is cut off.
package departure

import (
	"errors"
	"time"
)

// ErrCutOff is the cause for which the contexts of the requests that are in progress at
// the end of a stop are cancelled.
var ErrCutOff = errors.New("the daemon is being stopped")

// Plan is the course of a planned stop. It is immutable.
type Plan struct {
	// HeldUntil is when the addresses expire that callers were given before the stop
	// was announced. Until then callers cannot know better.
	HeldUntil time.Time
	// CutAt is when requests in progress are cut off.
	CutAt time.Time
}

// RetryAfter is the delay after which a rejected caller may retry. The other daemons
// can serve it at once.
const RetryAfter = 50 * time.Millisecond

// Takes reports whether a request that arrives now and ends by its deadline is taken.
// It answers the load of callers that send to a daemon until the end of its stop: a
// request that could still be in progress at the cut is rejected before it has run, so
// that its caller can go elsewhere. Only the deadline bounds how long a request takes;
// observed durations do not, since they have a long tail.
func (p *Plan) Takes(now, deadline time.Time) bool {
	return now.Before(p.HeldUntil) || !deadline.After(p.CutAt)
}
