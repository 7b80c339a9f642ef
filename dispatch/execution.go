package dispatch

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/briarrouter/briarrouter/clock"
	"github.com/briarrouter/briarrouter/configuration"
	"github.com/briarrouter/briarrouter/outcome"
	"github.com/briarrouter/briarrouter/quarantine"
	"github.com/briarrouter/briarrouter/schedule"
	"github.com/briarrouter/briarrouter/work"
)

// execution runs one request through one or more attempts. A buffered error
// response of a target is kept while another target is tried; the last one is
// returned if no attempt succeeds. An idempotent request that runs far longer than
// usual is hedged: a second attempt starts while the first one continues. A target
// that hangs, or whose response was lost, shows no other sign of it than the delay.
type execution struct {
	service *serviceDispatcher
	req     *work.Request
	route   *configuration.Route
	ctx     context.Context
	cancel  context.CancelFunc
	job     schedule.Job
	// outcome tells whether the request ran, as far as the ended attempts show.
	outcome outcome.Outcome
	// errorResponse is the last error response of a target; nil while there is none.
	errorResponse *work.Response
	// attempts counts all attempts, running those that have not ended.
	attempts, running int
	// hedgeDecided tells that a hedge was started or denied. A request is
	// hedged at most once.
	hedgeDecided bool
	// ended receives the attempts that ended.
	ended chan *attempt

	mu sync.Mutex
	// completed tells that the execution no longer waits for attempts.
	completed bool
	// contextUsers counts the attempts, the streamed response and the execution
	// itself while they need the context, which is cancelled after the last.
	contextUsers int
}

// maxRunning bounds the concurrent attempts of a request.
const maxRunning = 2

func newExecution(ctx context.Context, s *serviceDispatcher, req *work.Request, route *configuration.Route) *execution {
	e := &execution{
		service: s, req: req, route: route, outcome: outcome.NotRun, ended: make(chan *attempt, maxRunning),
		job: schedule.Job{Caller: req.Caller, Priority: req.Priority, Route: route, Identity: req.Identity(), Deadline: req.Deadline, Size: req.Body.Size, HeaderSize: req.Header.Size()},
	}
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	// A request that outlives its caller must not outlive the service.
	stop := context.AfterFunc(s.ctx, cancel)
	e.ctx, e.cancel = ctx, func() {
		stop()
		cancel()
	}
	return e
}

// run executes the request and returns its response.
func (e *execution) run() work.Response {
	e.retainContext()
	defer e.complete()
	e.service.beginRequest(e.ctx)
	for {
		if e.running == 0 {
			requestedAt := time.Now()
			e.job.Final = !e.service.retryLeft(e.attempts+1, e.req, e.route)
			decision := e.service.acquireSlot(e.ctx, &e.job)
			if decision.Kind == schedule.Refused {
				return e.handleRefusal(decision, time.Since(requestedAt))
			}
			e.startAttempt(decision, time.Since(requestedAt))
		}
		a := e.awaitAttempt()
		if a == nil {
			e.hedge()
			continue
		}
		e.running--
		if response, done := e.handleResult(a); done {
			return response
		}
	}
}

func (e *execution) handleRefusal(decision schedule.Decision, waited time.Duration) work.Response {
	if decision.Reason == work.Quarantined && e.attempts > 0 {
		// The standbys must learn of the quarantine before the caller retries the
		// request.
		clock.Sleep(e.ctx, quarantine.PropagationTime)
	}
	e.service.logRefusal(e.req, e.route, e.attempts+1, decision, waited)
	return preferTargetResponse(e.errorResponse, refusalResponse(e.outcome, decision))
}

// startAttempt starts an attempt on the target that the scheduler granted.
func (e *execution) startAttempt(decision schedule.Decision, waited time.Duration) {
	e.attempts++
	e.running++
	e.job.Tried = append(e.job.Tried, decision.Endpoint.ID)
	a := &attempt{
		service: e.service, execution: e, ticket: e.job.Ticket, endpoint: decision.Endpoint, inputs: decision.Inputs,
		number: e.attempts, waited: waited, held: decision.Held, hedged: e.running > 1,
	}
	e.retainContext()
	e.service.group.Go(a.run)
}

// awaitAttempt waits for the next attempt to end and returns it, or returns nil when
// a hedge is due before that.
func (e *execution) awaitAttempt() *attempt {
	after, ok := e.hedgeDelay()
	if !ok {
		return <-e.ended
	}
	timer := time.NewTimer(after)
	defer timer.Stop()
	select {
	case a := <-e.ended:
		return a
	case <-timer.C:
		return nil
	}
}

// hedgeDelay returns how long the current attempt runs before the request is
// hedged, and whether it may be hedged at all.
func (e *execution) hedgeDelay() (time.Duration, bool) {
	if e.hedgeDecided || e.running >= maxRunning || !e.route.Idempotent || !e.req.Body.Replayable() {
		return 0, false
	}
	return e.service.hedgeDelay(e.route)
}

// hedge starts a second attempt if the retry budget allows it and a target has a
// free slot.
func (e *execution) hedge() {
	e.hedgeDecided = true
	if !e.service.takeHedgeToken(e.attempts, e.route) {
		return
	}
	e.job.Final = false
	if decision, ok := e.service.tryAcquireSlot(&e.job); ok {
		e.startAttempt(decision, 0)
	}
}

// handleResult handles an attempt that ended. It returns the request's response and
// true if no further attempt is made or awaited.
func (e *execution) handleResult(a *attempt) (work.Response, bool) {
	reply := a.reply
	if reply.Ending == outcome.Answered {
		switch {
		case !a.result.Wrong || reply.Rest != nil:
			e.releaseErrorResponse()
			return a.response(), true
		case e.running == 0 && !e.service.allowErrorResponseRetry(e.attempts, e.req, e.route):
			e.releaseErrorResponse()
			return a.response(), true
		}
		e.releaseErrorResponse()
		response := a.response()
		e.errorResponse = &response
		e.outcome = outcome.Combine(e.outcome, outcome.Ran)
	} else {
		e.releaseContext()
		e.outcome = outcome.Combine(e.outcome, reply.Ending.Outcome())
		if e.running == 0 && !e.service.allowRetry(reply.Ending, e.attempts, e.req, e.route) {
			return preferTargetResponse(e.errorResponse, e.failureResponse(reply.Ending)), true
		}
	}
	if e.running == 0 {
		e.service.sleepBackoff(e.ctx, e.attempts)
	}
	return work.Response{}, false
}

// failureResponse returns the response after the last attempt failed. A body that ended
// because the deadline passed or the caller left is no failure of the caller to send it.
func (e *execution) failureResponse(ending outcome.Ending) work.Response {
	if ending == outcome.BodyFailed {
		switch {
		case errors.Is(e.ctx.Err(), context.DeadlineExceeded):
			ending = outcome.TimedOut
		case e.ctx.Err() != nil:
			ending = outcome.Cancelled
		}
	}
	return e.service.failureResponse(e.outcome, ending)
}

// releaseErrorResponse releases the memory of an error response that is not returned.
func (e *execution) releaseErrorResponse() {
	if e.errorResponse != nil {
		e.errorResponse.Close()
		e.errorResponse = nil
	}
}

// retainContext registers a user of the context.
func (e *execution) retainContext() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.contextUsers++
}

// releaseContext cancels the context after its last user.
func (e *execution) releaseContext() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.contextUsers--; e.contextUsers == 0 {
		e.cancel()
	}
}

// complete stops waiting for attempts. An attempt that still runs is not
// cancelled: cancelling would waste the work that the target has done, and its
// result is an observation of the target's health.
func (e *execution) complete() {
	e.mu.Lock()
	e.completed = true
	e.mu.Unlock()
	for {
		select {
		case a := <-e.ended:
			a.abandon()
		default:
			e.releaseContext()
			return
		}
	}
}

// attemptEnded passes an ended attempt to the execution, or discards its response
// if the execution is complete.
func (e *execution) attemptEnded(a *attempt) {
	e.mu.Lock()
	if !e.completed {
		e.ended <- a
		e.mu.Unlock()
		return
	}
	e.mu.Unlock()
	a.abandon()
}

// hedgeDelay returns how long an idempotent request of a route runs before it is
// hedged, and whether requests of the route are hedged.
func (s *serviceDispatcher) hedgeDelay(route *configuration.Route) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	mean := s.scheduler.MeanServiceTime(route.Name)
	if s.policy.Hedge == 0 || mean == 0 {
		return 0, false
	}
	return max(minHedgeDelay, time.Duration(s.policy.Hedge*float64(mean))), true
}

const (
	// minHedgeDelay keeps short requests from being hedged because of a pause of
	// the process.
	minHedgeDelay = 50 * time.Millisecond
	// hedgeReserve is the fraction of the retry budget's burst that hedged
	// attempts leave for retries.
	hedgeReserve = 0.5
)

// takeHedgeToken reports whether a hedged attempt is allowed, and takes a token
// of the retry budget for it.
func (s *serviceDispatcher) takeHedgeToken(attempts int, route *configuration.Route) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if attempts >= s.attemptLimit(route) || s.budget.Tokens(now) < hedgeReserve*s.budget.Burst() || !s.budget.TryTake(now) {
		return false
	}
	s.scope.Counter("hedges").Inc(1)
	return true
}

// attemptLimit returns how many attempts a request of a route may have. The
// caller holds s.mu.
func (s *serviceDispatcher) attemptLimit(route *configuration.Route) int {
	if route.Attempts > 0 {
		return route.Attempts
	}
	return s.policy.Attempts
}

// abandon discards the response of an attempt that nobody waits for.
func (a *attempt) abandon() {
	if a.reply.Ending == outcome.Answered {
		a.discard(&a.reply)
		if a.reply.Rest != nil {
			a.releaseSlot(outcome.Cancelled)
		}
	}
	a.execution.releaseContext()
}
