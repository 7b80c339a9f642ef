package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/briarrouter/briarrouter/clock"
	"github.com/briarrouter/briarrouter/configuration"
	"github.com/briarrouter/briarrouter/outcome"
	"github.com/briarrouter/briarrouter/quarantine"
	"github.com/briarrouter/briarrouter/schedule"
	"github.com/briarrouter/briarrouter/work"
)

// delivery is one request on its way through one or more attempts. A failure that a
// target answered is kept while another target is tried, since it is the answer
// if none does better. An idempotent request that runs far longer than usual is
// sent to a second target while the first one goes on: a target that hangs or
// lost its answer gives no other sign.
type delivery struct {
	service *serviceDispatcher
	req     *work.Request
	route   *configuration.Route
	ctx     context.Context
	cancel  context.CancelFunc
	job     schedule.Job
	// known is what the attempts that ended prove.
	known outcome.Outcome
	// failed is the failure that a target answered; nil while there is none.
	failed *work.Answer
	// started counts the attempts, running those that have not ended.
	started, running int
	// hedged tells that a second target was tried beside the first one.
	hedged bool
	// ended holds the attempts that ended.
	ended chan *attemptExchange

	mu sync.Mutex
	// settled tells that nobody waits for attempts any more.
	settled bool
	// users counts the attempts, and the answer that is streamed, that need the
	// context.
	users int
}

// maxRunning bounds the attempts of a request at one time.
const maxRunning = 2

func newDelivery(ctx context.Context, s *serviceDispatcher, req *work.Request, route *configuration.Route) *delivery {
	d := &delivery{
		service: s, req: req, route: route, known: outcome.NotRun, ended: make(chan *attemptExchange, maxRunning),
		job: schedule.Job{Caller: req.Caller, Route: route, Fingerprint: req.Fingerprint(), Deadline: req.Deadline, Size: req.Body.Size},
	}
	d.ctx, d.cancel = context.WithDeadline(ctx, req.Deadline)
	return d
}

// answer runs the request and returns its answer.
func (d *delivery) answer() work.Answer {
	d.hold()
	defer d.settle()
	d.service.begin(d.ctx)
	for {
		if d.running == 0 {
			asked := time.Now()
			decision := d.service.acquire(d.ctx, &d.job)
			if decision.Kind == schedule.Refused {
				return d.refused(decision, time.Since(asked))
			}
			d.start(decision, time.Since(asked))
		}
		x := d.await()
		if x == nil {
			d.hedge()
			continue
		}
		d.running--
		if a, done := d.take(x); done {
			return a
		}
	}
}

func (d *delivery) refused(decision schedule.Decision, waited time.Duration) work.Answer {
	if decision.Reason == work.Quarantined && d.started > 0 {
		// The standbys must know before the caller repeats the request.
		clock.Sleep(d.ctx, quarantine.NewsTime)
	}
	d.service.logRefusal(d.req, d.route, d.started+1, decision, waited)
	return answerOf(d.failed, refusal(d.known, decision))
}

// start begins an attempt on the target of a decision.
func (d *delivery) start(decision schedule.Decision, waited time.Duration) {
	d.started++
	d.running++
	d.job.Tried = append(d.job.Tried, decision.Endpoint.ID)
	x := &attemptExchange{
		service: d.service, of: d, ticket: d.job.Ticket, endpoint: decision.Endpoint, inputs: decision.Inputs,
		number: d.started, waited: waited, beside: d.running > 1,
	}
	d.hold()
	d.service.group.Go(x.run)
}

// await returns the next attempt that ended, or nil when it is time to try a
// second target beside the first one.
func (d *delivery) await() *attemptExchange {
	after, ok := d.hedgeAfter()
	if !ok {
		return <-d.ended
	}
	timer := time.NewTimer(after)
	defer timer.Stop()
	select {
	case x := <-d.ended:
		return x
	case <-timer.C:
		return nil
	}
}

// hedgeAfter returns how long an attempt runs before a second one is made beside
// it, and whether one may be made.
func (d *delivery) hedgeAfter() (time.Duration, bool) {
	if d.hedged || d.running >= maxRunning || !d.route.Idempotent || !d.req.Body.Replayable() {
		return 0, false
	}
	return d.service.hedgeAfter(d.route)
}

// hedge tries a second target, if one is free and retries are allowed.
func (d *delivery) hedge() {
	d.hedged = true
	if !d.service.takeHedge(d.started, d.route) {
		return
	}
	if decision, ok := d.service.acquireNow(&d.job); ok {
		d.start(decision, 0)
	}
}

// take takes the result of an attempt, and tells whether it is the request's.
func (d *delivery) take(x *attemptExchange) (work.Answer, bool) {
	reply := x.reply
	if reply.Ending == outcome.Answered {
		switch {
		case !x.result.Wrong || reply.Rest != nil:
			return x.answer(), true
		case d.running == 0 && !d.service.mayRetryFailure(d.started, d.req, d.route):
			return x.answer(), true
		}
		a := x.answer()
		// What is kept of it is small and not for long; it is counted no more.
		a.Close()
		d.failed = &a
		d.known = outcome.Join(d.known, outcome.Ran)
	} else {
		d.release()
		d.known = outcome.Join(d.known, reply.Ending.Outcome())
		if d.running == 0 && !d.service.mayRetry(reply.Ending, d.started, d.req, d.route) {
			return answerOf(d.failed, d.service.failure(d.known, reply.Ending)), true
		}
	}
	if d.running == 0 {
		d.service.backoff(d.ctx, d.started)
	}
	return work.Answer{}, false
}

// hold keeps the context for a user.
func (d *delivery) hold() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.users++
}

// release ends the context after its last user.
func (d *delivery) release() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.users--; d.users == 0 {
		d.cancel()
	}
}

// settle ends the wait for attempts. One that still runs goes on to its end: a
// target that is broken off has worked for nothing, and its answer shows how it
// does.
func (d *delivery) settle() {
	d.mu.Lock()
	d.settled = true
	d.mu.Unlock()
	for {
		select {
		case x := <-d.ended:
			x.abandon()
		default:
			d.release()
			return
		}
	}
}

// hand gives an attempt that ended to whoever waits, or throws its answer away.
func (d *delivery) hand(x *attemptExchange) {
	d.mu.Lock()
	if !d.settled {
		d.ended <- x
		d.mu.Unlock()
		return
	}
	d.mu.Unlock()
	x.abandon()
}

// hedgeAfter returns when an idempotent request of a route is sent to a second
// target, and whether it is.
func (s *serviceDispatcher) hedgeAfter(route *configuration.Route) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	mean := s.scheduler.Mean(route.Name)
	if s.policy.Hedge == 0 || mean == 0 {
		return 0, false
	}
	return max(minHedge, time.Duration(s.policy.Hedge*float64(mean))), true
}

const (
	// minHedge keeps short work from being sent twice for a pause of the process.
	minHedge = 50 * time.Millisecond
	// hedgeReserve is the part of the retry budget that is kept for requests
	// that failed.
	hedgeReserve = 0.5
)

// takeHedge takes the right to a second attempt beside the first one.
func (s *serviceDispatcher) takeHedge(started int, route *configuration.Route) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if started >= s.attemptLimit(route) || s.budget.Tokens() < hedgeReserve*s.budget.Burst() || !s.budget.TryTake() {
		return false
	}
	s.scope.Counter("hedges").Inc(1)
	return true
}

// attemptLimit returns how many attempts a request of a route may have. The lock
// is held.
func (s *serviceDispatcher) attemptLimit(route *configuration.Route) int {
	if route.Attempts > 0 {
		return route.Attempts
	}
	return s.policy.Attempts
}

// abandon throws an attempt's answer away.
func (x *attemptExchange) abandon() {
	if x.reply.Ending == outcome.Answered {
		x.discard(&x.reply)
		if x.reply.Rest != nil {
			x.end(outcome.Cancelled)
		}
	}
	x.of.release()
}
