// Package schedule decides which request of a service runs on which target and
// when. It opens no connection, starts no goroutine and reads no clock.
package schedule

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/briarrouter/briarrouter/configuration"
	"github.com/briarrouter/briarrouter/health"
	"github.com/briarrouter/briarrouter/id"
	"github.com/briarrouter/briarrouter/quarantine"
	"github.com/briarrouter/briarrouter/unit"
	"github.com/briarrouter/briarrouter/work"
)

// Ticket identifies one wish to run a request on a target.
type Ticket uint64

// Job is a request that wants a slot.
type Job struct {
	Ticket      Ticket
	Caller      id.Caller
	Route       *configuration.Route
	Fingerprint work.Fingerprint
	// Deadline is when the answer must be complete.
	Deadline time.Time
	// Size is the length of the request's body; negative where it is not known.
	Size unit.Bytes
	// Tried lists the targets that earlier attempts ran on.
	Tried []id.Target
}

// Kind says what a Decision is.
type Kind string

// The kinds of a decision.
const (
	Granted Kind = "Granted"
	Waiting Kind = "Waiting"
	Refused Kind = "Refused"
)

// Decision is what becomes of a job.
type Decision struct {
	Kind Kind
	// Endpoint is set where the kind is Granted.
	Endpoint Endpoint
	// Inputs is what the choice of the endpoint was based on.
	Inputs Inputs
	// Reason and RetryAfter are set where the kind is Refused.
	Reason     work.Reason
	RetryAfter time.Duration
}

// Inputs is what a target was chosen by; for the log.
type Inputs struct {
	// Targets is how many targets were listed, Eligible how many could be
	// chosen.
	Targets, Eligible int
	// Running is how many requests of this daemon the target had, Load that
	// with the requests of others as far as they are known.
	Running int
	Load    float64
	// Sick is the probability that the target fails, and Age how old the last
	// outcome is that it rests on; negative where there was none.
	Sick float64
	Age  time.Duration
	// Chosen is why this target was chosen.
	Chosen Choice
}

// Choice says why a target was chosen.
type Choice string

// The choices.
const (
	// ByRank is the target of the least cost.
	ByRank Choice = "rank"
	// ByNewcomer is a target that never had work.
	ByNewcomer Choice = "newcomer"
	// BySpread is a target that work must reach, whatever is believed of it.
	BySpread Choice = "spread"
)

// Event is a decision about a job that was waiting.
type Event struct {
	Ticket   Ticket
	Decision Decision
}

// Scheduler decides for one service. It is not safe for concurrent use.
type Scheduler struct {
	policy *configuration.Service
	// domain is where this daemon stands.
	domain   id.FailureDomain
	random   *rand.Rand
	judge    *health.Judge
	suspects *quarantine.Table
	// targets is ordered by id, so that decisions depend on the seed only.
	targets []*target
	granted map[Ticket]*grant
	queue   queue
	times   map[id.Route]*estimate
	ticked  time.Time
	counts  Counts
	served  served
	// servers is how many daemons share the service's callers; at least 1.
	servers int
}

// Counts counts what the scheduler decided.
type Counts struct {
	Granted, Refused, Ejected, Quarantined int64
}

// New returns a scheduler without targets.
func New(policy *configuration.Service, suspects *quarantine.Table, random *rand.Rand) *Scheduler {
	s := &Scheduler{
		policy:   policy,
		random:   random,
		judge:    health.New(judgeConfig(policy)),
		suspects: suspects,
		granted:  make(map[Ticket]*grant),
		times:    make(map[id.Route]*estimate),
		servers:  1,
	}
	s.queue.init(policy)
	return s
}

func judgeConfig(p *configuration.Service) health.Config {
	return health.Config{Evidence: p.Evidence, Floor: p.Floor, FirstEjection: p.FirstEjection}
}

// SetDomain tells where this daemon stands.
func (s *Scheduler) SetDomain(domain id.FailureDomain) { s.domain = domain }

// SetPolicy puts a new policy in force. Jobs that run or wait stay.
func (s *Scheduler) SetPolicy(policy *configuration.Service) {
	s.policy = policy
	s.queue.shares = policy.Shares
	s.judge.SetConfig(judgeConfig(policy))
}

// SetTargets takes the platform's list. What was learned about targets that
// stay is kept; a target listed under a new address is a new one.
func (s *Scheduler) SetTargets(now time.Time, list []Endpoint) {
	known := make(map[id.Target]*target)
	for _, t := range s.targets {
		known[t.endpoint.ID] = t
	}
	first := len(s.targets) == 0
	next := make(map[id.Target]*target)
	for _, e := range list {
		t := known[e.ID]
		if t == nil || !t.endpoint.Same(e) {
			t = s.newTarget(now, e, first)
		}
		t.endpoint = e
		if e.Leaving {
			t.leave(now)
		}
		next[e.ID] = t
	}
	names := slices.Sorted(maps.Keys(next))
	s.targets = s.targets[:0]
	for _, name := range names {
		s.targets = append(s.targets, next[name])
	}
	s.judge.SetTargets(names)
	s.tellAbsent(now)
}

// newTarget returns a target that warms up, but for those of the first list:
// a daemon that starts must not take the whole service for cold.
func (s *Scheduler) newTarget(now time.Time, e Endpoint, first bool) *target {
	t := &target{limit: float64(s.slots(e)), warmSince: now}
	if first {
		t.warmSince = now.Add(-s.policy.Warmup)
	} else {
		t.joined = now
	}
	return t
}

// slots returns how many requests a target runs at the same time.
func (s *Scheduler) slots(e Endpoint) unit.Slots {
	if e.Slots > 0 {
		return e.Slots
	}
	return s.policy.Slots
}

// SetLeaving records a sign that the target at an address is leaving.
func (s *Scheduler) SetLeaving(now time.Time, address id.Address) {
	for _, t := range s.targets {
		if t.endpoint.Address == address {
			t.leave(now)
		}
	}
	s.tellAbsent(now)
}

// SetServing records that a target's health endpoint gave no sign of leaving,
// and reports whether the target is back from leaving.
func (s *Scheduler) SetServing(now time.Time, address id.Address) bool {
	back := false
	for _, t := range s.targets {
		if t.endpoint.Address == address && t.serves(now) {
			back = true
		}
	}
	s.tellAbsent(now)
	return back
}

// SetUnreachable records that a target could not be connected to.
func (s *Scheduler) SetUnreachable(now time.Time, name id.Target) {
	for _, t := range s.targets {
		if t.endpoint.ID == name {
			t.unreachable(now)
		}
	}
}

func (s *Scheduler) tellAbsent(now time.Time) {
	for _, t := range s.targets {
		s.judge.SetAbsent(t.endpoint.ID, t.leaving || now.Before(t.unfitUntil))
	}
}

// Arrive decides about a new job.
func (s *Scheduler) Arrive(now time.Time, job Job) Decision {
	if len(job.Tried) == 0 {
		s.served.arrived(now, job)
	}
	if s.suspects.Quarantined(now, job.Fingerprint) {
		return s.refuse(work.Quarantined, 0)
	}
	if d, late := s.tooLate(now, job); late {
		return d
	}
	if !s.queue.hasAhead(job) {
		if t, why := s.pick(now, job); t != nil {
			return s.grant(now, job, t, why)
		}
	}
	if len(s.targets) == 0 {
		return s.refuse(work.NoTarget, time.Second)
	}
	return s.enqueue(now, job)
}

func (s *Scheduler) refuse(reason work.Reason, after time.Duration) Decision {
	s.counts.Refused++
	return Decision{Kind: Refused, Reason: reason, RetryAfter: after}
}

// tooLate refuses a job that cannot be answered before its deadline, so that
// its slot does useful work instead.
func (s *Scheduler) tooLate(now time.Time, job Job) (Decision, bool) {
	left := job.Deadline.Sub(now)
	if left <= 0 {
		return s.refuse(work.DeadlinePassed, 0), true
	}
	wait := s.expectedWait(now, job)
	if left < wait+s.estimate(job.Route.Name).typical() {
		return s.refuse(work.DeadlineTooNear, wait), true
	}
	return Decision{}, false
}

// expectedWait estimates how long the job would wait for a slot.
func (s *Scheduler) expectedWait(now time.Time, job Job) time.Duration {
	ahead := s.queue.ahead(job)
	if ahead == 0 {
		return 0
	}
	slots := s.capacity(now)
	if job.Route.Long {
		slots = s.longLimit(now)
	}
	if slots == 0 {
		return 0
	}
	return time.Duration(float64(ahead) * float64(s.estimate(job.Route.Name).mean()) / float64(slots))
}

// enqueue lets a job wait. When the queue is full, the caller that takes most
// for its share gives way.
func (s *Scheduler) enqueue(now time.Time, job Job) Decision {
	if s.queue.len() < s.policy.Queue {
		s.queue.push(job)
		return Decision{Kind: Waiting}
	}
	victim, ok := s.queue.heaviest(job)
	if !ok {
		return s.refuse(work.Overloaded, s.retryAfter(now))
	}
	s.queue.push(job)
	s.queue.evict(victim)
	return Decision{Kind: Waiting}
}

func (s *Scheduler) retryAfter(now time.Time) time.Duration {
	return max(time.Second, s.expectedWait(now, Job{Route: &configuration.Route{}}))
}

// Withdraw takes a waiting job out, because its caller went away.
func (s *Scheduler) Withdraw(ticket Ticket) { s.queue.remove(ticket) }

// Next decides about waiting jobs after slots became free or time passed.
func (s *Scheduler) Next(now time.Time) []Event {
	var events []Event
	for _, job := range s.queue.takeEvicted() {
		events = append(events, Event{job.Ticket, s.refuse(work.Overloaded, s.retryAfter(now))})
	}
	for _, job := range s.queue.late(now, s.minimum) {
		events = append(events, Event{job.Ticket, s.refuse(work.DeadlineTooNear, s.retryAfter(now))})
	}
	for {
		job, t, why := s.nextGrant(now)
		if t == nil {
			return events
		}
		s.queue.remove(job.Ticket)
		events = append(events, Event{job.Ticket, s.grant(now, job, t, why)})
	}
}

func (s *Scheduler) minimum(job Job) time.Duration { return s.estimate(job.Route.Name).typical() }

// Health returns where a target stands.
func (s *Scheduler) Health(name id.Target) health.State { return s.judge.State(name) }

// Mean returns how long requests of a route run on a target; zero before the
// first one ended well.
func (s *Scheduler) Mean(r id.Route) time.Duration { return s.estimate(r).mean() }

// Waiting returns how many jobs wait.
func (s *Scheduler) Waiting() int { return s.queue.len() }

// Targets returns how many targets are listed.
func (s *Scheduler) Targets() int { return len(s.targets) }

// Counts returns what was decided so far.
func (s *Scheduler) Counts() Counts { return s.counts }
