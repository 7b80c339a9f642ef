package dispatch

import (
	"context"
	"net/http"
	"time"

	"github.com/briarrouter/briarrouter/clock"
	"github.com/briarrouter/briarrouter/configuration"
	"github.com/briarrouter/briarrouter/id"
	"github.com/briarrouter/briarrouter/outcome"
	"github.com/briarrouter/briarrouter/quarantine"
	"github.com/briarrouter/briarrouter/retry"
	"github.com/briarrouter/briarrouter/schedule"
	"github.com/briarrouter/briarrouter/work"
)

// handle runs a request: it waits for a slot, sends the request, and tries
// again where that is safe and allowed.
func (s *serviceDispatcher) handle(ctx context.Context, req *work.Request, route *configuration.Route) work.Answer {
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	s.begin(ctx)
	job := schedule.Job{Caller: req.Caller, Route: route, Fingerprint: req.Fingerprint(), Deadline: req.Deadline}
	known := outcome.NotRun
	for attempt := 1; ; attempt++ {
		decision := s.acquire(ctx, &job)
		if decision.Kind == schedule.Refused {
			if decision.Reason == work.Quarantined && attempt > 1 {
				// The standbys must know before the caller repeats the request.
				clock.Sleep(ctx, quarantine.NewsTime)
			}
			cancel()
			return refusal(known, decision)
		}
		x := &attemptExchange{service: s, ticket: job.Ticket, endpoint: decision.Endpoint, cancel: cancel}
		reply := x.run(ctx, req, route, attempt)
		if reply.Ending == outcome.Answered {
			return x.answer(reply)
		}
		known = outcome.Join(known, reply.Ending.Outcome())
		s.log.Debug().Str("Target", string(decision.Endpoint.ID)).Str("Ending", string(reply.Ending)).
			Str("Request", string(req.ID)).AnErr("Cause", reply.Err).Msg("attempt failed")
		if !s.mayRetry(reply.Ending, attempt, req, route) {
			cancel()
			return failure(known, reply.Ending)
		}
		job.Tried = append(job.Tried, decision.Endpoint.ID)
		s.backoff(ctx, attempt)
	}
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
}

// maxDials bounds the targets that are tried while none can be reached.
const maxDials = 10

func (s *serviceDispatcher) mayRetry(e outcome.Ending, attempt int, req *work.Request, route *configuration.Route) bool {
	if e == outcome.DialFailed {
		return attempt < maxDials
	}
	if !e.Retryable(route.Idempotent) || !req.Body.Replayable() {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if attempt >= s.policy.Attempts || !s.budget.TryTake() {
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
func failure(known outcome.Outcome, e outcome.Ending) work.Answer {
	switch {
	case e == outcome.TimedOut:
		return work.Refuse(known, http.StatusGatewayTimeout, work.DeadlinePassed)
	case e == outcome.Cancelled:
		return work.Refuse(known, http.StatusGatewayTimeout, work.CallerGone)
	case known == outcome.NotRun:
		return work.Refuse(known, http.StatusServiceUnavailable, work.TargetFailed)
	default:
		return work.Refuse(known, http.StatusBadGateway, work.TargetFailed)
	}
}
