package schedule

import (
	"maps"
	"slices"
	"time"

	"github.com/briarrouter/briarrouter/health"
	"github.com/briarrouter/briarrouter/id"
	"github.com/briarrouter/briarrouter/outcome"
	"github.com/briarrouter/briarrouter/suspicion"
)

// Result is how a granted job ended.
type Result struct {
	Ending outcome.Ending
	// Wrong tells that the answer was complete and its contents were a
	// failure of the target.
	Wrong bool
	// Draining tells that the target said that it is leaving.
	Draining bool
	// Misdirected tells that another process answered at the target's address.
	Misdirected bool
	// Elapsed is the time on the target; to the head of a streamed answer.
	Elapsed time.Duration
	// Load is what the target said of itself; nil where it said nothing.
	Load *Load
}

// Load is what a target says of itself in an answer.
type Load struct {
	// Running and Waiting count the requests of all daemons.
	Running, Waiting int
}

// Finish ends a granted job and frees its slot.
func (s *Scheduler) Finish(now time.Time, ticket Ticket, r Result) {
	g, ok := s.granted[ticket]
	if !ok {
		panic("schedule: ticket finished twice")
	}
	delete(s.granted, ticket)
	t := g.target
	t.running--
	t.long -= count(g.job.Route.Long)
	t.suspect -= count(g.suspect)
	s.queue.ended(g.job.Caller)
	if !g.pending {
		s.beginPending(now, t)
	}
	if r.Draining || r.Misdirected {
		t.leave(now)
	}
	if r.Load != nil {
		t.others, t.othersAt = max(0, r.Load.Running+r.Load.Waiting-t.running-1), now
	}
	if e, known := r.evidence(s.usual(g.job.Route.Name)); known {
		t.observe(now, e)
		t.saw(e)
	}
	t.told.dirty = true
	if r.Ending == outcome.Answered {
		s.served.worked(now, r.Elapsed)
	}
	s.learn(now, g, r)
	s.tellAbsent(now)
}

// beginPending notes that the job that waits longest on a target begins to run
// there.
func (s *Scheduler) beginPending(now time.Time, t *target) {
	var first *grant
	for _, g := range s.granted {
		if g.target == t && g.pending && (first == nil || g.job.Ticket < first.job.Ticket) {
			first = g
		}
	}
	if first != nil {
		first.pending, first.since = false, now
	}
}

// fastShare is the part of the usual time of a route below which a failure is
// taken for one that came before any work.
const fastShare = 0.1

// evidence returns what the result shows of the target, and whether it shows
// anything. Mean is how long such requests run.
func (r Result) evidence(mean time.Duration) (suspicion.Evidence, bool) {
	fast := mean > 0 && float64(r.Elapsed) < fastShare*float64(mean)
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

// learn draws the conclusions about the target and the request.
func (s *Scheduler) learn(now time.Time, g *grant, r Result) {
	t, job := g.target, g.job
	if g.beyond {
		// The time that the job waited behind others is no sign of the target.
		r.Elapsed = min(r.Elapsed, now.Sub(g.since))
	}
	sample := health.Sample{Target: t.endpoint.ID, Route: job.Route.Name, Elapsed: r.Elapsed}
	switch r.Ending {
	case outcome.DialFailed:
		t.unreachable(now)
		return
	case outcome.NotWritten, outcome.BodyFailed:
		return
	case outcome.Declined:
		t.reached()
		t.shed(now)
		return
	case outcome.Lost, outcome.WriteFailed:
		t.unreachable(now)
		if s.suspects.Died(now, job.Fingerprint, t.endpoint.ID) {
			s.counts.Quarantined++
		}
		return
	case outcome.TimedOut, outcome.Cancelled:
		if g.pending {
			return
		}
		sample.Censored = true
	case outcome.Answered:
		t.reached()
		if !r.Wrong {
			s.suspects.Cleared(now, job.Fingerprint)
			s.estimate(job.Route.Name).add(r.Elapsed)
		}
		sample.Wrong = r.Wrong
	default:
		sample.Wrong = true
	}
	s.observe(now, sample)
}

const (
	// overdueTimes is how many times its route's mean a request runs when it is
	// overdue. Work with a long tail passes it now and then, which costs its
	// target a little work.
	overdueTimes = 4
	// minOverdue keeps short work from being overdue by a pause of the process.
	minOverdue = 200 * time.Millisecond
)

// markOverdue notes the targets with requests that run far longer than usual.
// A target that hangs is known by that long before its first time-out.
func (s *Scheduler) markOverdue(now time.Time) {
	for _, g := range s.granted {
		mean := s.estimate(g.job.Route.Name).mean()
		if mean > 0 && !g.pending && now.Sub(g.since) > max(minOverdue, overdueTimes*mean) {
			g.target.overdue = now
		}
	}
}

// usual returns how long requests of a route run; the least of the other routes'
// times where none of its own has ended well yet.
func (s *Scheduler) usual(r id.Route) time.Duration {
	if mean := s.estimate(r).mean(); mean > 0 {
		return mean
	}
	var least time.Duration
	for _, e := range s.times {
		if mean := e.mean(); mean > 0 && (least == 0 || mean < least) {
			least = mean
		}
	}
	return least
}

func (s *Scheduler) observe(now time.Time, sample health.Sample) {
	if s.policy.Evidence > 0 && s.judge.Observe(now, sample) {
		s.counts.Ejected++
	}
}

// Tick does what only the passing of time makes due. Call Next after it.
func (s *Scheduler) Tick(now time.Time) {
	elapsed := now.Sub(s.ticked)
	if s.ticked.IsZero() {
		elapsed = 0
	}
	s.ticked = now
	for _, t := range s.targets {
		t.recover(elapsed, s.slots(t.endpoint))
	}
	for _, e := range s.times {
		e.decay(elapsed)
	}
	for _, name := range s.suspects.Expire(now) {
		s.observe(now, health.Sample{Target: name, Wrong: true})
	}
	s.tellAbsent(now)
	s.markOverdue(now)
	if s.policy.Evidence == 0 {
		return
	}
	s.judge.Tick(now)
	s.counts.Ejected += int64(len(s.judge.ObserveRunning(now, s.running(now))))
}

func (s *Scheduler) running(now time.Time) []health.Running {
	list := make([]health.Running, 0, len(s.granted))
	for _, ticket := range slices.Sorted(maps.Keys(s.granted)) {
		g := s.granted[ticket]
		if g.pending {
			continue
		}
		list = append(list, health.Running{Target: g.target.endpoint.ID, Route: g.job.Route.Name, Age: now.Sub(g.since)})
	}
	return list
}

func (s *Scheduler) estimate(r id.Route) *estimate {
	e := s.times[r]
	if e == nil {
		e = &estimate{}
		s.times[r] = e
	}
	return e
}
