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
	"github.com/briarrouter/briarrouter/outcome"
	"github.com/briarrouter/briarrouter/quarantine"
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
	// Reason and RetryAfter are set where the kind is Refused.
	Reason     work.Reason
	RetryAfter time.Duration
}

// Event is a decision about a job that was waiting.
type Event struct {
	Ticket   Ticket
	Decision Decision
}

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

// Scheduler decides for one service. It is not safe for concurrent use.
type Scheduler struct {
	policy   *configuration.Service
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
	}
	s.queue.init(policy)
	return s
}

func judgeConfig(p *configuration.Service) health.Config {
	return health.Config{Evidence: p.Evidence, Floor: p.Floor, FirstEjection: p.FirstEjection}
}

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
		if t == nil || t.endpoint.Address != e.Address {
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
	t := &target{limit: float64(s.policy.Slots), warmSince: now}
	if first {
		t.warmSince = now.Add(-s.policy.Warmup)
	}
	return t
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
	if s.suspects.Quarantined(now, job.Fingerprint) {
		return s.refuse(work.Quarantined, 0)
	}
	if d, late := s.tooLate(now, job); late {
		return d
	}
	if !s.queue.hasAhead(job) {
		if t := s.pick(now, job); t != nil {
			return s.grant(now, job, t)
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
		job, t := s.nextGrant(now)
		if t == nil {
			return events
		}
		s.queue.remove(job.Ticket)
		events = append(events, Event{job.Ticket, s.grant(now, job, t)})
	}
}

func (s *Scheduler) minimum(job Job) time.Duration { return s.estimate(job.Route.Name).typical() }

// nextGrant returns the waiting job that runs next and its target. Short work
// goes first, but long work keeps half of its share of the slots.
func (s *Scheduler) nextGrant(now time.Time) (Job, *target) {
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
		if t := s.pick(now, job); t != nil {
			return job, t
		}
	}
	return Job{}, nil
}

func (s *Scheduler) grant(now time.Time, job Job, t *target) Decision {
	beyond := t.running >= int(s.policy.Slots)
	g := &grant{job: job, target: t, since: now, suspect: s.suspects.Suspect(job.Fingerprint), beyond: beyond, pending: beyond}
	t.running++
	t.long += count(job.Route.Long)
	t.suspect += count(g.suspect)
	s.granted[job.Ticket] = g
	s.queue.started(job.Caller)
	s.counts.Granted++
	return Decision{Kind: Granted, Endpoint: t.endpoint}
}

func count(b bool) int {
	if b {
		return 1
	}
	return 0
}

// pick chooses the target for a job, or nil where none has a free slot.
func (s *Scheduler) pick(now time.Time, job Job) *target {
	if job.Route.Long && s.runningLong() >= s.longLimit(now) {
		return nil
	}
	suspect := s.suspects.Suspect(job.Fingerprint)
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
	case t.running >= capacity+s.extra(now, t, job):
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

// extra returns how many requests a target without long work may be given
// beyond its slots: one short request while so many wait that every slot is taken at once when it
// becomes free. It is there when the one before it ends, a network's time
// sooner.
func (s *Scheduler) extra(now time.Time, t *target, job Job) int {
	full := t.running == int(s.policy.Slots) && s.judge.State(t.endpoint.ID) == health.Serving
	saturated := s.queue.len() >= len(s.targets)*int(s.policy.Slots)
	if job.Route.Long || t.long > 0 || !full || !saturated || now.Before(t.extraFrom) {
		return 0
	}
	return 1
}

// triedCost makes a target that an earlier attempt used the last choice.
const triedCost = 10

// cost orders the eligible targets; the lowest is chosen. Suspicion does not
// count: a suspected target that got less work would take longer to judge.
func (s *Scheduler) cost(now time.Time, t *target, job Job) float64 {
	cost := float64(t.running) / float64(s.targetCapacity(now, t))
	if slices.Contains(job.Tried, t.endpoint.ID) {
		cost += triedCost
	}
	return cost
}

func (s *Scheduler) targetCapacity(now time.Time, t *target) int {
	return t.capacity(now, s.policy.Slots, s.policy.Warmup, s.judge.State(t.endpoint.ID))
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

// Result is how a granted job ended.
type Result struct {
	Ending outcome.Ending
	// Wrong tells that the answer was complete and its contents were a
	// failure of the target.
	Wrong bool
	// Draining tells that the target said that it is leaving.
	Draining bool
	// Elapsed is the time on the target; to the head of a streamed answer.
	Elapsed time.Duration
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
	if r.Draining {
		t.leave(now)
	}
	s.learn(now, g, r)
	s.tellAbsent(now)
}

// beginPending notes that the job that waits on a target begins to run there.
func (s *Scheduler) beginPending(now time.Time, t *target) {
	for _, g := range s.granted {
		if g.target == t && g.pending {
			g.pending, g.since = false, now
			return
		}
	}
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
		s.suspects.Cleared(job.Fingerprint)
		s.estimate(job.Route.Name).add(r.Elapsed)
		sample.Wrong = r.Wrong
	default:
		sample.Wrong = true
	}
	s.observe(now, sample)
}

func (s *Scheduler) observe(now time.Time, sample health.Sample) {
	if s.judge.Observe(now, sample) {
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
		t.recover(elapsed, s.policy.Slots)
	}
	for _, e := range s.times {
		e.decay(elapsed)
	}
	for _, name := range s.suspects.Expire(now) {
		s.observe(now, health.Sample{Target: name, Wrong: true})
	}
	s.tellAbsent(now)
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

// TargetState is a target's part of a dump.
type TargetState struct {
	Target   id.Target
	Address  id.Address
	Running  int
	Long     int
	Capacity int
	Leaving  bool
	// Why says in words why the target takes no work or less work.
	Why    string
	Health health.TargetState
}

// Health returns where a target stands.
func (s *Scheduler) Health(name id.Target) health.State { return s.judge.State(name) }

// Counts returns what was decided so far.
func (s *Scheduler) Counts() Counts { return s.counts }

// State is the scheduler's part of a dump.
type State struct {
	Waiting int
	Running int
	Counts  Counts
	Targets []TargetState
}

// State returns the state of the service and of each target.
func (s *Scheduler) State(now time.Time) State {
	st := State{Waiting: s.queue.len(), Running: len(s.granted), Counts: s.counts}
	for _, t := range s.targets {
		st.Targets = append(st.Targets, TargetState{
			Target: t.endpoint.ID, Address: t.endpoint.Address, Running: t.running, Long: t.long,
			Capacity: s.targetCapacity(now, t), Leaving: t.leaving,
			Why: s.why(now, t), Health: s.judge.TargetState(t.endpoint.ID),
		})
	}
	return st
}

func (s *Scheduler) why(now time.Time, t *target) string {
	state := s.judge.TargetState(t.endpoint.ID)
	switch {
	case t.leaving:
		return "it is leaving"
	case now.Before(t.unfitUntil):
		return "its last connection failed"
	case state.State == health.Ejected:
		return "the evidence of slow or wrong answers reached the bound; ejected until " + state.Until.Format(time.TimeOnly)
	case state.State == health.Trial:
		return "it returns from an ejection"
	case s.targetCapacity(now, t) < int(s.policy.Slots):
		return "it shed load or warms up"
	default:
		return ""
	}
}
