// Package health detects targets that have become slow or return errors while
// they still accept requests (gray failures). It compares each target with the
// other targets of its service over the same period, so that a slowdown of the
// whole service is not blamed on single targets. The comparison is a pair of
// sequential tests (CUSUM) with a configured false-alarm rate.
package health

import (
	"maps"
	"slices"
	"time"

	"github.com/briarrouter/briarrouter/id"
	"github.com/briarrouter/briarrouter/unit"
)

// State says which requests a target may receive.
type State string

const (
	// Serving targets receive requests of every kind.
	Serving State = "Serving"
	// Ejected targets receive no requests until the ejection ends.
	Ejected State = "Ejected"
	// Trial targets were ejected and receive a limited number of idempotent
	// requests (half-open).
	Trial State = "Trial"
)

// Config holds the parameters of a Detector.
type Config struct {
	// Evidence is the threshold of both tests: a target is ejected only if its
	// log-likelihood ratio in one of them reaches it, see exceeds. The mean number of samples between two
	// false ejections of a healthy target by one test is at least exp(Evidence)
	// (Lorden 1971).
	Evidence float64
	// Floor is the minimum number of targets in service: an ejection that would
	// go below it does not happen.
	Floor unit.Targets
	// FirstEjection is the duration of the first ejection. Each repeated one lasts
	// twice as long as the one before, see repeatWindow and maxDoublings.
	FirstEjection time.Duration
}

const (
	// alternativeSlowdown is the factor by which service times grow under the
	// alternative hypothesis of the latency test.
	alternativeSlowdown = 5
	// alternativeErrorRate is the share of errors under the alternative hypothesis
	// of the error test.
	alternativeErrorRate = 0.2
	// priorErrors and priorResponses are the prior of the base rate: one error
	// in 100 responses before the first sample.
	priorErrors    = 1.0
	priorResponses = 100.0
	// maxBaseRate keeps the base rate below alternativeErrorRate. Otherwise an
	// error would count in favour of a target while the whole service fails.
	maxBaseRate = 0.15
	// historySize is the number of samples that are kept for each route.
	historySize = 512
	// minOtherSamples is the least number of samples of other targets with which a
	// service time is compared.
	minOtherSamples = 16
	// baseDecay is the factor by which each response reduces the weight of the
	// earlier responses of its target.
	baseDecay = 0.999
	// maxDoublings limits an ejection to 64 times FirstEjection.
	maxDoublings = 6
	// repeatWindow is the time after an ejection, or after a successful trial,
	// within which the next ejection counts as repeated.
	repeatWindow = 10 * time.Minute
	// trialSamples is the number of good samples that end a trial.
	trialSamples = 5
)

// Sample describes one finished request on a target.
type Sample struct {
	Target id.Target
	Route  id.Route
	// Wrong is set if the request failed, for example with an error response.
	Wrong bool
	// Elapsed is the service time of the request.
	Elapsed time.Duration
	// Censored is set if the request was cancelled or timed out after Elapsed,
	// so that Elapsed is only a lower bound of its service time.
	Censored bool
}

// target is the state of the tests for one target.
type target struct {
	state State
	// unavailable targets are draining or unreachable. They do not count
	// towards the minimum in service.
	unavailable bool
	// slowScore and errorScore are the cumulative log-likelihood ratios of the
	// latency test and the error test; never negative.
	slowScore, errorScore float64
	// responses and errors are counts that decay by baseDecay with each
	// response.
	responses, errors float64
	// until is the end of the last ejection.
	until time.Time
	// ejections is the number of consecutive ejections. An ejection more than
	// repeatWindow after repeatWindowStart is counted from 1 again.
	ejections int
	// repeatWindowStart is the start of the last ejection, or the end of the last
	// successful trial.
	repeatWindowStart time.Time
	// goodInTrial counts good samples since the trial began: requests that did not
	// fail and whose rank is below maxGoodRank or, for lack of samples of other
	// targets, unknown.
	goodInTrial int
}

// Detector is the outlier detector for the targets of one service. It is not
// safe for concurrent use.
type Detector struct {
	cfg     Config
	targets map[id.Target]*target
	routes  map[id.Route]*history
	// baseRate is the share of errors that is expected of a healthy target, updated
	// by Tick.
	baseRate float64
}

func New(cfg Config) *Detector {
	return &Detector{
		cfg: cfg, targets: make(map[id.Target]*target), routes: make(map[id.Route]*history),
		baseRate: priorErrors / priorResponses,
	}
}

// SetConfig changes the parameters and keeps the state of the targets.
func (d *Detector) SetConfig(cfg Config) { d.cfg = cfg }

// AddTarget adds a target. The state of a known one is kept.
func (d *Detector) AddTarget(name id.Target) {
	if d.targets[name] == nil {
		d.targets[name] = &target{state: Serving}
	}
}

// RemoveTarget forgets a target.
func (d *Detector) RemoveTarget(name id.Target) { delete(d.targets, name) }

// SetUnavailable records whether a target is unavailable: draining or
// unreachable.
func (d *Detector) SetUnavailable(name id.Target, unavailable bool) {
	if t := d.targets[name]; t != nil {
		t.unavailable = unavailable
	}
}

// State returns Serving for an unknown target.
func (d *Detector) State(name id.Target) State {
	if t := d.targets[name]; t != nil {
		return t.state
	}
	return Serving
}

// Observe adds a sample and reports whether it ejected the target. Samples of an
// ejected target are ignored.
func (d *Detector) Observe(now time.Time, s Sample) bool {
	t := d.targets[s.Target]
	if t == nil || t.state == Ejected {
		return false
	}
	good := !s.Wrong
	switch {
	case s.Censored:
		good = d.observeCensored(t, s)
	case s.Wrong:
		d.observeResponse(t, s)
	default:
		d.observeResponse(t, s)
		good = d.observeTime(t, s)
	}
	if t.state == Trial {
		return d.observeTrial(now, t, good)
	}
	return d.ejectIfDue(now, t)
}

// observeResponse updates the error test.
func (d *Detector) observeResponse(t *target, s Sample) {
	t.errorScore = max(0, t.errorScore+errorRatio(s.Wrong, d.baseRate))
	t.responses = baseDecay*t.responses + 1
	t.errors = baseDecay*t.errors + boolToFloat(s.Wrong)
}

// observeCensored updates the latency test with a lower bound of a service time
// and reports whether the sample is good.
func (d *Detector) observeCensored(t *target, s Sample) bool {
	rank, ok := d.history(s.Route).rank(s.Target, s.Elapsed)
	if !ok {
		return true
	}
	t.slowScore += survivalRatio(rank)
	return rank < maxGoodRank
}

// observeTime updates the latency test with a service time and reports whether
// the sample is good.
func (d *Detector) observeTime(t *target, s Sample) bool {
	h := d.history(s.Route)
	rank, ok := h.rank(s.Target, s.Elapsed)
	h.add(s.Target, s.Elapsed)
	if !ok {
		return true
	}
	t.slowScore = max(0, t.slowScore+slowRatio(rank))
	return rank < maxGoodRank
}

// maxGoodRank is the rank (see history.rank) below which a sample is good for a
// target on trial.
const maxGoodRank = 0.98

// Running is a request in progress.
type Running struct {
	Target id.Target
	Route  id.Route
	Age    time.Duration
}

// ObserveRunning runs the latency test with the ages of the requests in progress
// as lower bounds and returns the targets that it ejected. The ages are not added
// to the scores: each request counts as a sample when it ends.
func (d *Detector) ObserveRunning(now time.Time, running []Running) []id.Target {
	extra := make(map[id.Target]float64)
	for _, r := range running {
		rank, ok := d.history(r.Route).rank(r.Target, r.Age)
		if ok {
			extra[r.Target] += survivalRatio(rank)
		}
	}
	score := func(name id.Target, t *target) float64 { return t.slowScore + extra[name] }
	var ejected []id.Target
	for _, name := range slices.Sorted(maps.Keys(extra)) {
		t := d.targets[name]
		if t != nil && t.state == Serving && d.exceeds(t, score(name, t), score) && d.eject(now, t) {
			ejected = append(ejected, name)
		}
	}
	return ejected
}

func (d *Detector) ejectIfDue(now time.Time, t *target) bool {
	slow := d.exceeds(t, t.slowScore, func(_ id.Target, t *target) float64 { return t.slowScore })
	failing := d.exceeds(t, t.errorScore, func(_ id.Target, t *target) float64 { return t.errorScore })
	if !slow && !failing {
		return false
	}
	return d.eject(now, t)
}

// eject ejects a target and reports true, unless fewer targets than the minimum
// would remain in service. In that case it only caps the target's scores.
func (d *Detector) eject(now time.Time, t *target) bool {
	if d.inService() <= int(d.cfg.Floor) {
		t.slowScore = min(t.slowScore, 2*d.cfg.Evidence)
		t.errorScore = min(t.errorScore, 2*d.cfg.Evidence)
		return false
	}
	if now.Sub(t.repeatWindowStart) > repeatWindow {
		t.ejections = 0
	}
	duration := d.cfg.FirstEjection << min(t.ejections, maxDoublings)
	t.ejections++
	t.state, t.repeatWindowStart, t.until = Ejected, now, now.Add(duration)
	t.slowScore, t.errorScore, t.goodInTrial = 0, 0, 0
	return true
}

func (d *Detector) inService() int {
	n := 0
	for _, t := range d.targets {
		if t.state == Serving && !t.unavailable {
			n++
		}
	}
	return n
}

// observeTrial ends a trial after trialSamples good samples, and ejects the target
// again after a sample that is not good; if the minimum in service rules that out,
// the target returns to service instead. It reports whether the target was ejected.
func (d *Detector) observeTrial(now time.Time, t *target, good bool) bool {
	if !good {
		t.state = Serving
		return d.eject(now, t)
	}
	t.goodInTrial++
	if t.goodInTrial >= trialSamples {
		t.state, t.slowScore, t.errorScore = Serving, 0, 0
		t.repeatWindowStart = now
	}
	return false
}

// Tick starts the trial of each target whose ejection is over, restores the
// minimum in service and updates the base rate.
func (d *Detector) Tick(now time.Time) {
	for _, t := range d.targets {
		if t.state == Ejected && !now.Before(t.until) {
			t.state, t.goodInTrial = Trial, 0
		}
	}
	d.restoreFloor()
	d.updateBaseRate()
}

// restoreFloor returns targets that are ejected or on trial to service, the
// earliest end of ejection first, while fewer than the minimum are in service, for
// example because others have become unavailable.
func (d *Detector) restoreFloor() {
	for d.inService() < int(d.cfg.Floor) {
		var next *target
		for _, name := range slices.Sorted(maps.Keys(d.targets)) {
			t := d.targets[name]
			if t.state != Serving && !t.unavailable && (next == nil || t.until.Before(next.until)) {
				next = t
			}
		}
		if next == nil {
			return
		}
		next.state, next.slowScore, next.errorScore = Serving, 0, 0
	}
}

// TargetState is a target's part of a dump. Slow and Wrong are the scores of the
// latency test and the error test.
type TargetState struct {
	State     State
	Slow      float64
	Wrong     float64
	Until     time.Time
	Ejections int
}

func (d *Detector) TargetState(name id.Target) TargetState {
	t := d.targets[name]
	if t == nil {
		return TargetState{State: Serving}
	}
	return TargetState{State: t.state, Slow: t.slowScore, Wrong: t.errorScore, Until: t.until, Ejections: t.ejections}
}

func (d *Detector) history(r id.Route) *history {
	h := d.routes[r]
	if h == nil {
		h = newHistory()
		d.routes[r] = h
	}
	return h
}
