package registry

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/briarrouter/briarrouter/clock"
)

const (
	// minRetryDelay and maxRetryDelay bound the pause after a failed call. The
	// platform charges for refused calls too, which speaks for a long pause, but a
	// change that it acknowledges after an outage must be in force within two
	// seconds.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 800 * time.Millisecond
	// batchDelay is the pause after a call that returned changes, as a share of the time
	// in which they must be in force. When targets start or are replaced, more changes
	// follow shortly; each call is charged, and each batch goes to every daemon.
	batchDelay = 0.1
	// watchWait is how long a call waits for a change, as a share of the same time. The
	// platform charges for each call, which favors a long wait. But a pending call can
	// miss a change or lose its connection without an error, so it must end early enough
	// for a later one to find the change in time.
	watchWait = 0.4
	// recheckWait is how long the call after a failed one waits. Since pending watches
	// can be cut by a platform that answers everything else, only a call that does not
	// wait shows whether the platform is down.
	recheckWait = time.Millisecond
)

// platformReader reads from the platform in a goroutine of its own. Its first call
// lists everything, because a copy received from a peer may still contain targets
// whose removal the peer delays.
type platformReader struct {
	registry *Registry
	ctx      context.Context
	cancel   context.CancelFunc
	// listed is set once a listing is complete, so that the next call can watch
	// for changes after it.
	listed bool
	// position is the position after which the next call waits for changes.
	position Position
	// failures counts consecutive failed calls.
	failures int
	// retryDelay is the longest pause after the next failed call. It grows until a call
	// succeeds that was not made to recheck the platform.
	retryDelay time.Duration
}

func newPlatformReader(r *Registry) *platformReader {
	ctx, cancel := context.WithCancel(r.ctx)
	return &platformReader{registry: r, ctx: ctx, cancel: cancel, retryDelay: minRetryDelay}
}

func (p *platformReader) run() {
	for p.ctx.Err() == nil {
		if p.readOnce() {
			continue
		}
		clock.Sleep(p.ctx, p.retryDelay/2+rand.N(p.retryDelay/2))
		p.retryDelay = min(2*p.retryDelay, p.retryDelayLimit())
	}
}

func (p *platformReader) retryDelayLimit() time.Duration {
	r := p.registry
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.selector.retryDelayLimit(len(r.followers))
}

// readOnce makes one call, applies its result and reports whether the next call
// may follow without a delay.
func (p *platformReader) readOnce() bool {
	r := p.registry
	r.mu.Lock()
	r.platformCalls++
	r.mu.Unlock()
	r.cfg.Scope.Counter("platform_calls").Inc(1)
	started := time.Now()
	var l Listing
	var err error
	if p.listed {
		l, err = r.cfg.Platform.Watch(p.ctx, p.position.Revision, p.wait())
	} else {
		l, err = r.cfg.Platform.List(p.ctx)
	}
	if err == nil {
		err = p.checkEra(l)
	}
	switch {
	case p.ctx.Err() != nil:
		return false
	case p.listed && errors.Is(err, ErrHistoryLost):
		r.cfg.Log.Warn().Uint64("Era", uint64(p.position.Era)).Uint64("Revision", uint64(p.position.Revision)).
			Msg("platform lost its history; everything is listed anew")
		p.listed = false
		return true
	case err != nil:
		p.recordFailure(err)
		return false
	}
	p.apply(l, started)
	if !l.Full && len(l.Updates) > 0 {
		clock.Sleep(p.ctx, r.selector.shareOfInForce(batchDelay))
	}
	return true
}

// checkEra returns ErrHistoryLost for changes of a later era than those before them, and
// another error for data of an earlier era than that of the copy.
func (p *platformReader) checkEra(l Listing) error {
	p.registry.mu.Lock()
	era := p.registry.view.Era()
	p.registry.mu.Unlock()
	switch {
	case l.Era < era:
		return fmt.Errorf("registry: platform answers with data of era %d after era %d", l.Era, era)
	case !l.Full && l.Era != p.position.Era:
		return ErrHistoryLost
	default:
		return nil
	}
}

// wait returns how long the next watch waits for a change.
func (p *platformReader) wait() time.Duration {
	if p.failures > 0 {
		return recheckWait
	}
	return p.registry.selector.shareOfInForce(watchWait)
}

func (p *platformReader) recordFailure(err error) {
	r := p.registry
	p.failures++
	r.cfg.Scope.Counter("platform_failures").Inc(1)
	r.mu.Lock()
	if p.failures > 1 {
		// One failure can be just a cut connection. The platform counts as down when
		// the recheck fails too.
		r.view.MarkPlatformDown()
	}
	revision, age := r.view.Revision(), r.age(time.Now(), true)
	r.mu.Unlock()
	event := r.cfg.Log.Debug()
	if p.failures == 1 {
		event = r.cfg.Log.Warn()
	}
	event.Int("Failures", p.failures).Uint64("Revision", uint64(revision)).Dur("Age", age).AnErr("Cause", err).Msg("platform does not answer")
}

// apply applies a response of the platform. A full listing is complete as of the
// start of the call, a list of changes as of its end.
func (p *platformReader) apply(l Listing, started time.Time) {
	r := p.registry
	now := time.Now()
	r.mu.Lock()
	before, era := r.view.Configuration(), r.view.Era()
	applied := r.view.ApplyFromPlatform(now, l)
	r.restartFeedAfter(era)
	p.position.Revision = max(p.position.Revision, l.Revision)
	if l.Full {
		p.position = Position{l.Era, l.Revision}
		r.confirmFromPlatform(started)
	} else {
		r.confirmFromPlatform(now)
	}
	r.mu.Unlock()
	if p.failures > 0 {
		r.cfg.Log.Info().Int("Failures", p.failures).Uint64("Revision", uint64(l.Revision)).
			Bool("RemovalsDelayed", p.failures > 1).Msg("platform answers again")
	} else {
		p.retryDelay = minRetryDelay
	}
	p.failures, p.listed = 0, true
	r.publish(applied, before)
}
