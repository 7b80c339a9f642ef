package bench

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/briarrouter/briarrouter/answers"
	"github.com/briarrouter/briarrouter/configuration"
	"github.com/briarrouter/briarrouter/unit"
)

// Figure is one result of the benchmark, with its goal.
type Figure struct {
	// Measure describes the quantity, Service names the service that it refers to.
	Measure, Service string
	// Balancer names the load balancer that the value refers to.
	Balancer string
	Value    string
	// Goal is empty if the figure has none, as those of baselines.
	Goal string
	// Met tells whether the goal was reached, if there is one.
	Met bool
}

// Names of the load balancers in the table.
const (
	nameDispatcher      = "briarrouter"
	nameRoundRobin      = "(a) round robin"
	nameTwoChoices      = "(b) two choices"
	nameTwoChoicesEject = "(c) two choices, 5 failures in a row"
	nameIdeal           = "(d) ideal"
)

// baselines lists the load balancers that the dispatcher is compared with.
var baselines = []struct {
	name   string
	create func(*model) balancer
}{
	{nameRoundRobin, func(m *model) balancer { return newPerHostBalancer(m, roundRobin, false) }},
	{nameTwoChoices, func(m *model) balancer { return newPerHostBalancer(m, twoChoices, false) }},
	{nameTwoChoicesEject, func(m *model) balancer { return newPerHostBalancer(m, twoChoices, true) }},
	{nameIdeal, func(m *model) balancer { return newIdealBalancer(m) }},
}

// constantUtilization returns a utilization that does not change over time.
func constantUtilization(share float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return share }
}

// shortLoad returns a load of short requests at a constant utilization.
func shortLoad(share float64) Load {
	return Load{Utilization: constantUtilization(share), MeanTime: 20 * time.Millisecond, LongFactor: 20, Timeout: 2 * time.Second}
}

// Bench measures the policy of one service.
type Bench struct {
	Name    string
	Service Service
	Seed    uint64
	// DetectionRuns is the number of runs in which the detection time is measured.
	DetectionRuns int
	// TargetHours is the target-hours during which false ejections are counted.
	TargetHours float64
	// HoursPerFalseEjection is the goal: the least mean target-hours between
	// false ejections.
	HoursPerFalseEjection float64
	// LongShare is the share of the slots that long requests may take according
	// to the questionnaire answers. HeadOfLine applies it, since it adds long
	// requests even if the service has none.
	LongShare unit.Ratio
}

// simulate runs the model with the dispatcher and the seed of the bench. prepare
// is called before the run and may schedule events.
func (b Bench) simulate(l Load, duration time.Duration, prepare func(*model)) (*model, *dispatcher) {
	return b.simulateWithSeed(l, duration, b.Seed, prepare)
}

func (b Bench) simulateWithSeed(l Load, duration time.Duration, seed uint64, prepare func(*model)) (*model, *dispatcher) {
	var d *dispatcher
	m := newModel(b.Service, l, seed, func(m *model) balancer {
		d = newDispatcher(m, duration)
		return d
	})
	prepare(m)
	m.run(duration)
	return m, d
}

func (b Bench) figure(measure, balancer, value, goal string, met bool) Figure {
	return Figure{Measure: measure, Service: b.Name, Balancer: balancer, Value: value, Goal: goal, Met: met}
}

// fault is a gray failure: the target responds, but slowly or with errors.
type fault struct {
	name                 string
	slowdown, errorShare float64
}

var faults = []fault{{"5x slow", 5, 0}, {"20% errors", 1, 0.2}}

const (
	// faultAt is when the fault begins. Until then the scheduler observes a
	// healthy target.
	faultAt = 20 * time.Second
	// detectionWindow is the time after faultAt within which an ejection counts as
	// a detection.
	detectionWindow = 20 * time.Second
)

// schedule schedules the start of the fault, on the first target.
func (f fault) schedule(m *model, at time.Duration) {
	m.at(at, func() { m.targets[0].slowdown, m.targets[0].errorShare = f.slowdown, f.errorShare })
}

// Detection measures the time from a gray failure to the ejection of its
// target, at a utilization of 50%.
func (b Bench) Detection() []Figure {
	var figures []Figure
	for _, f := range faults {
		times := b.detectionTimes(f, b.Service.Policy.Evidence)
		p50, p99 := quantile(times, 0.5), quantile(times, 0.99)
		figures = append(figures, b.figure("detection, "+f.name, nameDispatcher,
			fmt.Sprintf("p50 %s, p99 %s", formatDetection(p50), formatDetection(p99)), "p50 < 1 s, p99 < 3 s", p50 < time.Second && p99 < 3*time.Second))
		figures = append(figures, b.figure("detection, "+f.name, nameTwoChoicesEject, b.baselineDetection(f), "", false))
	}
	return figures
}

// formatDetection formats a time to detection. detectionWindow means that the
// fault was not detected.
func formatDetection(d time.Duration) string {
	if d >= detectionWindow || d < 0 {
		return "not detected"
	}
	return fmt.Sprintf("%.2f s", d.Seconds())
}

// detectionTimes returns the time to detection in each run: detectionWindow if the
// fault was not detected, or if the target had been ejected before the fault.
func (b Bench) detectionTimes(f fault, threshold float64) []time.Duration {
	policy := *b.Service.Policy
	policy.Evidence = threshold
	b.Service.Policy = &policy
	var times []time.Duration
	for run := range b.DetectionRuns {
		_, d := b.simulateWithSeed(shortLoad(0.5), faultAt+detectionWindow, b.Seed+uint64(run), func(m *model) { f.schedule(m, faultAt) })
		detected := detectionWindow
		if d.firstEjection[0] > faultAt {
			detected = d.firstEjection[0] - faultAt
		}
		times = append(times, detected)
	}
	return times
}

// baselineDetection measures the time to detection with baseline (c), and returns
// it as text. The fault counts as detected when the hosts together have ejected
// the target hosts/2 times.
func (b Bench) baselineDetection(f fault) string {
	var times []time.Duration
	for run := range b.DetectionRuns {
		detected, count := detectionWindow, 0
		m := newModel(b.Service, shortLoad(0.5), b.Seed+uint64(run), func(m *model) balancer {
			perHost := newPerHostBalancer(m, twoChoices, true)
			perHost.onEjection = func(target int) {
				if target != 0 || m.now < faultAt {
					return
				}
				if count++; count == hosts/2 {
					detected = m.now - faultAt
				}
			}
			return perHost
		})
		f.schedule(m, faultAt)
		m.run(faultAt + detectionWindow)
		times = append(times, detected)
	}
	return fmt.Sprintf("p50 %s, p99 %s (half of the hosts)", formatDetection(quantile(times, 0.5)), formatDetection(quantile(times, 0.99)))
}

// adverseLoad returns a load under which healthy targets are prone to false
// ejections: bursts of three times the rate, long requests and a few error
// responses. falseEjections also slows the whole service one minute in ten.
func adverseLoad() Load {
	return Load{
		Utilization: func(at time.Duration) float64 {
			if at%(30*time.Second) < 5*time.Second {
				return 0.75
			}
			return 0.25
		},
		MeanTime: 20 * time.Millisecond, LongShare: 0.1, LongFactor: 20, Timeout: 2 * time.Second,
		ErrorShare: 0.002,
	}
}

// FalseEjections measures how often healthy targets are ejected, and the smallest
// number of targets in service meanwhile.
func (b Bench) FalseEjections() []Figure {
	n, hours, minServing := b.falseEjections(b.Service.Policy.Evidence)
	// Approximate one-sided 95% upper bound of a Poisson rate: 1.65 is the
	// normal quantile, and 3 the bound of the mean when n is 0 (rule of three).
	bound := (float64(n) + 1.65*math.Sqrt(float64(n)) + 3) / hours
	value := fmt.Sprintf("%d in %.0f target-hours (95%% upper bound: %.1f in %.0f)", n, hours, bound*b.HoursPerFalseEjection, b.HoursPerFalseEjection)
	goal := fmt.Sprintf("none in this run; under 1 in %.0f target-hours", b.HoursPerFalseEjection)
	return []Figure{
		b.figure("false ejections", nameDispatcher, value, goal, float64(n)*b.HoursPerFalseEjection/hours < 1),
		b.figure("minimum targets in service", nameDispatcher, fmt.Sprint(minServing),
			fmt.Sprintf("at least %d", b.Service.Policy.Floor), minServing >= int(b.Service.Policy.Floor)),
	}
}

// falseEjections counts ejections under adverseLoad with the given ejection
// threshold. All of them are false, because no target is faulty. It also returns
// the simulated target-hours and the smallest number of targets in service.
func (b Bench) falseEjections(threshold float64) (n int, hours float64, minServing int) {
	policy := *b.Service.Policy
	policy.Evidence = threshold
	b.Service.Policy = &policy
	duration := time.Duration(b.TargetHours / float64(b.Service.Targets) * float64(time.Hour))
	_, d := b.simulate(adverseLoad(), duration, func(m *model) {
		for at := time.Minute; at < duration; at += 10 * time.Minute {
			m.at(at, func() { m.setSlowdown(3) })
			m.at(at+time.Minute, func() { m.setSlowdown(1) })
		}
	})
	for _, e := range d.ejections {
		n += e
	}
	return n, duration.Hours() * float64(b.Service.Targets), d.minServing
}

// setSlowdown sets the slowdown of all targets.
func (m *model) setSlowdown(factor float64) {
	for _, t := range m.targets {
		t.slowdown = factor
	}
}

const (
	peakStart       = 20 * time.Second
	peakRamp        = 2 * time.Second
	peakPlateau     = 10 * time.Second
	peakRunDuration = 45 * time.Second
)

// peakLoad returns a load that rises from 40% to 150% of the slots and falls
// again.
func peakLoad() Load {
	l := shortLoad(0)
	l.Utilization = func(at time.Duration) float64 {
		up := float64(at-peakStart) / float64(peakRamp)
		down := float64(peakStart+peakRamp+peakPlateau+peakRamp-at) / float64(peakRamp)
		return 0.4 + 1.1*max(0, min(1, up, down))
	}
	return l
}

// Peak measures the share of requests served under peakLoad, with one slow
// target.
func (b Bench) Peak() []Figure {
	slowTarget := fault{slowdown: 5}
	prepare := func(m *model) { slowTarget.schedule(m, peakStart/2) }
	m, _ := b.simulate(peakLoad(), peakRunDuration, prepare)
	dispatcherResults := m.results
	var figures []Figure
	idealShare := 0.0
	for _, baseline := range baselines {
		m := newModel(b.Service, peakLoad(), b.Seed, baseline.create)
		prepare(m)
		m.run(peakRunDuration)
		r := m.results
		if baseline.name == nameIdeal {
			idealShare = r.successShare()
		}
		figures = append(figures, b.figure("served under peak load", baseline.name, percent(r.successShare()), "", false))
	}
	share := dispatcherResults.successShare()
	late := float64(dispatcherResults.late) / float64(dispatcherResults.succeeded+dispatcherResults.failed+dispatcherResults.late)
	return append([]Figure{
		b.figure("served under peak load", nameDispatcher, fmt.Sprintf("%s, %s of the ideal", percent(share), percent(share/idealShare)),
			"97% of the ideal", share >= 0.97*idealShare),
		b.figure("finished late under peak load", nameDispatcher, percent(late), "under 0.5%", late < 0.005),
	}, figures...)
}

func percent(share float64) string { return fmt.Sprintf("%.2f%%", 100*share) }

// headOfLineDuration is the simulated time of HeadOfLine.
const headOfLineDuration = 2 * time.Minute

// HeadOfLine measures head-of-line blocking: how long short requests wait behind
// long ones.
func (b Bench) HeadOfLine() []Figure {
	mixed := shortLoad(0.7)
	mixed.LongShare = 0.1
	policy := *b.Service.Policy
	policy.LongShare = b.LongShare
	b.Service.Policy = &policy
	without, _ := b.simulate(shortLoad(0.7), headOfLineDuration, func(*model) {})
	with, _ := b.simulate(mixed, headOfLineDuration, func(*model) {})
	waitWithout, waitWith := quantile(without.results.waits, 0.99), quantile(with.results.waits, 0.99)
	long := float64(with.results.longSucceeded) / float64(with.results.long)
	figures := []Figure{
		b.figure("p99 wait of short requests behind long", nameDispatcher, fmt.Sprintf("%s, %.2fx of %s without long requests", milliseconds(waitWith), ratio(waitWith, waitWithout), milliseconds(waitWithout)),
			"within 1.5x", ratio(waitWith, waitWithout) <= 1.5),
		b.figure("long requests served in time", nameDispatcher, percent(long), "", false),
	}
	for _, baseline := range baselines {
		m := newModel(b.Service, mixed, b.Seed, baseline.create)
		m.run(headOfLineDuration)
		figures = append(figures, b.figure("p99 wait of short requests behind long", baseline.name, milliseconds(quantile(m.results.waits, 0.99)), "", false))
	}
	return figures
}

func milliseconds(d time.Duration) string {
	return fmt.Sprintf("%.1f ms", float64(d)/float64(time.Millisecond))
}

// ratio returns a/b. It uses at least one microsecond for b, which avoids a
// division by zero.
func ratio(a, b time.Duration) float64 { return float64(a) / float64(max(b, time.Microsecond)) }

const (
	flapDuration = 10 * time.Minute
	// flapHalfPeriod is how long each slow and each healthy phase of the target
	// lasts.
	flapHalfPeriod = 5 * time.Second
)

// Flapping measures the attempts that start on a flapping target while it is slow,
// as a share of all requests of the run. The count leaves out the attempts of the
// first two cycles; the total includes their requests.
func (b Bench) Flapping() []Figure {
	startedBefore := 0
	m, _ := b.simulate(shortLoad(0.5), flapDuration, func(m *model) {
		slowFault := fault{slowdown: 5}
		for at := faultAt; at < flapDuration; at += 2 * flapHalfPeriod {
			slowFault.schedule(m, at)
			fault{slowdown: 1}.schedule(m, at+flapHalfPeriod)
		}
		m.at(faultAt+4*flapHalfPeriod, func() { startedBefore = m.targets[0].startedFaulty })
	})
	share := float64(m.targets[0].startedFaulty-startedBefore) / float64(m.requests)
	return []Figure{b.figure("flapping: requests to the slow target", nameDispatcher, percent(share), "under 2%", share < 0.02)}
}

// Probes computes the share of a target's slots that probes take.
func (b Bench) Probes() []Figure {
	p := b.Service.Policy
	share := float64(b.Service.ProbeTime) / float64(p.Probe.Every) / float64(p.Slots)
	return []Figure{b.figure("capacity spent on probes", nameDispatcher, percent(share), "under 2%", share < 0.02)}
}

// Measures lists the names of the measures in the order of the table.
var Measures = []string{"detection", "ejections", "peak", "waiting", "flapping", "probes"}

// Run runs the measures of the given names, or all of them without names.
func (b Bench) Run(names ...string) []Figure {
	measures := map[string]func() []Figure{
		"detection": b.Detection, "ejections": b.FalseEjections, "peak": b.Peak,
		"waiting": b.HeadOfLine, "flapping": b.Flapping, "probes": b.Probes,
	}
	var figures []Figure
	for _, name := range Measures {
		if len(names) == 0 || slices.Contains(names, name) {
			figures = append(figures, measures[name]()...)
		}
	}
	return figures
}

// Point is one ejection threshold with its trade-off between fast detection and
// false ejections.
type Point struct {
	// Threshold is the log-likelihood ratio at which a target is ejected.
	Threshold float64
	// Detection is the median time to detection of a slow target.
	Detection time.Duration
	// PerHour is the false ejections per target-hour.
	PerHour float64
}

// Curve measures detection and false ejections at each ejection threshold.
func (b Bench) Curve(thresholds []float64) []Point {
	var points []Point
	for _, threshold := range thresholds {
		n, hours, _ := b.falseEjections(threshold)
		points = append(points, Point{
			Threshold: threshold, Detection: quantile(b.detectionTimes(faults[0], threshold), 0.5), PerHour: float64(n) / hours,
		})
	}
	return points
}

// hoursPerFalseEjection gives, by LostTargetCost, the goal for the mean
// target-hours between false ejections.
var hoursPerFalseEjection = map[answers.Level]float64{answers.Low: 1_000, answers.Medium: 10_000, answers.High: 100_000}

// New returns the benchmark of a service with the policy derived from its
// answers.
func New(s answers.Service, policy *configuration.Service) Bench {
	return Bench{
		Name: string(s.Name), Seed: 1, DetectionRuns: 100, TargetHours: 20, HoursPerFalseEjection: hoursPerFalseEjection[s.LostTargetCost],
		LongShare: s.LongShare(),
		Service: Service{
			Targets: int(s.Targets), Slots: int(policy.Slots), Backlog: 2, Policy: policy, ProbeTime: s.HealthCheckTime,
		},
	}
}
