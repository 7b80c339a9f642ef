// Package departure decides which requests a daemon takes while it is being stopped.
// Callers that ask for addresses are told to use other daemons, but some keep an address
// that they were given earlier, or an open connection, until the daemon is gone. What is
// still in progress at the end is cut off.
package departure

import "time"

// Plan is the course of a planned stop. It is immutable.
type Plan struct {
	// HeldUntil is when the addresses expire that callers were given before the stop
	// was announced. Until then callers cannot know better.
	HeldUntil time.Time
	// CutAt is when requests in progress are cut off.
	CutAt time.Time
}

// Request is what decides about a request.
type Request struct {
	// Deadline is when the request ends at the latest, by its route and its caller.
	Deadline time.Time
	// Usual is the mean duration of requests of its kind; zero if none has been
	// observed.
	Usual time.Duration
}

const (
	// longestFactor is the multiple of the usual duration that nearly all requests of a
	// kind stay within, whose durations are distributed with a long tail.
	longestFactor = 7
	// RetryAfter is the delay after which a rejected caller may retry. The other daemons
	// can serve it at once.
	RetryAfter = 50 * time.Millisecond
)

// Takes reports whether a request that arrives now is taken. It answers the load of
// callers that send to a daemon to the end of its stop: a request that could still be in
// progress when the rest is cut off is rejected while it has not run, so that its caller
// can go elsewhere, instead of being cut off with an unknown outcome.
func (p *Plan) Takes(now time.Time, r Request) bool {
	if now.Before(p.HeldUntil) || !r.Deadline.After(p.CutAt) {
		return true
	}
	return r.Usual > 0 && !now.Add(longestFactor*r.Usual).After(p.CutAt)
}
