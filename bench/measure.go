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

// Figure is one measured figure beside its goal.
type Figure struct {
	// Measure and Service say what was measured on which service.
	Measure, Service string
	// Balancer names the balancing that was measured.
	Balancer string
	Value    string
	// Goal is the stated goal; empty for baselines and for figures without.
	Goal string
	// Met tells whether the goal was reached, where there is one.
	Met bool
}

// Names of the balancers in the table.
const (
	nameDispatcher = "briarrouter"
	nameRobin      = "(a) round robin"
	nameTwo        = "(b) two choices"
	nameEject      = "(c) two choices, 5 failures in a row"
	nameIdeal      = "(d) ideal"
)

// creators makes each balancer but the dispatcher.
var creators = []struct {
	name   string
	create func(*model) balancer
}{
	{nameRobin, func(m *model) balancer { return newDivided(m, roundRobin, false) }},
	{nameTwo, func(m *model) balancer { return newDivided(m, twoChoices, false) }},
	{nameEject, func(m *model) balancer { return newDivided(m, twoChoices, true) }},
	{nameIdeal, func(m *model) balancer { return newIdeal(m) }},
}

func steady(share float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return share }
}

// shortLoad is a steady load of short requests.
func shortLoad(share float64) Load {
	return Load{Share: steady(share), Mean: 20 * time.Millisecond, LongFactor: 20, Deadline: 2 * time.Second}
}

// Bench measures one service.
type Bench struct {
	Name    string
	Service Service
	Seed    uint64
	// Runs is how often detection is measured.
	Runs int
	// Hours is the target-hours in which false ejections are counted.
	Hours float64
	// FalseHours is the goal: target-hours that pass between false ejections.
	FalseHours float64
	// LongShare is the share of the slots that the answers give to long work
	// where there is some.
	LongShare unit.Ratio
}

func (b Bench) dispatch(l Load, length time.Duration, prepare func(*model)) (*model, *dispatcher) {
	return b.dispatchSeed(l, length, b.Seed, prepare)
}

func (b Bench) dispatchSeed(l Load, length time.Duration, seed uint64, prepare func(*model)) (*model, *dispatcher) {
	var d *dispatcher
	m := newModel(b.Service, l, seed, func(m *model) balancer {
		d = newDispatcher(m, length)
		return d
	})
	prepare(m)
	m.run(length)
	return m, d
}

func (b Bench) figure(measure, balancer, value, goal string, met bool) Figure {
	return Figure{Measure: measure, Service: b.Name, Balancer: balancer, Value: value, Goal: goal, Met: met}
}

// fault is a gray failure of one target.
type fault struct {
	name        string
	slow, wrong float64
}

var faults = []fault{{"5x slow", 5, 0}, {"wrong in 20%", 1, 0.2}}

const (
	faultAt    = 20 * time.Second
	faultWatch = 20 * time.Second
)

func (f fault) start(m *model, at time.Duration) {
	m.at(at, func() { m.targets[0].slow, m.targets[0].wrong = f.slow, f.wrong })
}

// Detection measures the time from a gray failure to the ejection of its
// target, at half load.
func (b Bench) Detection() []Figure {
	var figures []Figure
	for _, f := range faults {
		times := b.detectionTimes(f, b.Service.Policy.Evidence)
		p50, p99 := quantile(times, 0.5), quantile(times, 0.99)
		figures = append(figures, b.figure("detection, "+f.name, nameDispatcher,
			fmt.Sprintf("p50 %s, p99 %s", seconds(p50), seconds(p99)), "p50 < 1 s, p99 < 3 s", p50 < time.Second && p99 < 3*time.Second))
		figures = append(figures, b.figure("detection, "+f.name, nameEject, b.baselineDetection(f), "", false))
	}
	return figures
}

func seconds(d time.Duration) string {
	if d >= faultWatch || d < 0 {
		return "not seen"
	}
	return fmt.Sprintf("%.2f s", d.Seconds())
}

// detectionTimes returns the time of detection in each run; a fault that was
// not seen counts as the whole time of the watch.
func (b Bench) detectionTimes(f fault, evidence float64) []time.Duration {
	policy := *b.Service.Policy
	policy.Evidence = evidence
	b.Service.Policy = &policy
	var times []time.Duration
	for run := range b.Runs {
		_, d := b.dispatchSeed(shortLoad(0.5), faultAt+faultWatch, b.Seed+uint64(run), func(m *model) { f.start(m, faultAt) })
		seen := faultWatch
		if d.first[0] > faultAt {
			seen = d.first[0] - faultAt
		}
		times = append(times, seen)
	}
	return times
}

// baselineDetection returns when half of the hosts had ejected the target.
func (b Bench) baselineDetection(f fault) string {
	var times []time.Duration
	for run := range b.Runs {
		seen, count := faultWatch, 0
		m := newModel(b.Service, shortLoad(0.5), b.Seed+uint64(run), func(m *model) balancer {
			d := newDivided(m, twoChoices, true)
			d.ejected = func(target int) {
				if target != 0 || m.now < faultAt {
					return
				}
				if count++; count == hosts/2 {
					seen = m.now - faultAt
				}
			}
			return d
		})
		f.start(m, faultAt)
		m.run(faultAt + faultWatch)
		times = append(times, seen)
	}
	return fmt.Sprintf("p50 %s, p99 %s at half of the hosts", seconds(quantile(times, 0.5)), seconds(quantile(times, 0.99)))
}

// troubled is a load without a fault that tempts to eject: swings to three
// times, long work, a few wrong answers, and a minute in ten in which the whole
// service is slow.
func troubled() Load {
	return Load{
		Share: func(at time.Duration) float64 {
			if at%(30*time.Second) < 5*time.Second {
				return 0.75
			}
			return 0.25
		},
		Mean: 20 * time.Millisecond, LongShare: 0.1, LongFactor: 20, Deadline: 2 * time.Second,
		Wrong: 0.002,
	}
}

// FalseEjections counts ejections of healthy targets.
func (b Bench) FalseEjections() []Figure {
	n, hours, least := b.falseEjections(b.Service.Policy.Evidence)
	// The upper bound of a Poisson rate at 95%, by the chi-square of n.
	bound := (float64(n) + 1.65*math.Sqrt(float64(n)) + 3) / hours
	value := fmt.Sprintf("%d in %.0f target-hours (95%%: under %.1f in %.0f)", n, hours, bound*b.FalseHours, b.FalseHours)
	goal := fmt.Sprintf("none in this run; under 1 in %.0f target-hours", b.FalseHours)
	return []Figure{
		b.figure("false ejections", nameDispatcher, value, goal, float64(n)*b.FalseHours/hours < 1),
		b.figure("least targets in service", nameDispatcher, fmt.Sprint(least),
			fmt.Sprintf("never under %d", b.Service.Policy.Floor), least >= int(b.Service.Policy.Floor)),
	}
}

func (b Bench) falseEjections(evidence float64) (n int, hours float64, least int) {
	policy := *b.Service.Policy
	policy.Evidence = evidence
	b.Service.Policy = &policy
	length := time.Duration(b.Hours / float64(b.Service.Targets) * float64(time.Hour))
	_, d := b.dispatch(troubled(), length, func(m *model) {
		for at := time.Minute; at < length; at += 10 * time.Minute {
			m.at(at, func() { m.slowAll(3) })
			m.at(at+time.Minute, func() { m.slowAll(1) })
		}
	})
	for _, e := range d.ejections {
		n += e
	}
	return n, length.Hours() * float64(b.Service.Targets), d.leastServing
}

func (m *model) slowAll(factor float64) {
	for _, t := range m.targets {
		t.slow = factor
	}
}

const (
	swingAt     = 20 * time.Second
	swingRise   = 2 * time.Second
	swingLength = 10 * time.Second
	swingEnd    = 45 * time.Second
)

// swing is a load that rises from 40% to 150% of the slots and falls again.
func swing() Load {
	l := shortLoad(0)
	l.Share = func(at time.Duration) float64 {
		up := float64(at-swingAt) / float64(swingRise)
		down := float64(swingAt+swingRise+swingLength+swingRise-at) / float64(swingRise)
		return 0.4 + 1.1*max(0, min(1, up, down))
	}
	return l
}

// Peak measures the share of requests served at the peak of a swing, with one
// gray target.
func (b Bench) Peak() []Figure {
	gray := fault{slow: 5}
	prepare := func(m *model) { gray.start(m, swingAt/2) }
	m, _ := b.dispatch(swing(), swingEnd, prepare)
	own := m.results
	var figures []Figure
	limit := 0.0
	for _, c := range creators {
		m := newModel(b.Service, swing(), b.Seed, c.create)
		prepare(m)
		m.run(swingEnd)
		r := m.results
		if c.name == nameIdeal {
			limit = r.usefulShare()
		}
		figures = append(figures, b.figure("served in a swing", c.name, percent(r.usefulShare()), "", false))
	}
	share := own.usefulShare()
	late := float64(own.late) / float64(own.useful+own.failed+own.late)
	return append([]Figure{
		b.figure("served in a swing", nameDispatcher, fmt.Sprintf("%s, %s of the ideal", percent(share), percent(share/limit)),
			"97% of the ideal", share >= 0.97*limit),
		b.figure("finished late in a swing", nameDispatcher, percent(late), "under 0.5%", late < 0.005),
	}, figures...)
}

func percent(share float64) string { return fmt.Sprintf("%.2f%%", 100*share) }

const lineLength = 2 * time.Minute

// HeadOfLine measures how long short requests wait behind long ones.
func (b Bench) HeadOfLine() []Figure {
	mixed := shortLoad(0.7)
	mixed.LongShare = 0.1
	policy := *b.Service.Policy
	policy.LongShare = b.LongShare
	b.Service.Policy = &policy
	without, _ := b.dispatch(shortLoad(0.7), lineLength, func(*model) {})
	with, _ := b.dispatch(mixed, lineLength, func(*model) {})
	base, own := quantile(without.results.waits, 0.99), quantile(with.results.waits, 0.99)
	long := float64(with.results.longUseful) / float64(with.results.long)
	figures := []Figure{
		b.figure("p99 wait of short behind long", nameDispatcher, fmt.Sprintf("%s, %.2fx of %s without long work", millis(own), ratio(own, base), millis(base)),
			"within 1.5x", ratio(own, base) <= 1.5),
		b.figure("long work that finishes", nameDispatcher, percent(long), "", false),
	}
	for _, c := range creators {
		m := newModel(b.Service, mixed, b.Seed, c.create)
		m.run(lineLength)
		figures = append(figures, b.figure("p99 wait of short behind long", c.name, millis(quantile(m.results.waits, 0.99)), "", false))
	}
	return figures
}

func millis(d time.Duration) string {
	return fmt.Sprintf("%.1f ms", float64(d)/float64(time.Millisecond))
}

func ratio(a, b time.Duration) float64 { return float64(a) / float64(max(b, time.Microsecond)) }

const (
	flapLength = 10 * time.Minute
	flapPart   = 5 * time.Second
)

// Flapping measures how many requests meet a target that is sick half of the
// time, after its second cycle.
func (b Bench) Flapping() []Figure {
	met := 0
	m, _ := b.dispatch(shortLoad(0.5), flapLength, func(m *model) {
		sick := fault{slow: 5}
		for at := faultAt; at < flapLength; at += 2 * flapPart {
			sick.start(m, at)
			fault{slow: 1}.start(m, at+flapPart)
		}
		m.at(faultAt+4*flapPart, func() { met = m.targets[0].metSick })
	})
	share := float64(m.targets[0].metSick-met) / float64(m.requests)
	return []Figure{b.figure("flapping: requests that meet it sick", nameDispatcher, percent(share), "under 2%", share < 0.02)}
}

// Probes gives the share of a target's slots that probes take.
func (b Bench) Probes() []Figure {
	p := b.Service.Policy
	share := float64(b.Service.ProbeTime) / float64(p.Probe.Every) / float64(p.Slots)
	return []Figure{b.figure("capacity spent on probes", nameDispatcher, percent(share), "under 2%", share < 0.02)}
}

// Measures names the measures in the order of the table.
var Measures = []string{"detection", "ejections", "peak", "waiting", "flapping", "probes"}

// Run measures what the names say, or everything where there are none.
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

// Point is a setting on the curve of detection against false ejections.
type Point struct {
	Evidence float64
	// Detection is the median time of detection of a target that is slow.
	Detection time.Duration
	// PerHour is the false ejections per target-hour.
	PerHour float64
}

// Curve measures detection and false ejections at different evidence.
func (b Bench) Curve(evidence []float64) []Point {
	var points []Point
	for _, e := range evidence {
		n, hours, _ := b.falseEjections(e)
		points = append(points, Point{
			Evidence: e, Detection: quantile(b.detectionTimes(faults[0], e), 0.5), PerHour: float64(n) / hours,
		})
	}
	return points
}

// goals of false ejections: target-hours between two of them.
var falseHours = map[answers.Level]float64{answers.Low: 1_000, answers.Medium: 10_000, answers.High: 100_000}

// New returns the bench of one service.
func New(s answers.Service, policy *configuration.Service) Bench {
	return Bench{
		Name: string(s.Name), Seed: 1, Runs: 100, Hours: 20, FalseHours: falseHours[s.LostTargetCost],
		LongShare: s.LongShare(),
		Service: Service{
			Targets: int(s.Targets), Slots: int(policy.Slots), Backlog: 2, Policy: policy, ProbeTime: s.HealthCheckTime,
		},
	}
}
