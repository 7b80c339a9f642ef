package quarantine

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/briarrouter/briarrouter/id"
	"github.com/briarrouter/briarrouter/work"
	"github.com/sebdah/goldie/v2"
)

// TestPowerLoss simulates a loss of power of a third of the targets while requests run
// that are not its cause, and reports how many of these are quarantined and how many
// later ones are refused for it.
func TestPowerLoss(t *testing.T) {
	var out strings.Builder
	for _, load := range []struct {
		name     string
		identify func(number int) work.Identity
	}{
		{"one page, a caller each", func(n int) work.Identity { return identity(fmt.Sprintf("page@%d", n)) }},
		{"one page, one caller", func(int) work.Identity { return identity("page@monitor") }},
		{"one page, ten callers", func(n int) work.Identity { return identity(fmt.Sprintf("page@%d", n%10)) }},
		{"a page each, ten callers", func(n int) work.Identity { return identity(fmt.Sprintf("page%d@%d", n, n%10)) }},
	} {
		for _, spread := range []time.Duration{0, 100 * time.Millisecond, time.Second} {
			l := newPowerLoss(load.identify, spread)
			l.run()
			fmt.Fprintf(&out, "%s, targets lost within %s: %d requests, %d lost runs, %d quarantined; %d of %d later requests refused\n",
				load.name, spread, l.arrived, l.lost, l.quarantined, l.refused, l.later)
		}
	}
	goldie.New(t).Assert(t, "powerloss", []byte(out.String()))
}

const (
	powerTargets  = 30
	powerLost     = 10
	powerRate     = 1000 // requests a second
	powerDuration = 3 * time.Second
	powerService  = 50 * time.Millisecond
	powerAttempts = 2
	// powerLossAt is when the first target is lost.
	powerLossAt = time.Second
)

// powerLoss is a simulated loss of power.
type powerLoss struct {
	table    *Table
	random   *rand.Rand
	identify func(number int) work.Identity
	lostAt   [powerTargets]time.Duration
	// noticed tells which targets are known to be lost.
	noticed                                    [powerTargets]bool
	events                                     runHeap
	arrived, lost, quarantined, later, refused int
}

// powerRun is an arrival or the end of a run.
type powerRun struct {
	at, begun time.Duration
	number    int
	attempts  int
	target    int
	ends      bool
}

type runHeap []powerRun

func (h runHeap) Len() int           { return len(h) }
func (h runHeap) Less(a, b int) bool { return h[a].at < h[b].at }
func (h runHeap) Swap(a, b int)      { h[a], h[b] = h[b], h[a] }
func (h *runHeap) Push(x any)        { *h = append(*h, x.(powerRun)) }
func (h *runHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

func newPowerLoss(identify func(int) work.Identity, spread time.Duration) *powerLoss {
	l := &powerLoss{table: New(), random: rand.New(rand.NewPCG(1, 1)), identify: identify}
	for i := range l.lostAt {
		l.lostAt[i] = time.Hour
		if i < powerLost {
			l.lostAt[i] = powerLossAt + time.Duration(l.random.Float64()*float64(spread))
		}
	}
	return l
}

func (l *powerLoss) run() {
	for at := time.Duration(0); at < powerDuration; at += time.Duration(l.random.ExpFloat64() * float64(time.Second) / powerRate) {
		l.arrived++
		l.events = append(l.events, powerRun{at: at, number: l.arrived})
	}
	heap.Init(&l.events)
	for len(l.events) > 0 {
		r := heap.Pop(&l.events).(powerRun)
		if r.ends {
			l.end(r)
			continue
		}
		l.start(r)
	}
	// Each request comes once more.
	for n := range l.arrived {
		l.later++
		if l.table.Quarantined(l.time(powerDuration+time.Second), l.identify(n+1)) {
			l.refused++
		}
	}
}

func (l *powerLoss) time(at time.Duration) time.Time { return time.Unix(0, 0).Add(at) }

func (l *powerLoss) start(r powerRun) {
	if l.table.Quarantined(l.time(r.at), l.identify(r.number)) {
		return
	}
	r.target = l.random.IntN(powerTargets)
	for l.noticed[r.target] {
		r.target = l.random.IntN(powerTargets)
	}
	r.attempts++
	r.begun, r.ends = r.at, true
	r.at += time.Duration(l.random.ExpFloat64() * float64(powerService))
	r.at = max(r.begun, min(r.at, l.lostAt[r.target]))
	heap.Push(&l.events, r)
}

func (l *powerLoss) end(r powerRun) {
	if r.at < l.lostAt[r.target] {
		l.table.RecordCompletion(l.time(r.at), l.identify(r.number))
		return
	}
	l.lost++
	l.noticed[r.target] = true
	if l.table.RecordCrash(l.time(r.at), l.time(r.begun), l.identify(r.number), id.Target(fmt.Sprint(r.target))) {
		l.quarantined++
	}
	if r.attempts < powerAttempts {
		r.ends = false
		heap.Push(&l.events, r)
	}
}
