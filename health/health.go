// Package health tells gray failures of targets from slow times of a whole
// service. It compares each target with its service's own peers at the same
// time, by sequential tests whose false-alarm rate is stated beforehand.
package health

import (
	"maps"
	"slices"
	"time"

	"github.com/briarrouter/briarrouter/id"
	"github.com/briarrouter/briarrouter/unit"
)

// State is where a target stands.
type State string

// The states of a target.
const (
	// Serving targets take all work.
	Serving State = "Serving"
	// Ejected targets take no work until their time is over.
	Ejected State = "Ejected"
	// Trial targets were ejected and take a trickle of idempotent work.
	Trial State = "Trial"
)

// Config makes a Judge.
type Config struct {
	// Evidence is the log-likelihood ratio that ejects a target. The mean
	// number of samples between two false ejections of a healthy target is at
	// least its exponential (Lorden 1971).
	Evidence float64
	// Floor is how many targets stay in service whatever the evidence.
	Floor unit.Targets
	// FirstEjection is how long the first ejection lasts.
	FirstEjection time.Duration
}

const (
	// slowdown is the factor of slowness that the latency test looks for.
	slowdown = 5
	// wrongRate is the share of wrong answers that the error test looks for.
	wrongRate = 0.2
	// priorWrong and priorSeen are what is believed of the share of wrong
	// answers before the first sample.
	priorWrong = 1.0
	priorSeen  = 100.0
	// maxBaseRate bounds the base rate below wrongRate, so that the test keeps
	// its direction when the whole service fails.
	maxBaseRate = 0.15
	// ring is how many samples of a route are kept to compare with.
	ring = 512
	// minPeers is how many samples of peers a comparison needs.
	minPeers = 16
	// baseDecay is what remains of the weight of old answers with each new one.
	baseDecay = 0.999
	// maxDoublings bounds the growth of repeated ejections.
	maxDoublings = 6
	// memory is how long an ejection counts as a repeated one.
	memory = 10 * time.Minute
	// trialSamples is how many good samples end a trial.
	trialSamples = 5
)

// Sample is what one finished request showed of its target.
type Sample struct {
	Target  id.Target
	Route   id.Route
	Wrong   bool
	Elapsed time.Duration
	// Censored tells that the request was cut off after Elapsed, so that its
	// full time is only known to be longer.
	Censored bool
}

// target is what is known about one target.
type target struct {
	state State
	// absent targets do not count towards the floor: they are leaving or
	// cannot be reached.
	absent bool
	// slow and wrong are the sums of the two tests; never negative.
	slow, wrong float64
	// seenAnswers and wrongAnswers count the answers of the target, older ones
	// with less weight.
	seenAnswers, wrongAnswers float64
	// until is when an ejection ends.
	until time.Time
	// ejections counts ejections in a row, each within memory of the last.
	ejections   int
	lastEjected time.Time
	// goodInTrial counts good samples since the trial began.
	goodInTrial int
}

// Judge watches the targets of one service. It is not safe for concurrent use.
type Judge struct {
	cfg     Config
	targets map[id.Target]*target
	routes  map[id.Route]*history
	// baseRate is the share of wrong answers of targets that work, as of the
	// last tick.
	baseRate float64
}

// New returns a judge without targets.
func New(cfg Config) *Judge {
	return &Judge{
		cfg: cfg, targets: make(map[id.Target]*target), routes: make(map[id.Route]*history),
		baseRate: priorWrong / priorSeen,
	}
}

// SetConfig changes the policy and keeps what was learned.
func (j *Judge) SetConfig(cfg Config) { j.cfg = cfg }

// SetTargets names the targets of the service. What was learned about those
// that stay is kept.
func (j *Judge) SetTargets(ids []id.Target) {
	for name := range j.targets {
		if !slices.Contains(ids, name) {
			delete(j.targets, name)
		}
	}
	for _, name := range ids {
		if j.targets[name] == nil {
			j.targets[name] = &target{state: Serving}
		}
	}
}

// SetAbsent records whether a target is leaving or cannot be reached.
func (j *Judge) SetAbsent(name id.Target, absent bool) {
	if t := j.targets[name]; t != nil {
		t.absent = absent
	}
}

// State returns where a target stands.
func (j *Judge) State(name id.Target) State {
	if t := j.targets[name]; t != nil {
		return t.state
	}
	return Serving
}

// Observe takes a sample and reports whether the target was ejected for it.
func (j *Judge) Observe(now time.Time, s Sample) bool {
	t := j.targets[s.Target]
	if t == nil || t.state == Ejected {
		return false
	}
	good := !s.Wrong
	switch {
	case s.Censored:
		good = j.observeCensored(t, s)
	case s.Wrong:
		j.observeAnswer(t, s)
	default:
		j.observeAnswer(t, s)
		good = j.observeTime(t, s)
	}
	if t.state == Trial {
		return j.observeTrial(now, t, good)
	}
	return j.ejectIfDue(now, t)
}

// observeAnswer feeds the error test.
func (j *Judge) observeAnswer(t *target, s Sample) {
	t.wrong = max(0, t.wrong+wrongRatio(s.Wrong, j.baseRate))
	t.seenAnswers = baseDecay*t.seenAnswers + 1
	t.wrongAnswers = baseDecay*t.wrongAnswers + indicator(s.Wrong)
}

// observeCensored feeds the latency test with a time that is only a lower
// bound.
func (j *Judge) observeCensored(t *target, s Sample) bool {
	rank, ok := j.history(s.Route).rank(s.Target, s.Elapsed)
	if !ok {
		return true
	}
	t.slow += survivalRatio(rank)
	return rank < ordinaryRank
}

// observeTime feeds the latency test and reports whether the sample was
// ordinary.
func (j *Judge) observeTime(t *target, s Sample) bool {
	h := j.history(s.Route)
	rank, ok := h.rank(s.Target, s.Elapsed)
	h.add(s.Target, s.Elapsed)
	if !ok {
		return true
	}
	t.slow = max(0, t.slow+slowRatio(rank))
	return rank < ordinaryRank
}

// ordinaryRank is the rank below which a sample of a target on trial is good.
const ordinaryRank = 0.98

// Running is a request that has not ended.
type Running struct {
	Target id.Target
	Route  id.Route
	Age    time.Duration
}

// ObserveRunning counts requests that already run longer than their peers'
// did, and returns the targets that are ejected for it. The evidence is not
// kept: it counts again as a sample when the request ends.
func (j *Judge) ObserveRunning(now time.Time, running []Running) []id.Target {
	extra := make(map[id.Target]float64)
	for _, r := range running {
		rank, ok := j.history(r.Route).rank(r.Target, r.Age)
		if ok {
			extra[r.Target] += survivalRatio(rank)
		}
	}
	slow := func(name id.Target, t *target) float64 { return t.slow + extra[name] }
	var ejected []id.Target
	for _, name := range slices.Sorted(maps.Keys(extra)) {
		t := j.targets[name]
		if t != nil && t.state == Serving && j.exceeds(t, slow(name, t), slow) && j.eject(now, t) {
			ejected = append(ejected, name)
		}
	}
	return ejected
}

func (j *Judge) ejectIfDue(now time.Time, t *target) bool {
	slow := j.exceeds(t, t.slow, func(_ id.Target, t *target) float64 { return t.slow })
	wrong := j.exceeds(t, t.wrong, func(_ id.Target, t *target) float64 { return t.wrong })
	if !slow && !wrong {
		return false
	}
	return j.eject(now, t)
}

// eject takes a target out of service unless the floor forbids it.
func (j *Judge) eject(now time.Time, t *target) bool {
	if j.inService() <= int(j.cfg.Floor) {
		t.slow = min(t.slow, 2*j.cfg.Evidence)
		t.wrong = min(t.wrong, 2*j.cfg.Evidence)
		return false
	}
	if now.Sub(t.lastEjected) > memory {
		t.ejections = 0
	}
	length := j.cfg.FirstEjection << min(t.ejections, maxDoublings)
	t.ejections++
	t.state, t.lastEjected, t.until = Ejected, now, now.Add(length)
	t.slow, t.wrong, t.goodInTrial = 0, 0, 0
	return true
}

func (j *Judge) inService() int {
	n := 0
	for _, t := range j.targets {
		if t.state == Serving && !t.absent {
			n++
		}
	}
	return n
}

// observeTrial ends a trial after enough good samples, or at a bad one.
func (j *Judge) observeTrial(now time.Time, t *target, good bool) bool {
	if !good {
		t.state = Serving
		return j.eject(now, t)
	}
	t.goodInTrial++
	if t.goodInTrial >= trialSamples {
		t.state, t.slow, t.wrong = Serving, 0, 0
		t.lastEjected = now
	}
	return false
}

// Tick starts the trial of targets whose ejection is over.
func (j *Judge) Tick(now time.Time) {
	for _, t := range j.targets {
		if t.state == Ejected && !now.Before(t.until) {
			t.state, t.goodInTrial = Trial, 0
		}
	}
	j.restoreFloor()
	j.updateBaseRate()
}

// restoreFloor puts targets back when others left the service and the floor
// no longer holds: the one whose ejection ends first comes first.
func (j *Judge) restoreFloor() {
	for j.inService() < int(j.cfg.Floor) {
		var next *target
		for _, name := range slices.Sorted(maps.Keys(j.targets)) {
			t := j.targets[name]
			if t.state != Serving && !t.absent && (next == nil || t.until.Before(next.until)) {
				next = t
			}
		}
		if next == nil {
			return
		}
		next.state, next.slow, next.wrong = Serving, 0, 0
	}
}

// TargetState is a target's part of a dump.
type TargetState struct {
	State     State
	Slow      float64
	Wrong     float64
	Until     time.Time
	Ejections int
}

// TargetState returns what is known about one target.
func (j *Judge) TargetState(name id.Target) TargetState {
	t := j.targets[name]
	if t == nil {
		return TargetState{State: Serving}
	}
	return TargetState{State: t.state, Slow: t.slow, Wrong: t.wrong, Until: t.until, Ejections: t.ejections}
}

func (j *Judge) history(r id.Route) *history {
	h := j.routes[r]
	if h == nil {
		h = newHistory()
		j.routes[r] = h
	}
	return h
}
