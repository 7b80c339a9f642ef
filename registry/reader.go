package registry

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/briarrouter/briarrouter/clock"
)

const (
	// firstDelay and maxDelay bound the pause after a failed call. The platform
	// charges refused calls too, and what it acknowledges after its return must
	// be in force two seconds later.
	firstDelay = 100 * time.Millisecond
	maxDelay   = 800 * time.Millisecond
	// gatherTime is the pause after changes came: more of them are on their way
	// when targets start or are replaced, and each call is charged.
	gatherTime = 100 * time.Millisecond
)

// reader is the task that reads from the platform while this daemon is one of
// those that do. It lists everything first: a copy that came from a peer may
// lack a removal that the peer held back.
type reader struct {
	registry *Registry
	ctx      context.Context
	cancel   context.CancelFunc
	// listed tells that changes can be waited for.
	listed bool
	after  Revision
	// failures counts the calls in a row that failed.
	failures int
}

func newReader(r *Registry) *reader {
	ctx, cancel := context.WithCancel(r.context)
	return &reader{registry: r, ctx: ctx, cancel: cancel}
}

func (x *reader) run() {
	delay := firstDelay
	for x.ctx.Err() == nil {
		if x.step() {
			delay = firstDelay
			continue
		}
		clock.Sleep(x.ctx, delay/2+rand.N(delay/2))
		delay = min(2*delay, x.longestDelay())
	}
}

// longestDelay returns the longest pause between two calls that fail.
func (x *reader) longestDelay() time.Duration {
	r := x.registry
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.chooser.longestDelay(len(r.followers))
}

// step makes one call, takes its result, and tells whether it succeeded.
func (x *reader) step() bool {
	r := x.registry
	r.mu.Lock()
	r.calls++
	r.mu.Unlock()
	r.cfg.Scope.Counter("platform_calls").Inc(1)
	started := time.Now()
	var l Listing
	var err error
	if x.listed {
		l, err = r.cfg.Source.Watch(x.ctx, x.after)
	} else {
		l, err = r.cfg.Source.List(x.ctx)
	}
	switch {
	case x.ctx.Err() != nil:
		return false
	case errors.Is(err, ErrHistoryLost):
		r.cfg.Log.Warn().Uint64("Revision", uint64(x.after)).Msg("platform lost its history; everything is listed anew")
		x.listed = false
		return true
	case err != nil:
		x.failed(err)
		return false
	}
	x.take(l, started)
	if !l.Whole && len(l.Updates) > 0 {
		clock.Sleep(x.ctx, gatherTime)
	}
	return true
}

func (x *reader) failed(err error) {
	r := x.registry
	x.failures++
	r.cfg.Scope.Counter("platform_failures").Inc(1)
	r.mu.Lock()
	if x.failures > 1 {
		// One failed call may be a connection that was cut.
		r.view.Away()
	}
	at, age := r.view.At(), r.age(time.Now(), true)
	r.mu.Unlock()
	event := r.cfg.Log.Debug()
	if x.failures == 1 {
		event = r.cfg.Log.Warn()
	}
	event.Int("Failures", x.failures).Uint64("Revision", uint64(at)).Dur("Age", age).AnErr("Cause", err).Msg("platform does not answer")
}

// take takes an answer of the platform. A listing is complete as of the start of
// the call, changes as of its end.
func (x *reader) take(l Listing, started time.Time) {
	r := x.registry
	now := time.Now()
	r.mu.Lock()
	before := r.view.Configuration()
	effects := r.view.FromPlatform(now, l)
	x.after = max(x.after, l.At)
	if l.Whole {
		x.after = l.At
		r.confirm("", started)
	} else {
		r.confirm("", now)
	}
	r.mu.Unlock()
	if x.failures > 0 {
		r.cfg.Log.Info().Int("Failures", x.failures).Uint64("Revision", uint64(l.At)).Msg("platform answers again")
	}
	x.failures, x.listed = 0, true
	r.publish(effects, before)
}
