package schedule

import (
	"slices"
	"time"

	"github.com/briarrouter/briarrouter/health"
	"github.com/briarrouter/briarrouter/unit"
)

// grant is a job that holds a slot.
type grant struct {
	job    Job
	target *target
	// since is when the target could begin to run the job.
	since   time.Time
	suspect bool
	// beyond tells that the job was granted beyond the target's slots, so that
	// it waited there; pending that it still waits.
	beyond, pending bool
}

// nextGrant returns the waiting job that runs next and its target. Short work
// goes first, but long work keeps half of its share of the slots.
func (s *Scheduler) nextGrant(now time.Time) (Job, *target, Choice) {
	short, haveShort := s.queue.best(false)
	long, haveLong := s.queue.best(true)
	longFirst := haveLong && s.runningLong() < (s.longLimit(now)+1)/2 &&
		(!haveShort || long.Deadline.Before(short.Deadline))
	order := []Job{short, long}
	have := []bool{haveShort, haveLong}
	if longFirst {
		order, have = []Job{long, short}, []bool{haveLong, haveShort}
	}
	for i, job := range order {
		if !have[i] {
			continue
		}
		if t, why := s.pick(now, job); t != nil {
			return job, t, why
		}
	}
	return Job{}, nil, ""
}

func (s *Scheduler) grant(now time.Time, job Job, t *target, why Choice) Decision {
	beyond := t.running >= int(s.slots(t.endpoint))
	inputs := s.inputs(now, t, job)
	inputs.Chosen = why
	g := &grant{job: job, target: t, since: now, suspect: s.suspects.Suspect(job.Fingerprint), beyond: beyond, pending: beyond}
	t.running++
	t.told.dirty = true
	t.used = now
	t.long += count(job.Route.Long)
	t.suspect += count(g.suspect)
	s.granted[job.Ticket] = g
	s.queue.started(job.Caller)
	s.counts.Granted++
	return Decision{Kind: Granted, Endpoint: t.endpoint, Inputs: inputs}
}

// inputs returns what the choice of a target rests on.
func (s *Scheduler) inputs(now time.Time, t *target, job Job) Inputs {
	in := Inputs{Targets: len(s.targets), Running: t.running, Load: t.load(now), Sick: t.sick(now), Age: -1}
	if age, ok := t.belief.Age(now); ok {
		in.Age = age
	}
	for _, other := range s.targets {
		in.Eligible += count(s.eligible(now, other, job, false))
	}
	return in
}

func count(b bool) int {
	if b {
		return 1
	}
	return 0
}

// pick chooses the target for a job and says why, or nil where none has a free
// slot.
func (s *Scheduler) pick(now time.Time, job Job) (*target, Choice) {
	if job.Route.Long && s.runningLong() >= s.longLimit(now) {
		return nil, ""
	}
	suspect := s.suspects.Suspect(job.Fingerprint)
	if t := s.newcomer(now, job, suspect); t != nil {
		return t, ByNewcomer
	}
	if t := s.spread(now, job, suspect); t != nil {
		return t, BySpread
	}
	return s.cheapest(now, job, suspect), ByRank
}

// cheapest returns the eligible target of the least cost, or nil.
func (s *Scheduler) cheapest(now time.Time, job Job, suspect bool) *target {
	var best *target
	bestCost, ties := 0.0, 0
	for _, t := range s.targets {
		if !s.eligible(now, t, job, suspect) {
			continue
		}
		cost := s.cost(now, t, job)
		switch {
		case best == nil || cost < bestCost:
			best, bestCost, ties = t, cost, 1
		case cost == bestCost:
			ties++
			if s.random.IntN(ties) == 0 {
				best = t
			}
		}
	}
	return best
}

func (s *Scheduler) eligible(now time.Time, t *target, job Job, suspect bool) bool {
	state := s.judge.State(t.endpoint.ID)
	capacity := s.targetCapacity(now, t)
	switch {
	case capacity == 0, s.full(now, t, job, capacity):
		return false
	case state == health.Trial && !job.Route.Idempotent:
		return false
	case suspect && t.suspect > 0:
		return false
	case job.Route.Long && capacity > 1 && t.long >= capacity-1:
		return false
	default:
		return true
	}
}

// crowding is how many requests on each slot a target may have where targets
// are ranked by suspicion. A request that waits there for another one is late by
// the time of one; a target in doubt loses a quarter of those sent to it.
const crowding = 3

// full tells whether a target has as many requests as it may be given.
func (s *Scheduler) full(now time.Time, t *target, job Job, capacity int) bool {
	if s.policy.Avoidance > 0 {
		return t.load(now) >= float64(crowding*capacity)
	}
	return t.running >= capacity+s.extra(now, t, job)
}

// extra returns how many requests a target may be given beyond its slots: one
// short request while more wait than there are slots, so that it is there when
// the one before it ends, a network's time sooner. A target with long work gets
// none, since the request would wait behind it.
func (s *Scheduler) extra(now time.Time, t *target, job Job) int {
	full := t.running == int(s.slots(t.endpoint)) && s.judge.State(t.endpoint.ID) == health.Serving
	saturated := s.queue.len() >= len(s.targets)*int(s.policy.Slots)
	if job.Route.Long || t.long > 0 || !full || !saturated || now.Before(t.extraFrom) {
		return 0
	}
	return 1
}

// triedCost makes a target that an earlier attempt used the last choice.
const triedCost = 10

// exploring is the part of the avoidance that counts for idempotent work. It
// may be tried again elsewhere, so it finds out whether doubtful targets are
// well again, and unrepeatable work and last attempts go where success is fresh.
const exploring = 0.3

const (
	// distanceUnit is the body for which policies state the weight of distance.
	distanceUnit = 64 * unit.KiB
	// nearBody is the part of that weight that the smallest request has: answers
	// cross between failure domains too.
	nearBody = 0.05
)

// doubt is the probability of being sick below which targets count alike: that
// of one that succeeded within the last two seconds. Finer ranks would keep all
// work on a few targets, and the others out of service.
const doubt = 0.06

// cost orders the eligible targets; the lowest is chosen.
func (s *Scheduler) cost(now time.Time, t *target, job Job) float64 {
	cost := t.load(now) / float64(s.targetCapacity(now, t))
	weight := s.policy.Avoidance
	if job.Route.Idempotent && len(job.Tried) == 0 {
		weight *= exploring
	}
	if weight > 0 {
		cost += weight * max(doubt, t.sick(now))
	}
	if s.policy.Distance > 0 && t.endpoint.FailureDomain != s.domain {
		cost += s.policy.Distance * max(nearBody, float64(job.Size)/float64(distanceUnit))
	}
	if slices.Contains(job.Tried, t.endpoint.ID) {
		cost += triedCost
	}
	return cost
}

func (s *Scheduler) targetCapacity(now time.Time, t *target) int {
	return t.capacity(now, s.slots(t.endpoint), s.policy.Warmup, s.judge.State(t.endpoint.ID))
}

// capacity returns how many requests the service may run now.
func (s *Scheduler) capacity(now time.Time) int {
	n := 0
	for _, t := range s.targets {
		n += s.targetCapacity(now, t)
	}
	return n
}

// longLimit returns how many slots long work may take now; at least one.
func (s *Scheduler) longLimit(now time.Time) int {
	return max(1, int(float64(s.policy.LongShare)*float64(s.capacity(now))))
}

func (s *Scheduler) runningLong() int {
	n := 0
	for _, t := range s.targets {
		n += t.long
	}
	return n
}
