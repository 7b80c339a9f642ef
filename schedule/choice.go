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
	// startedAt is the time of the grant or, if the job had to wait on the target,
	// the time at which a request there ended and made room for it.
	startedAt time.Time
	suspect   bool
	// overcommitted means that the target's slots were all in use at the time of the
	// grant, so that the job waits on the target until a request there ends. pending
	// means that it still waits.
	overcommitted, pending bool
}

// nextGrant returns the waiting job that runs next and its target; the target is
// nil if no job can run. Short jobs go first, except that a long job with an
// earlier deadline goes first while long jobs hold less than half of longLimit
// (rounded up). If no target can take the first job, the other is tried.
func (s *Scheduler) nextGrant(now time.Time) (Job, *target, Choice) {
	short, haveShort := s.queue.best(false)
	long, haveLong := s.queue.best(true)
	longFirst := haveLong && s.runningLong() < (s.longLimit(now)+1)/2 &&
		(!haveShort || long.Deadline.Before(short.Deadline))
	order := []Job{short, long}
	present := []bool{haveShort, haveLong}
	if longFirst {
		order, present = []Job{long, short}, []bool{haveLong, haveShort}
	}
	for i, job := range order {
		if !present[i] {
			continue
		}
		if t, choice := s.selectTarget(now, job); t != nil {
			return job, t, choice
		}
	}
	return s.nextRepeatable(now, short)
}

func (s *Scheduler) grant(now time.Time, job Job, t *target, choice Choice) Decision {
	overcommitted := t.running >= int(s.slots(t.endpoint))
	inputs := s.inputs(now, t, job)
	inputs.Chosen = choice
	g := &grant{job: job, target: t, startedAt: now, suspect: s.quarantine.Suspect(job.Identity), overcommitted: overcommitted, pending: overcommitted}
	t.running++
	s.markUnsent(t)
	s.recordDrain(now, t, job)
	t.lastUsed = now
	t.long += boolToInt(job.Route.Long)
	t.suspect += boolToInt(g.suspect)
	t.bytes += job.bodySize()
	s.granted[job.Ticket] = g
	s.queue.recordStart(job.Caller)
	if len(job.Tried) == 0 {
		s.queue.levels.recordGrant(job.Priority)
	}
	s.counts.Granted++
	s.statements.RecordSent(now, t.endpoint.Process())
	return Decision{Kind: Granted, Endpoint: t.endpoint, Inputs: inputs}
}

func (s *Scheduler) inputs(now time.Time, t *target, job Job) Inputs {
	in := Inputs{Targets: len(s.targets), Running: t.running, Load: t.load(now), FailureProbability: t.failureProbability(now), ObservationAge: -1}
	if age, ok := t.estimate.Age(now); ok {
		in.ObservationAge = age
	}
	for _, other := range s.targets {
		in.Eligible += boolToInt(s.eligible(now, other, job, false))
	}
	return in
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// selectTarget returns the target for a job and the rule that chose it, or nil
// if no target can take the job now.
func (s *Scheduler) selectTarget(now time.Time, job Job) (*target, Choice) {
	if job.Route.Long && s.runningLong() >= s.longLimit(now) {
		return nil, ""
	}
	suspect := s.quarantine.Suspect(job.Identity)
	if t := s.newcomerTarget(now, job, suspect); t != nil {
		return t, ByNewcomer
	}
	if t := s.spreadTarget(now, job, suspect); t != nil {
		return t, BySpread
	}
	return s.lowestCostTarget(now, job, suspect), ByRank
}

// lowestCostTarget returns the eligible target with the lowest cost, or nil, also if the
// job is held for another one.
func (s *Scheduler) lowestCostTarget(now time.Time, job Job, suspect bool) *target {
	best := s.lowestCost(now, job, suspect)
	if best == nil || s.holds(now, job, best) {
		return nil
	}
	return best
}

// lowestCost returns the eligible target with the lowest cost, or nil. Ties are broken at
// random.
func (s *Scheduler) lowestCost(now time.Time, job Job, suspect bool) *target {
	if s.crossings.config.Enabled() {
		return s.lowestCostTargetAcross(now, job, suspect)
	}
	var best *target
	bestCost, ties := 0.0, 0
	for _, t := range s.targets {
		capacity := s.targetCapacity(now, t)
		if !s.eligibleWith(now, t, job, suspect, capacity) || !s.mayTake(now, t, job, capacity) {
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

// eligible reports whether the job may go to the target now. A target on trial
// gets idempotent requests only, a target runs one suspect request at a time, and
// on a target with a capacity of several requests, long requests take at most all
// but one of it.
func (s *Scheduler) eligible(now time.Time, t *target, job Job, suspect bool) bool {
	return s.eligibleWith(now, t, job, suspect, s.targetCapacity(now, t))
}

// eligibleWith is eligible for a target of which the capacity is known.
func (s *Scheduler) eligibleWith(now time.Time, t *target, job Job, suspect bool, capacity int) bool {
	state := s.health.State(t.endpoint.ID)
	switch {
	case capacity == 0, s.full(now, t, job, capacity), s.holdsTooMuch(t, job):
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

// maxLoadPerSlot is how many requests a target may have for each request of its
// capacity if targets are ranked by failure probability. More than one is allowed because waiting behind
// another request costs a request one service time, whereas a target with a high
// failure probability loses a quarter of its requests.
const maxLoadPerSlot = 3

// full reports whether a target has as many requests as it may be given. If targets
// are ranked by failure probability, the requests of other daemons count too.
func (s *Scheduler) full(now time.Time, t *target, job Job, capacity int) bool {
	if s.policy.FailureCost > 0 {
		return t.load(now) >= float64(maxLoadPerSlot*capacity)
	}
	return t.running >= capacity+s.overcommitSlots(now, t, job)
}

// overcommitSlots returns how many requests a target may be given beyond its
// slots: one short request while at least as many jobs wait as all targets together
// have slots, with policy.Slots for each. That request is already on the target when a slot becomes free, which
// saves a network round trip. A target with a long request gets none, since the
// request could wait until the long one ends.
func (s *Scheduler) overcommitSlots(now time.Time, t *target, job Job) int {
	fullAndServing := t.running == int(s.slots(t.endpoint)) && s.health.State(t.endpoint.ID) == health.Serving
	saturated := s.queue.len() >= len(s.targets)*int(s.policy.Slots)
	if job.Route.Long || t.long > 0 || !fullAndServing || !saturated || now.Before(t.overcommitAfter) {
		return 0
	}
	return 1
}

// triedCost is added to the cost of a target of an earlier attempt, so that a
// retry prefers other targets.
const triedCost = 10

// explorationFactor scales the weight of the failure probability for the first
// attempt of an idempotent request. Such a request can be retried elsewhere, so it
// may test whether a failing target has recovered, while non-idempotent requests
// and retries go to targets with recent successes.
const explorationFactor = 0.3

const (
	// referenceBodySize is the body size at which a target in another failure domain
	// costs CrossDomainCost; the cost is proportional to the size.
	referenceBodySize = 64 * unit.KiB
	// minBodyFactor is the least fraction of CrossDomainCost, which applies to a
	// small body or one of unknown size: responses cross between failure domains
	// too.
	minBodyFactor = 0.05
)

// minRankedProbability is the failure probability below which targets rank alike.
// After several successes, the probability of a target rises to it again in about
// two seconds. Distinguishing lower probabilities would concentrate the traffic on a few targets and leave the
// others without any.
const minRankedProbability = 0.06

// cost returns the cost by which eligible targets are ranked, in requests per
// slot.
func (s *Scheduler) cost(now time.Time, t *target, job Job) float64 {
	cost := t.load(now) / float64(s.targetCapacity(now, t))
	weight := s.failureCost(job)
	if weight > 0 {
		cost += weight * max(minRankedProbability, t.failureProbability(now))
	}
	if s.policy.CrossDomainCost > 0 && !s.crossings.config.Enabled() && t.endpoint.FailureDomain != s.failureDomain {
		cost += s.policy.CrossDomainCost * max(minBodyFactor, float64(job.Size)/float64(referenceBodySize))
	}
	if slices.Contains(job.Tried, t.endpoint.ID) {
		cost += triedCost
	}
	return cost
}

// targetCapacity returns how many requests the target can run concurrently now; zero
// while its statements forbid to send it one.
func (s *Scheduler) targetCapacity(now time.Time, t *target) int {
	if !s.statements.Verdict(now, t.endpoint.Process()).Allowed() {
		return 0
	}
	return t.capacity(now, s.slots(t.endpoint), s.policy.Warmup, s.health.State(t.endpoint.ID))
}

// totalCapacity returns the sum of the capacities of all targets.
func (s *Scheduler) totalCapacity(now time.Time) int {
	n := 0
	for _, t := range s.targets {
		n += s.targetCapacity(now, t)
	}
	return n
}

// longLimit returns how many slots long requests may take now; at least one.
func (s *Scheduler) longLimit(now time.Time) int {
	return max(1, int(float64(s.policy.LongShare)*float64(s.totalCapacity(now))))
}

func (s *Scheduler) runningLong() int {
	n := 0
	for _, t := range s.targets {
		n += t.long
	}
	return n
}
