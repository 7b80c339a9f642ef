package schedule

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/briarrouter/briarrouter/configuration"
	"github.com/briarrouter/briarrouter/id"
	"github.com/briarrouter/briarrouter/outcome"
	"github.com/briarrouter/briarrouter/quarantine"
	"github.com/briarrouter/briarrouter/unit"
	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"
)

// load is a load on one service that is played in virtual time.
type load struct {
	name    string
	targets int
	slots   unit.Slots
	// rate is the requests a second in all, and safe the share of them that is
	// idempotent.
	rate, safe float64
	work       time.Duration
	// episode is how long a target stays sick or well, sick the share of the
	// time that it is sick, and fails the share of requests that fail then.
	episode time.Duration
	sick    float64
	fails   float64
	// burst is how many times the rate arrives in each third ten seconds.
	burst float64
	// lost is the share of the targets that are gone from the half on.
	lost float64
}

// chooser chooses targets for one daemon.
type chooserFunc func(w *player, daemon int, safe bool, tried []int) int

// played is what callers got.
type played struct {
	asked, served, late, lost, refused int
	// looks counts the moments at which the spread was looked at, and narrow
	// those of them at which too few of the targets that had not failed for two
	// seconds had got work in that time.
	looks, narrow int
}

func (p played) String() string {
	share := func(n int) float64 { return math.Round(1000*float64(n)/float64(p.asked)) / 10 }
	return fmt.Sprintf("served %.1f%%, in time %.1f%%, failed %.1f%%, refused %.1f%%, narrow %.1f%%",
		share(p.served), share(p.served-p.late), share(p.lost), share(p.refused), 100*float64(p.narrow)/float64(max(1, p.looks)))
}

const (
	daemons    = 3
	objective  = 600 * time.Millisecond
	deadline   = 2 * time.Second
	ownErrors  = 0.012
	shareDelay = 30 * time.Millisecond
	// floorWindow and floorShare are what platforms look at.
	floorWindow = 2 * time.Second
	floorShare  = 0.7
)

// event is something that happens at a time.
type event struct {
	at  time.Time
	do  func()
	seq int
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return cmp.Or(e[i].at.Compare(e[j].at), e[i].seq-e[j].seq) < 0 }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// player plays a load.
type player struct {
	load   load
	now    time.Time
	start  time.Time
	queue  events
	seq    int
	random *rand.Rand
	sick   [][]bool
	free   [][]time.Time
	// used and failed hold when each target last got a request and failed one.
	used, failed []time.Time
	schedulers   []*Scheduler
	waiting      []map[Ticket]func(Decision)
	ticket       Ticket
	got          played
}

func (w *player) after(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.queue, event{w.now.Add(d), do, w.seq})
}

// play plays a load for a time. Policy changes the policy of our scheduler; with
// other, that chooses instead.
func play(l load, span time.Duration, policy func(*configuration.Service), other chooserFunc) played {
	w := &player{load: l, start: time.Unix(1000, 0), random: rand.New(rand.NewPCG(7, 11))}
	w.now = w.start
	for range l.targets {
		var phases []bool
		for range int(span/l.episode) + 2 {
			phases = append(phases, w.random.Float64() < l.sick)
		}
		w.sick = append(w.sick, phases)
		w.free = append(w.free, make([]time.Time, l.slots))
	}
	w.used, w.failed = make([]time.Time, l.targets), make([]time.Time, l.targets)
	w.after(5*time.Second, w.look)
	for d := range daemons {
		p := &configuration.Service{Name: "beds", Slots: l.slots, Floor: 1, LongShare: 1, Queue: 256, Attempts: 2, Avoidance: 8, Spread: 0.7}
		if policy != nil {
			policy(p)
		}
		s := New(p, quarantine.New(), rand.New(rand.NewPCG(uint64(d), 1)))
		s.SetServers(daemons)
		s.SetTargets(w.now, w.endpoints(0))
		w.schedulers = append(w.schedulers, s)
		w.waiting = append(w.waiting, make(map[Ticket]func(Decision)))
		w.after(0, func() { w.tick(d) })
		w.after(0, func() { w.share(d) })
	}
	if l.lost > 0 {
		w.after(span/2, func() {
			for _, s := range w.schedulers {
				s.SetTargets(w.now, w.endpoints(int(l.lost*float64(l.targets))))
			}
		})
	}
	w.arrive(other)
	for len(w.queue) > 0 {
		e := heap.Pop(&w.queue).(event)
		if e.at.Sub(w.start) > span {
			break
		}
		w.now = e.at
		e.do()
	}
	return w.got
}

// look looks at the spread.
func (w *player) look() {
	sound, got := 0, 0
	for t := range w.load.targets {
		if w.now.Sub(w.failed[t]) < floorWindow {
			continue
		}
		sound++
		got += count(w.now.Sub(w.used[t]) < floorWindow)
	}
	w.got.looks++
	w.got.narrow += count(float64(got) < floorShare*float64(sound))
	w.after(500*time.Millisecond, w.look)
}

func (w *player) endpoints(lost int) []Endpoint {
	var list []Endpoint
	for i := lost; i < w.load.targets; i++ {
		list = append(list, Endpoint{ID: id.Target(fmt.Sprint(i)), Address: id.Address(fmt.Sprint(i))})
	}
	return list
}

func (w *player) tick(d int) {
	w.schedulers[d].Tick(w.now)
	w.deliver(d)
	w.after(50*time.Millisecond, func() { w.tick(d) })
}

// share tells the other daemons what one saw.
func (w *player) share(d int) {
	if list := w.schedulers[d].Sightings(); len(list) > 0 {
		for other := range w.schedulers {
			if other != d {
				w.schedulers[other].Learn(w.now, id.Host(fmt.Sprint(d)), list)
			}
		}
	}
	w.after(shareDelay, func() { w.share(d) })
}

func (w *player) deliver(d int) {
	for _, e := range w.schedulers[d].Next(w.now) {
		if do := w.waiting[d][e.Ticket]; do != nil {
			delete(w.waiting[d], e.Ticket)
			do(e.Decision)
		}
	}
}

// arrive lets the next request arrive, and those after it.
func (w *player) arrive(other chooserFunc) {
	rate := w.load.rate
	if w.load.burst > 0 && int(w.now.Sub(w.start)/(10*time.Second))%3 == 2 {
		rate *= w.load.burst
	}
	w.after(time.Duration(w.random.ExpFloat64()/rate*float64(time.Second)), func() {
		safe := w.random.Float64() < w.load.safe
		w.got.asked++
		r := &playedRequest{player: w, daemon: w.random.IntN(daemons), safe: safe, begun: w.now, other: other}
		r.attempt()
		w.arrive(other)
	})
}

// playedRequest is one request.
type playedRequest struct {
	player *player
	daemon int
	safe   bool
	begun  time.Time
	other  chooserFunc
	tried  []int
	job    Job
}

func (r *playedRequest) attempt() {
	w := r.player
	if r.other != nil {
		r.run(r.other(w, r.daemon, r.safe, r.tried))
		return
	}
	w.ticket++
	r.job.Ticket, r.job.Deadline = w.ticket, r.begun.Add(deadline)
	r.job.Route = &configuration.Route{Name: "work", Idempotent: r.safe}
	for _, t := range r.tried {
		r.job.Tried = append(r.job.Tried, id.Target(fmt.Sprint(t)))
	}
	d := w.schedulers[r.daemon].Arrive(w.now, r.job)
	if d.Kind == Waiting {
		w.waiting[r.daemon][r.job.Ticket] = r.decided
		w.deliver(r.daemon)
		return
	}
	r.decided(d)
}

func (r *playedRequest) decided(d Decision) {
	if d.Kind == Refused {
		r.player.got.refused++
		return
	}
	var t int
	fmt.Sscan(string(d.Endpoint.ID), &t)
	r.run(t)
}

// run runs the request on a target: its slots take one after the other.
func (r *playedRequest) run(t int) {
	w := r.player
	r.tried = append(r.tried, t)
	w.used[t] = w.now
	phase := int(w.now.Sub(w.start)/w.load.episode) % len(w.sick[t])
	sick := w.sick[t][phase]
	began := w.now
	if sick && w.random.Float64() < w.load.fails {
		w.after(2*time.Millisecond, func() { r.ended(began, true) })
		return
	}
	// Work is log-normal with a spread of 0.8.
	work := time.Duration(float64(w.load.work) * math.Exp(0.8*w.random.NormFloat64()-0.32))
	slot := slices.IndexFunc(w.free[t], func(at time.Time) bool { return at.Equal(slices.MinFunc(w.free[t], time.Time.Compare)) })
	end := w.now
	if w.free[t][slot].After(end) {
		end = w.free[t][slot]
	}
	end = end.Add(work)
	w.free[t][slot] = end
	failed := w.random.Float64() < ownErrors
	w.after(end.Sub(w.now), func() { r.ended(began, failed) })
}

func (r *playedRequest) ended(began time.Time, failed bool) {
	w := r.player
	if failed {
		w.failed[r.tried[len(r.tried)-1]] = w.now
	}
	if r.other == nil {
		w.schedulers[r.daemon].Finish(w.now, r.job.Ticket, Result{Ending: outcome.Answered, Wrong: failed, Elapsed: w.now.Sub(began)})
		defer w.deliver(r.daemon)
	}
	took := w.now.Sub(r.begun)
	switch {
	case failed && r.safe && len(r.tried) < 2:
		r.attempt()
		return
	case failed || took > deadline:
		w.got.lost++
	default:
		w.got.served++
		if took > objective {
			w.got.late++
		}
	}
	if r.other == nil {
		w.schedulers[r.daemon].Served(w.now, !failed)
	}
}

// roundRobin takes each target in its turn.
func roundRobin() chooserFunc {
	var turns [daemons]int
	return func(w *player, daemon int, _ bool, _ []int) int {
		turns[daemon]++
		return (turns[daemon]*daemons + daemon) % w.load.targets
	}
}

// twoChoices takes the shorter queue of two targets.
func twoChoices() chooserFunc {
	return func(w *player, _ int, _ bool, tried []int) int {
		pick := func() int { return w.random.IntN(w.load.targets) }
		a, b := pick(), pick()
		if slices.Contains(tried, a) || w.free[a][0].After(w.free[b][0]) {
			return b
		}
		return a
	}
}

var loads = []load{
	{name: "gray, unrepeatable work", targets: 14, slots: 2, rate: 48, work: 140 * time.Millisecond, episode: 9 * time.Second, sick: 0.3, fails: 0.85},
	{name: "gray, a third idempotent", targets: 14, slots: 2, rate: 48, safe: 0.33, work: 140 * time.Millisecond, episode: 9 * time.Second, sick: 0.3, fails: 0.85},
	{name: "gray, few targets", targets: 8, slots: 2, rate: 22, safe: 0.65, work: 100 * time.Millisecond, episode: 9 * time.Second, sick: 0.3, fails: 0.85},
	{name: "gray in bursts", targets: 14, slots: 2, rate: 48, work: 140 * time.Millisecond, episode: 9 * time.Second, sick: 0.3, fails: 0.85, burst: 1.7},
	{name: "gray, a third of the targets lost", targets: 14, slots: 2, rate: 40, work: 140 * time.Millisecond, episode: 9 * time.Second, sick: 0.3, fails: 0.85, lost: 0.34},
	{name: "gray, many slots", targets: 16, slots: 4, rate: 57, work: 260 * time.Millisecond, episode: 12 * time.Second, sick: 0.3, fails: 0.75},
	{name: "most targets gray, much load", targets: 14, slots: 2, rate: 62, work: 140 * time.Millisecond, episode: 9 * time.Second, sick: 0.6, fails: 0.85},
	{name: "few targets well, more than they take at times", targets: 14, slots: 2, rate: 55, work: 140 * time.Millisecond, episode: 12 * time.Second, sick: 0.55, fails: 0.85, burst: 1.7},
	{name: "all well", targets: 14, slots: 2, rate: 100, work: 140 * time.Millisecond, episode: 9 * time.Second, fails: 1},
}

// TestLoads plays each load and shows what callers get, beside round robin, two
// random choices, and our ranks without suspicion.
func TestLoads(t *testing.T) {
	const span = 200 * time.Second
	var b strings.Builder
	for _, l := range loads {
		ours := play(l, span, nil, nil)
		alone := play(l, span, func(p *configuration.Service) { p.Avoidance, p.Spread = 0, 0 }, nil)
		fmt.Fprintf(&b, "%s\n  ours: %s\n  by load alone: %s\n", l.name, ours, alone)
		if l.lost == 0 {
			fmt.Fprintf(&b, "  round robin: %s\n  two choices: %s\n", play(l, span, nil, roundRobin()), play(l, span, nil, twoChoices()))
		}
		require.GreaterOrEqual(t, ours.served, alone.served*99/100, l.name)
		if l.sick > 0 {
			// Half of what sick targets would lose is saved at least.
			require.Less(t, ours.lost, alone.lost/2, l.name)
		}
	}
	goldie.New(t).Assert(t, "loads", []byte(b.String()))
}
