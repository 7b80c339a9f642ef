// Package schedule decides which request of a service runs on which target and
// when. It opens no connection, starts no goroutine and reads no clock.
package schedule

import (
	"math/rand/v2"
	"time"

	"github.com/briarrouter/briarrouter/configuration"
	"github.com/briarrouter/briarrouter/health"
	"github.com/briarrouter/briarrouter/id"
	"github.com/briarrouter/briarrouter/quarantine"
	"github.com/briarrouter/briarrouter/statement"
	"github.com/briarrouter/briarrouter/work"
)

// Scheduler schedules the requests of one service. It is not safe for
// concurrent use.
type Scheduler struct {
	policy *configuration.Service
	// failureDomain is the failure domain of this daemon.
	failureDomain id.FailureDomain
	crossings     crossings
	random        *rand.Rand
	health        *health.Detector
	quarantine    *quarantine.Table
	// statements holds what the targets say of themselves.
	statements *statement.Table
	// targets is ordered by ID, so that the same calls with the same random seed
	// give the same decisions.
	targets []*target
	byID    map[id.Target]*target
	// rising holds the targets whose limit may be below their slots.
	rising []*target
	// unsent holds the targets that the next sightings report.
	unsent       []*target
	granted      map[Ticket]*grant
	queue        queue
	serviceTimes map[id.Route]*serviceTime
	lastTick     time.Time
	counts       Counts
	requests     requestWindow
	// sound is the last result of soundCapacity.
	sound soundCapacity
	// replicas is the number of daemons that share the service's callers and apply
	// each other's sightings, this one included; zero if it is none of them.
	replicas int
}

// Counts holds totals since the scheduler was created.
type Counts struct {
	Granted, Refused, Ejected, Quarantined int64
}

func New(policy *configuration.Service, suspects *quarantine.Table, random *rand.Rand) *Scheduler {
	s := &Scheduler{
		policy:       policy,
		random:       random,
		health:       health.New(healthConfig(policy)),
		quarantine:   suspects,
		statements:   statement.New(),
		byID:         make(map[id.Target]*target),
		granted:      make(map[Ticket]*grant),
		serviceTimes: make(map[id.Route]*serviceTime),
		replicas:     1,
	}
	s.queue.init(policy)
	return s
}

func healthConfig(p *configuration.Service) health.Config {
	return health.Config{Evidence: p.Evidence, Floor: p.Floor, FirstEjection: p.FirstEjection}
}

// SetFailureDomain sets the failure domain of this daemon.
func (s *Scheduler) SetFailureDomain(domain id.FailureDomain) { s.failureDomain = domain }

// SetPolicy replaces the policy. Running and waiting jobs are kept.
func (s *Scheduler) SetPolicy(policy *configuration.Service) {
	if policy.Slots != s.policy.Slots {
		for _, t := range s.targets {
			s.markRising(t)
		}
	}
	s.policy = policy
	s.queue.setShares(policy.Shares)
	s.health.SetConfig(healthConfig(policy))
}

// Arrive grants, queues or refuses a new job.
func (s *Scheduler) Arrive(now time.Time, job Job) Decision {
	s.queue.now = now
	if len(job.Tried) == 0 {
		s.requests.recordArrival(now, job)
		s.queue.levels.recordArrival(job.Priority)
	}
	if s.quarantine.Quarantined(now, job.Identity) {
		return s.refuse(work.Quarantined, 0)
	}
	if s.queue.len() == 0 {
		s.queue.emptyAt = now
	}
	if t := s.targetBeforeQueue(now, job); t != nil {
		return s.grant(now, job, t, ByRank)
	}
	if d, refused := s.refuseLate(now, job); refused {
		return d
	}
	if !s.queue.hasWaiting(job) {
		if t, choice := s.selectTarget(now, job); t != nil {
			return s.grant(now, job, t, choice)
		}
	}
	if !s.anyStays(now) {
		return s.refuse(work.NoTarget, noTargetRetryAfter)
	}
	return s.enqueue(now, job)
}

// Withdraw removes a waiting job that no longer needs a slot. It does nothing if the
// job is not waiting.
func (s *Scheduler) Withdraw(ticket Ticket) { s.queue.remove(ticket) }

// Next decides on waiting jobs. Call it after slots became free or time passed.
func (s *Scheduler) Next(now time.Time) []QueueDecision {
	var decisions []QueueDecision
	s.queue.now = now
	for _, job := range s.queue.takeEvicted() {
		decisions = append(decisions, job.decide(s.refuse(work.Overloaded, s.retryAfter(now))))
	}
	if s.queue.len() > 0 && !s.anyStays(now) {
		for _, job := range s.queue.removeAll() {
			decisions = append(decisions, job.decide(s.refuse(work.NoTarget, noTargetRetryAfter)))
		}
	}
	for _, job := range s.queue.removeLate(now, s.requiredWhileQueued) {
		decisions = append(decisions, job.decide(s.refuse(work.DeadlineTooNear, s.retryAfter(now))))
	}
	for {
		job, t, choice := s.nextGrant(now)
		if t == nil {
			return decisions
		}
		s.queue.remove(job.Ticket)
		decisions = append(decisions, job.decide(s.grant(now, job, t, choice)))
	}
}

func (s *Scheduler) Health(name id.Target) health.State { return s.health.State(name) }

// MeanServiceTime returns the mean service time of a route; zero before its first
// success.
func (s *Scheduler) MeanServiceTime(r id.Route) time.Duration { return s.serviceTime(r).mean() }

// Waiting returns the length of the queue.
func (s *Scheduler) Waiting() int { return s.queue.len() }

func (s *Scheduler) TargetCount() int { return len(s.targets) }

func (s *Scheduler) Counts() Counts { return s.counts }
