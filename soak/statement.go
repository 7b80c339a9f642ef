package soak

import (
	"time"

	"github.com/briarrouter/briarrouter/id"
	"github.com/briarrouter/briarrouter/platform/platformtest"
)

const (
	// StatementsKept: a daemon process that passed on a response of a target that is
	// leaving sends it no request that a caller sent more than propagationBound later.
	// One that passed on a refusal with Retry-After sends the target at most
	// maxDuringBackoff requests from hearingTime later until that time is over. From
	// limitGrace after a target first named a limit, the processes that passed one on
	// hearingTime before send it, within limitWindow, at most limitFactor times as much
	// and limitSlack requests more. Faults excuse the last two.
	StatementsKept Promise = "StatementsKept"

	hearingTime      = 500 * time.Millisecond
	maxDuringBackoff = 2
	limitGrace       = 3 * time.Second
	limitWindow      = 4 * time.Second
	limitFactor      = 1.5
	limitSlack       = 5
)

// listener is a daemon process that passed on a statement of a target.
type listener struct {
	process *daemonProcess
	target  id.Target
}

// backoff is the time for which a target wants no requests of a process.
type backoff struct {
	from, until time.Time
	// arrivals counts the requests that arrived meanwhile.
	arrivals int
}

// limit is a limit that a target names.
type limit struct {
	perSecond float64
	since     time.Time
	// heard is when each process first passed on a response that names the limit.
	heard map[*daemonProcess]time.Time
	// arrivals holds when requests of processes that had heard of the limit arrived.
	arrivals []time.Time
}

// statementChecker checks StatementsKept. It is part of a checker and used with its
// mutex held.
type statementChecker struct {
	leaving  map[listener]time.Time
	backoffs map[listener]*backoff
	limits   map[id.Target]*limit
}

func newStatementChecker() statementChecker {
	return statementChecker{leaving: make(map[listener]time.Time), backoffs: make(map[listener]*backoff), limits: make(map[id.Target]*limit)}
}

// statementMade handles a response with a statement to a request.
func (c *checker) statementMade(s platformtest.Statement) {
	c.mu.Lock()
	defer c.mu.Unlock()
	request := c.requests[s.Request]
	if request == nil {
		return
	}
	now, l := time.Now(), listener{request.process, s.Target}
	if _, known := c.statements.leaving[l]; s.Leaving && !known {
		c.statements.leaving[l] = now
	}
	if b := c.statements.backoffs[l]; s.Backoff > 0 && (b == nil || now.After(b.until)) {
		c.statements.backoffs[l] = &backoff{from: now.Add(hearingTime), until: now.Add(s.Backoff)}
	}
	named := c.statements.limits[s.Target]
	switch {
	case s.Limit == 0:
		delete(c.statements.limits, s.Target)
		return
	case named == nil || named.perSecond != s.Limit:
		named = &limit{perSecond: s.Limit, since: now, heard: make(map[*daemonProcess]time.Time)}
		c.statements.limits[s.Target] = named
	}
	if _, known := named.heard[request.process]; !known {
		named.heard[request.process] = now
	}
}

// requestArrived checks StatementsKept for a request that arrived at a target.
func (c *checker) requestArrived(r platformtest.Run) {
	c.mu.Lock()
	defer c.mu.Unlock()
	request := c.requests[r.Request]
	if request == nil {
		return
	}
	request.arrived = true
	now, l := time.Now(), listener{request.process, r.Target}
	if said, ok := c.statements.leaving[l]; ok && request.sent.After(said.Add(propagationBound)) {
		c.recordViolationLocked(StatementsKept, "request %s reached target %s %.1f s after daemon %s had passed on that it is leaving", r.Request, r.Target, now.Sub(said).Seconds(), l.process.daemon.name)
	}
	if b := c.statements.backoffs[l]; b != nil && now.After(b.from) && now.Before(b.until) {
		if b.arrivals++; b.arrivals > maxDuringBackoff && c.faults.noneSince(b.from) {
			c.recordViolationLocked(StatementsKept, "request %s is number %d of daemon %s to target %s, which wants none for another %s", r.Request, b.arrivals, l.process.daemon.name, r.Target, b.until.Sub(now))
		}
	}
	if named := c.statements.limits[r.Target]; named != nil {
		c.checkLimit(now, named, r, l.process)
	}
}

// checkLimit counts a request to a target that names a limit.
func (c *checker) checkLimit(now time.Time, named *limit, r platformtest.Run, p *daemonProcess) {
	if heard, ok := named.heard[p]; !ok || now.Sub(heard) < hearingTime || now.Sub(named.since) < limitGrace {
		return
	}
	named.arrivals = append(named.arrivals, now)
	for now.Sub(named.arrivals[0]) >= limitWindow {
		named.arrivals = named.arrivals[1:]
	}
	allowed := int(limitFactor*limitWindow.Seconds()*named.perSecond) + limitSlack
	if len(named.arrivals) > allowed && c.faults.noneSince(named.since) {
		c.recordViolationLocked(StatementsKept, "request %s is number %d within %s at target %s, which allows %d", r.Request, len(named.arrivals), limitWindow, r.Target, allowed)
	}
}
