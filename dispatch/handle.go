package dispatch

import (
	"context"
	"net/http"
	"time"

	"github.com/briarrouter/briarrouter/clock"
	"github.com/briarrouter/briarrouter/configuration"
	"github.com/briarrouter/briarrouter/id"
	"github.com/briarrouter/briarrouter/outcome"
	"github.com/briarrouter/briarrouter/retry"
	"github.com/briarrouter/briarrouter/schedule"
	"github.com/briarrouter/briarrouter/work"
)

// handle runs a request and notes whether it was served.
func (s *serviceDispatcher) handle(ctx context.Context, req *work.Request, route *configuration.Route) work.Answer {
	answer := newDelivery(ctx, s, req, route).answer()
	if answer.Reason == work.CallerGone {
		return answer
	}
	served := answer.Outcome == outcome.Ran && answer.Status < http.StatusInternalServerError
	s.noteServed(served)
	for _, p := range route.Parts {
		if p.Service != s.name {
			s.owner.noteServed(p.Service, served)
		}
	}
	return answer
}

// noteServed notes whether a request of a route to this service was served, by
// this service or by another part of its route.
func (s *serviceDispatcher) noteServed(served bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.scheduler.Served(time.Now(), served)
}

// noteServed notes a request for a service that was taken up.
func (d *Dispatcher) noteServed(name id.Service, served bool) {
	d.mu.Lock()
	s := d.services[name]
	d.mu.Unlock()
	if s != nil {
		s.noteServed(served)
	}
}

// answerOf returns the failure that a target answered before, if there is one:
// it says more than what the system can say itself.
func answerOf(failed *work.Answer, other work.Answer) work.Answer {
	if failed != nil {
		return *failed
	}
	return other
}

// acquireNow asks for a slot that is free at once, for a second attempt beside
// one that still runs.
func (s *serviceDispatcher) acquireNow(job *schedule.Job) (schedule.Decision, bool) {
	decision, wait := s.arrive(job)
	if decision.Kind == schedule.Waiting {
		s.withdraw(job.Ticket, wait)
	}
	return decision, decision.Kind == schedule.Granted
}

// begin counts a first attempt and waits for the first list of targets.
func (s *serviceDispatcher) begin(ctx context.Context) {
	s.mu.Lock()
	s.budget.Attempt()
	s.used = time.Now()
	s.mu.Unlock()
	select {
	case <-s.listed:
	case <-ctx.Done():
	}
}

// acquire waits for a slot. It gives the job a new ticket.
func (s *serviceDispatcher) acquire(ctx context.Context, job *schedule.Job) schedule.Decision {
	decision, granted := s.arrive(job)
	if decision.Kind != schedule.Waiting {
		return decision
	}
	select {
	case decision = <-granted:
		return decision
	case <-ctx.Done():
		return s.withdraw(job.Ticket, granted)
	}
}

func (s *serviceDispatcher) arrive(job *schedule.Job) (schedule.Decision, chan schedule.Decision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.last++
	job.Ticket = s.last
	decision := s.scheduler.Arrive(now, *job)
	s.owner.tell(false)
	if decision.Kind != schedule.Waiting {
		return decision, nil
	}
	wait := make(chan schedule.Decision, 1)
	s.waiting[job.Ticket] = wait
	s.deliver(now)
	return decision, wait
}

// withdraw takes a job out whose context ended. A slot that was granted in
// the same moment is given back.
func (s *serviceDispatcher) withdraw(ticket schedule.Ticket, wait chan schedule.Decision) schedule.Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.scheduler.Withdraw(ticket)
	delete(s.waiting, ticket)
	select {
	case d := <-wait:
		if d.Kind == schedule.Granted {
			s.scheduler.Finish(now, ticket, schedule.Result{Ending: outcome.NotWritten})
			s.deliver(now)
		}
	default:
	}
	return schedule.Decision{Kind: schedule.Refused, Reason: work.DeadlinePassed}
}

func (s *serviceDispatcher) finish(ticket schedule.Ticket, target id.Address, r schedule.Result) {
	if r.Draining {
		s.owner.leaves(s.name, target)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	before := s.scheduler.Counts()
	s.scheduler.Finish(now, ticket, r)
	s.report(before)
	s.deliver(now)
	s.owner.tell(r.Ending != outcome.Answered || r.Wrong)
}

// maxDials bounds the targets that are tried while none can be reached.
const maxDials = 10

func (s *serviceDispatcher) mayRetry(e outcome.Ending, attempt int, req *work.Request, route *configuration.Route) bool {
	if e == outcome.DialFailed {
		return attempt < maxDials
	}
	return e.Retryable(route.Idempotent) && s.takeRetry(attempt, req, route)
}

// mayRetryFailure tells whether another target may be tried after one that
// answered with a failure of its own.
func (s *serviceDispatcher) mayRetryFailure(attempt int, req *work.Request, route *configuration.Route) bool {
	s.mu.Lock()
	allowed := s.policy.Target.RetryFailures
	s.mu.Unlock()
	return allowed && route.Idempotent && s.takeRetry(attempt, req, route)
}

// leastRetry is the time that must be left for another attempt: less than any
// target needs for work.
const leastRetry = 10 * time.Millisecond

// takeRetry takes the right to another attempt.
func (s *serviceDispatcher) takeRetry(attempt int, req *work.Request, route *configuration.Route) bool {
	if !req.Body.Replayable() || time.Until(req.Deadline) < leastRetry {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if attempt >= s.attemptLimit(route) || !s.budget.TryTake() {
		return false
	}
	s.scope.Counter("retries").Inc(1)
	return true
}

func (s *serviceDispatcher) backoff(ctx context.Context, attempt int) {
	s.mu.Lock()
	pause := retry.Backoff(attempt, s.random)
	s.mu.Unlock()
	clock.Sleep(ctx, pause)
}

// refusal is the answer where the scheduler refuses.
func refusal(known outcome.Outcome, d schedule.Decision) work.Answer {
	status := http.StatusServiceUnavailable
	if known == outcome.Unknown {
		status = http.StatusBadGateway
	}
	a := work.Refuse(known, status, d.Reason)
	a.RetryAfter = d.RetryAfter
	return a
}

// failure is the answer where the last attempt failed.
func (s *serviceDispatcher) failure(known outcome.Outcome, e outcome.Ending) work.Answer {
	switch {
	case e == outcome.TimedOut:
		return work.Refuse(known, http.StatusGatewayTimeout, work.DeadlinePassed)
	case e == outcome.Cancelled:
		return work.Refuse(known, http.StatusGatewayTimeout, work.CallerGone)
	case known == outcome.NotRun:
		a := work.Refuse(known, http.StatusServiceUnavailable, work.TargetFailed)
		a.RetryAfter = s.returnAfter()
		return a
	default:
		return work.Refuse(known, http.StatusBadGateway, work.TargetFailed)
	}
}

// returnAfter is when a caller may come back whose request no target took: a
// time drawn evenly, so that those who were refused together do not return
// together.
func (s *serviceDispatcher) returnAfter() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return minReturn + time.Duration(s.random.Int64N(int64(maxReturn-minReturn)))
}

const (
	// minReturn is about the time in which a target that shed load finishes
	// one request.
	minReturn = 100 * time.Millisecond
	maxReturn = 400 * time.Millisecond
)
