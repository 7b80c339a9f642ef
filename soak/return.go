package soak

import (
	"fmt"
	"time"

	"github.com/briarrouter/briarrouter/clock"
)

const (
	// returnShare is the probability that the store returns from an older copy in a round.
	returnShare = 0.4
	// maxLostChanges is the maximum number of changes that such a return loses.
	maxLostChanges = 12
	// maxReturnOutage is the exclusive limit of the store's outage before it.
	maxReturnOutage = time.Second
	// maxRewriteDelay is the exclusive limit of the time after which what was lost is
	// written again, and lapseDelay that after which the store removes the entries of
	// targets that are gone, since nobody renews them.
	maxRewriteDelay = 1500 * time.Millisecond
	lapseDelay      = 3 * time.Second
)

// drawReturn returns a fault in which the store becomes unavailable and returns from an
// older copy, or nil. It draws from a generator of its own, so that the faults of older
// seeds stay the same.
func (j *injector) drawReturn() *fault {
	if j.returns.Float64() >= returnShare {
		return nil
	}
	s := j.soak
	changes := 1 + j.returns.IntN(maxLostChanges)
	rewrite := time.Duration(j.returns.Int64N(int64(maxRewriteDelay)))
	return &fault{
		name:     fmt.Sprintf("return of the store without its last %d changes", changes),
		delay:    time.Duration(j.returns.Int64N(int64(maxFaultDelay))),
		duration: time.Duration(j.returns.Int64N(int64(maxReturnOutage))),
		begin:    func() { s.store.SetUnavailable(true) },
		end: func() {
			lost := s.store.ReturnFromCopy(changes)
			s.store.SetUnavailable(false)
			clock.Sleep(s.context, rewrite)
			s.store.WriteAgain(lost, func(_ string, removed bool) bool { return !removed })
			clock.Sleep(s.context, lapseDelay-rewrite)
			s.store.WriteAgain(lost, func(_ string, removed bool) bool { return removed })
		},
	}
}

// settleDrains records the draining targets of which every daemon process must know that
// they drain. It is called before faults begin.
func (c *checker) settleDrains() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for t, since := range c.draining {
		if _, ok := c.settled[t]; !ok && time.Since(since) > propagationBound && c.faults.noneSince(since) {
			c.settled[t] = time.Now()
		}
	}
}

// checkSettled checks that a process does not forget a drain that it must have known,
// whatever faults occur. The caller must hold c.mu.
func (c *checker) checkSettled(request *requestRecord, run string, since, settled time.Time) {
	if request.process.startedAt.Before(since) && request.sent.After(settled) {
		c.recordViolationLocked(LeavingGetsNothing, "%s %.1f s after the target began to drain; daemon %s had known of it for %.1f s",
			run, time.Since(since).Seconds(), request.process.daemon.name, request.sent.Sub(settled).Seconds())
	}
}
