package schedule

import (
	"maps"
	"slices"
	"time"

	"github.com/briarrouter/briarrouter/health"
	"github.com/briarrouter/briarrouter/id"
	"github.com/briarrouter/briarrouter/outcome"
	"github.com/briarrouter/briarrouter/suspicion"
	"github.com/briarrouter/briarrouter/unit"
)

// Result is the outcome of a granted job.
type Result struct {
	Ending outcome.Ending
	// Wrong means that the response reports a failure of the target.
	Wrong bool
	// Misdirected means that another process than the expected one responded at
	// the target's address.
	Misdirected bool
	// Elapsed is the time on the target; for a streamed response, the time until
	// streaming began.
	Elapsed time.Duration
	// Size is the size of the response's header section and body; zero if it is not
	// known.
	Size unit.Bytes
	// Load is the load that the target reported; nil if it reported none.
	Load *Load
}

// Load is the load that a target reports in a response.
type Load struct {
	// Running and Waiting count the requests of all daemons.
	Running, Waiting int
}

// Finish records the result of a granted job and frees its slot.
func (s *Scheduler) Finish(now time.Time, ticket Ticket, r Result) {
	g, ok := s.granted[ticket]
	if !ok {
		panic("schedule: Finish called for a ticket that holds no slot")
	}
	delete(s.granted, ticket)
	t := g.target
	t.running--
	t.long -= boolToInt(g.job.Route.Long)
	t.suspect -= boolToInt(g.suspect)
	t.bytes -= g.job.bodySize()
	s.queue.recordEnd(g.job.Caller)
	b := s.requests.currentBucket(now)
	b.attempts++
	b.declined += boolToInt(r.Ending == outcome.Declined)
	if !g.pending {
		s.startPending(now, t)
	}
	if r.Misdirected {
		t.markLeaving(now)
	}
	if r.Load != nil {
		t.reportedLoad, t.reportedAt = max(0, r.Load.Running+r.Load.Waiting-t.running-1), now
	}
	if o, known := r.observation(s.expectedServiceTime(g.job.Route.Name)); known {
		t.observe(now, o)
		t.recordUnsent(o)
	}
	s.markUnsent(t)
	s.recordResponse(g.job.Route.Name, r.Size)
	s.applyResult(now, g, r)
	s.updateUnavailable(now, t)
}

// startPending marks the oldest pending job of a target as started.
func (s *Scheduler) startPending(now time.Time, t *target) {
	var first *grant
	for _, g := range s.granted {
		if g.target == t && g.pending && (first == nil || g.job.Ticket < first.job.Ticket) {
			first = g
		}
	}
	if first != nil {
		first.pending, first.startedAt = false, now
	}
}

// fastFailureShare is the fraction of a route's expected service time below
// which a failure counts as one that happened before any processing
// (suspicion.FastFailure).
const fastFailureShare = 0.1

// observation returns what the result says about the target; false if it says
// nothing. The argument mean is the expected service time of the job's route.
func (r Result) observation(mean time.Duration) (suspicion.Observation, bool) {
	fast := mean > 0 && float64(r.Elapsed) < fastFailureShare*float64(mean)
	switch r.Ending {
	case outcome.Answered:
		if !r.Wrong {
			return suspicion.Success, true
		}
	case outcome.NotWritten, outcome.BodyFailed, outcome.Cancelled:
		return 0, false
	case outcome.Declined:
		return suspicion.Declined, true
	case outcome.DialFailed:
		fast = true
	}
	if fast {
		return suspicion.FastFailure, true
	}
	return suspicion.Failure, true
}

// applyResult updates the state of the target, the quarantine and the health
// detector with the result.
func (s *Scheduler) applyResult(now time.Time, g *grant, r Result) {
	t, job := g.target, g.job
	if g.overcommitted {
		// The time that the job waited for a slot on the target is no service time.
		r.Elapsed = min(r.Elapsed, now.Sub(g.startedAt))
	}
	sample := health.Sample{Target: t.endpoint.ID, Route: job.Route.Name, Elapsed: r.Elapsed}
	switch r.Ending {
	case outcome.DialFailed:
		t.startBackoff(now)
		return
	case outcome.NotWritten, outcome.BodyFailed:
		return
	case outcome.Declined:
		t.resetBackoff()
		t.lowerLimit(now)
		s.markRising(t)
		return
	case outcome.Lost, outcome.WriteFailed:
		t.startBackoff(now)
		if s.quarantine.RecordCrash(now, g.startedAt, job.Identity, t.endpoint.ID) {
			s.counts.Quarantined++
		}
		return
	case outcome.TimedOut, outcome.Cancelled:
		if g.pending {
			return
		}
		sample.Censored = true
	case outcome.Answered:
		t.resetBackoff()
		if !r.Wrong {
			s.quarantine.RecordCompletion(now, job.Identity)
			s.serviceTime(job.Route.Name).add(r.Elapsed)
		}
		sample.Wrong = r.Wrong
	default:
		sample.Wrong = true
	}
	s.observe(now, sample)
}

const (
	// overdueFactor is the multiple of a route's mean service time beyond which a
	// running request is overdue. Requests of a route with long-tailed service
	// times exceed it now and then; their targets then get a little less traffic.
	overdueFactor = 4
	// minOverdue is the least age of an overdue request, so that a pause of this
	// process does not make short requests overdue.
	minOverdue = 200 * time.Millisecond
)

// markOverdue marks the targets with overdue requests, so that a target that
// hangs is avoided before its first timeout.
func (s *Scheduler) markOverdue(now time.Time) {
	for _, g := range s.granted {
		mean := s.serviceTime(g.job.Route.Name).mean()
		if mean > 0 && !g.pending && now.Sub(g.startedAt) > max(minOverdue, overdueFactor*mean) {
			g.target.lastOverdue = now
		}
	}
}

// expectedServiceTime returns the mean service time of a route, or the shortest
// mean of the other routes until one request of this route has succeeded.
func (s *Scheduler) expectedServiceTime(r id.Route) time.Duration {
	if mean := s.serviceTime(r).mean(); mean > 0 {
		return mean
	}
	var least time.Duration
	for _, st := range s.serviceTimes {
		if mean := st.mean(); mean > 0 && (least == 0 || mean < least) {
			least = mean
		}
	}
	return least
}

func (s *Scheduler) observe(now time.Time, sample health.Sample) {
	if s.policy.Evidence > 0 && s.health.Observe(now, sample) {
		s.counts.Ejected++
	}
}

// Tick updates what changes with time alone: it raises limits, decays mean service
// times, expires quarantines, finds overdue requests and updates health. Call Next
// after it.
func (s *Scheduler) Tick(now time.Time) {
	elapsed := now.Sub(s.lastTick)
	if s.lastTick.IsZero() {
		elapsed = 0
	}
	s.lastTick = now
	s.rising = slices.DeleteFunc(s.rising, func(t *target) bool {
		t.rising = !t.raiseLimit(elapsed, s.slots(t.endpoint))
		return !t.rising
	})
	for _, st := range s.serviceTimes {
		st.decay(elapsed)
	}
	s.queue.levels.decay(elapsed)
	for _, name := range s.quarantine.Expire(now) {
		s.observe(now, health.Sample{Target: name, Wrong: true})
	}
	s.markOverdue(now)
	if s.policy.Evidence == 0 {
		return
	}
	for _, t := range s.targets {
		s.updateUnavailable(now, t)
	}
	s.health.Tick(now)
	s.counts.Ejected += int64(len(s.health.ObserveRunning(now, s.runningSamples(now))))
}

// markRising makes ticks raise the limit of a target until it has reached its slots.
func (s *Scheduler) markRising(t *target) {
	if !t.rising {
		t.rising = true
		s.rising = append(s.rising, t)
	}
}

// Idle reports whether ticks change nothing until the next job arrives. Ejections end
// with time, so that a service that ejects targets is never idle.
func (s *Scheduler) Idle(now time.Time) bool {
	return s.policy.Evidence == 0 && len(s.granted) == 0 && s.queue.len() == 0 && len(s.rising) == 0 && s.requests.sum(now) == (bucket{})
}

func (s *Scheduler) runningSamples(now time.Time) []health.Running {
	list := make([]health.Running, 0, len(s.granted))
	for _, ticket := range slices.Sorted(maps.Keys(s.granted)) {
		g := s.granted[ticket]
		if g.pending {
			continue
		}
		list = append(list, health.Running{Target: g.target.endpoint.ID, Route: g.job.Route.Name, Age: now.Sub(g.startedAt)})
	}
	return list
}

func (s *Scheduler) serviceTime(r id.Route) *serviceTime {
	st := s.serviceTimes[r]
	if st == nil {
		st = &serviceTime{}
		s.serviceTimes[r] = st
	}
	return st
}
