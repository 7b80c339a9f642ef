package soak

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/briarrouter/briarrouter/id"
	"github.com/briarrouter/briarrouter/platform/platformtest"
)

// Promise names a property that the system guarantees to callers and targets.
type Promise string

const (
	// OnlyAsked: targets run only requests that a caller sent.
	OnlyAsked Promise = "OnlyAsked"
	// AtMostOnce: a non-idempotent request runs at most once.
	AtMostOnce Promise = "AtMostOnce"
	// NotRunIsTrue: if a response guarantees that a request has not run, the request
	// has run neither before nor after it. This is checked for non-idempotent
	// requests only.
	NotRunIsTrue Promise = "NotRunIsTrue"
	// OwnAnswer: a successful response is complete and belongs to the caller's own
	// request, and that request has run. Callers are directed only to addresses of
	// daemons.
	OwnAnswer Promise = "OwnAnswer"
	// LeavingGetsNothing: a draining target receives no request that a caller sent
	// more than propagationBound after the target began to drain, unless a fault may
	// have delayed the drain notice. A process that has known of it never forgets it.
	LeavingGetsNothing Promise = "LeavingGetsNothing"
	// ConfigurationInForce: every daemon uses a new configuration within
	// propagationBound, unless a fault may have delayed it.
	ConfigurationInForce Promise = "ConfigurationInForce"
	// ConfigurationNeverBack: a daemon process never returns to an older
	// configuration.
	ConfigurationNeverBack Promise = "ConfigurationNeverBack"
	// StopCutsNothing: a planned stop that no fault can have affected interrupts no
	// running request and takes no longer than stopGrace. No daemon exits with a
	// non-zero code before the end of the soak.
	StopCutsNothing Promise = "StopCutsNothing"
	// Served: after faults, every daemon becomes ready within readyTimeout. Of the
	// requests that no fault can have affected, at least minServedShare are served.
	Served Promise = "Served"
)

// Violation is one observation that contradicts a Promise.
type Violation struct {
	Promise Promise
	// At is the time since the start of the soak.
	At   time.Duration
	What string
}

// String returns the violation as one line of a report.
func (v Violation) String() string {
	return fmt.Sprintf("%s at %.1f s: %s", v.Promise, v.At.Seconds(), v.What)
}

// requestRecord is what callers and targets have observed about one request.
type requestRecord struct {
	idempotent bool
	// key is the key that the request was sent with; its account is empty if there are no
	// client accounts.
	key  accountKey
	sent time.Time
	// process is the daemon process that the request was sent to.
	process *daemonProcess
	// runs counts how often a target started to run the request.
	runs int
	// executions holds the runs. arrived is set when the request reaches a target, and
	// behind if it was sent before an earlier one on its connection was answered.
	executions      []execution
	arrived, behind bool
	// refused is set when a response guarantees that the request has not run.
	refused bool
}

// Counts is the number of requests by result.
type Counts struct {
	// Refused counts responses that guarantee that the request has not run,
	// Failed other unsuccessful ones, and ConnectionErrors requests without a
	// complete response.
	Sent, Served, Refused, Failed, ConnectionErrors int
}

// checker compares what callers and targets observe with the promises.
type checker struct {
	started time.Time
	faults  *faultTracker

	mu         sync.Mutex
	requests   map[id.Request]*requestRecord
	violations []Violation
	counts     Counts
	// faultFreeSent counts the requests that no fault can have affected, and
	// faultFreeServed those of them that were served.
	faultFreeSent, faultFreeServed int
	// assignments has one element for each published configuration, oldest first.
	assignments []routeAssignment
	// draining maps each draining target to when it began to drain.
	draining map[id.Target]time.Time
	// settled maps the draining targets that every process must know of to the time since
	// when it does.
	settled    map[id.Target]time.Time
	statements statementChecker
	// losses checks Lost; nil while faults are injected.
	losses *lossChecker
}

// routeAssignment is the service that a published configuration assigns the route
// of reassignedPath to.
type routeAssignment struct {
	service id.Service
	// at is when the configuration was published.
	at time.Time
}

func newChecker(now time.Time, f *faultTracker) *checker {
	return &checker{started: now, faults: f, requests: make(map[id.Request]*requestRecord), draining: make(map[id.Target]time.Time), settled: make(map[id.Target]time.Time), statements: newStatementChecker()}
}

// maxViolations is the maximum number of violations that are kept. Later ones are
// dropped, since the first ones show the cause.
const maxViolations = 50

// recordViolationLocked is recordViolation for use with c.mu held.
func (c *checker) recordViolationLocked(promise Promise, format string, args ...any) {
	if len(c.violations) < maxViolations {
		c.violations = append(c.violations, Violation{promise, time.Since(c.started), fmt.Sprintf(format, args...)})
	}
}

func (c *checker) recordViolation(promise Promise, format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordViolationLocked(promise, format, args...)
}

// requestSent must be called before the request is sent, so that the request is
// known when a target runs it.
func (c *checker) requestSent(call platformtest.Call, to *daemonProcess, key accountKey) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.Sent++
	c.requests[call.Request] = &requestRecord{idempotent: call.Idempotent, key: key, sent: time.Now(), process: to}
}

const (
	// propagationBound is the time within which a change in the store takes effect
	// at daemons that no fault affects: 2 s, and 500 ms of slack for a busy machine.
	propagationBound = 2*time.Second + 500*time.Millisecond
	// inFlightSlack allows for requests in flight at a change of the configuration.
	// ConfigurationNeverBack is not checked for requests that were sent less than this
	// time after their daemon process was first seen to use its newest configuration.
	inFlightSlack = 250 * time.Millisecond
)

// requestStarted handles the start of a request on a target.
func (c *checker) requestStarted(r platformtest.Run) {
	c.mu.Lock()
	defer c.mu.Unlock()
	request := c.requests[r.Request]
	if request == nil {
		c.recordViolationLocked(OnlyAsked, "target %s ran request %s, which no caller sent", r.Target, r.Request)
		return
	}
	if request.key.account != "" {
		c.checkRunKey(request, r)
	}
	request.runs++
	request.executions = append(request.executions, execution{target: r.Target, began: time.Now()})
	if request.runs > 1 && !request.idempotent {
		c.recordViolationLocked(AtMostOnce, "request %s ran %d times, last on target %s", r.Request, request.runs, r.Target)
	}
	if request.refused && !request.idempotent {
		c.recordViolationLocked(NotRunIsTrue, "request %s ran on target %s after a response had guaranteed that it has not run", r.Request, r.Target)
	}
	if since, ok := c.draining[r.Target]; ok && request.sent.After(since.Add(propagationBound)) && c.faults.noneSince(since) {
		c.recordViolationLocked(LeavingGetsNothing, "request %s ran on target %s %.1f s after the target began to drain", r.Request, r.Target, time.Since(since).Seconds())
	}
	if settled, ok := c.settled[r.Target]; ok {
		c.checkSettled(request, fmt.Sprintf("request %s ran on target %s", r.Request, r.Target), c.draining[r.Target], settled)
	}
	if r.Path == reassignedPath {
		c.checkConfiguration(request, r)
	}
}

// checkConfiguration checks ConfigurationInForce and ConfigurationNeverBack for a
// request to reassignedPath: the service on which it ran shows which configuration
// routed it. The caller must hold c.mu.
func (c *checker) checkConfiguration(request *requestRecord, r platformtest.Run) {
	// used is the newest configuration that can have routed the request, that is, the
	// newest one that assigns the route to this service. It is a position in
	// c.assignments counted from 1; 0 if there is none.
	used := 0
	for i, a := range c.assignments {
		if a.service == r.Service {
			used = i + 1
		}
	}
	newest := c.assignments[len(c.assignments)-1]
	if used < len(c.assignments) && request.sent.After(newest.at.Add(propagationBound)) && c.faults.noneSince(newest.at) {
		c.recordViolationLocked(ConfigurationInForce, "request %s ran on service %s but was sent %.1f s after its route moved to %s", r.Request, r.Service, request.sent.Sub(newest.at).Seconds(), newest.service)
	}
	p := request.process
	if used < p.newestUsed && request.sent.After(p.newestUsedAt.Add(inFlightSlack)) {
		c.recordViolationLocked(ConfigurationNeverBack, "daemon %s routed request %s by configuration %d after it had used configuration %d", p.daemon.name, r.Request, used, p.newestUsed)
	}
	if used > p.newestUsed {
		p.newestUsed, p.newestUsedAt = used, time.Now()
	}
}

// requestBehind marks a request that was sent before an earlier one on its connection was
// answered.
func (c *checker) requestBehind(call platformtest.Call) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests[call.Request].behind = true
}

// requestEnded handles the result of a request at its caller. The parameter written is
// when the last byte of the request was written; zero if it was not.
func (c *checker) requestEnded(call platformtest.Call, response platformtest.Response, written time.Time, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	request := c.requests[call.Request]
	served := err == nil && response.Status == 200
	if c.losses != nil {
		c.checkLost(call, response, written, err)
	}
	keyed := request.key.account != ""
	if keyed && err == nil {
		c.checkRefusedKey(request, call, response.Status)
	}
	owed := !keyed || c.isKeyOwed(request.key, request.sent)
	if owed && c.faults.noneSince(request.sent.Add(-settleTime)) && !c.sentToLeaving(request) {
		c.faultFreeSent++
		if served {
			c.faultFreeServed++
		}
	}
	switch {
	case err != nil:
		c.counts.ConnectionErrors++
		if c.losses == nil && !written.IsZero() && request.runs > 0 && request.process.stoppedFaultFree(c.faults) {
			c.recordViolationLocked(StopCutsNothing, "request %s ran, but daemon %s sent no complete response in its planned stop: %v", call.Request, request.process.daemon.name, err)
		}
	case served:
		c.counts.Served++
		c.checkResponse(call, response, request)
	case response.GuaranteesNotRun():
		c.counts.Refused++
		request.refused = true
		if request.runs > 0 && !call.Idempotent {
			c.recordViolationLocked(NotRunIsTrue, "request %s has run, but the response with status %d guarantees that it has not", call.Request, response.Status)
		}
	default:
		c.counts.Failed++
	}
}

// sentToLeaving reports whether Lost is checked and the request's process was being
// stopped, so that it may have been refused.
func (c *checker) sentToLeaving(r *requestRecord) bool {
	return c.losses != nil && !r.process.stopTime().IsZero()
}

// checkResponse checks a successful response against OwnAnswer. The caller must
// hold c.mu.
func (c *checker) checkResponse(call platformtest.Call, response platformtest.Response, request *requestRecord) {
	target, _, _ := strings.Cut(response.Body, " ")
	want := platformtest.ResponseBody(id.Target(target), call.Request, call.Path, call.Body)
	if c.losses != nil {
		want += strings.Repeat(" ", paddingOf(call.Path))
	}
	if response.Body != want || response.Signature != platformtest.Sign(want) || response.Attempt != call.Request || request.runs == 0 {
		c.recordViolationLocked(OwnAnswer, "request %s got response %q with signature %q for request %q after %d runs; expected response %q with signature %q for request %q after at least one run",
			call.Request, response.Body, response.Signature, response.Attempt, request.runs, want, platformtest.Sign(want), call.Request)
	}
}
