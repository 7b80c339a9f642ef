package retry

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"
)

// fleetPart is a part of a fleet whose daemons reach each other, with the number of
// its replicas: as many as package rendezvous takes of daemons of one size.
func fleetPart(daemons int) (replicas int) { return min(daemons, max(3, daemons/16)) }

// TestBurstShare sums the bursts of all daemons of a fleet that is whole or cut into
// two parts, or whose daemons are all alone.
func TestBurstShare(t *testing.T) {
	var out strings.Builder
	for _, daemons := range []int{1, 5, 23, 132, 443, 940} {
		for _, total := range []float64{0, 1, 5, 20, 56, 214, 630} {
			fmt.Fprintf(&out, "%d daemons, total %v:", daemons, total)
			for _, cut := range []float64{0, 0.3, 0.5, 1} {
				parts := []int{daemons - int(cut*float64(daemons)), int(cut * float64(daemons))}
				if cut == 1 {
					parts = nil
					for range daemons {
						parts = append(parts, 1)
					}
				}
				sum, smallest := 0.0, -1.0
				for _, part := range parts {
					replicas := fleetPart(part)
					for rank := range replicas {
						burst := BurstShare(total, Fleet{Serving: true, Rank: rank, Replicas: replicas, Known: daemons, Reachable: part})
						require.True(t, burst == 0 || burst >= 1, "a burst below 1 is of no use to anyone")
						sum += burst
						if smallest < 0 || burst < smallest {
							smallest = burst
						}
					}
				}
				require.LessOrEqual(t, sum, total)
				fmt.Fprintf(&out, " cut %v: %.1f in all, least %.1f;", cut, sum, smallest)
			}
			out.WriteString("\n")
		}
	}
	require.Zero(t, BurstShare(20, Fleet{Replicas: 3, Known: 9, Reachable: 9}), "a daemon that is no replica")
	goldie.New(t).Assert(t, "burstshare", []byte(out.String()))
}

// budgetFleet is a fleet whose daemons make as many retries as their budgets allow.
type budgetFleet struct {
	total    float64
	now      time.Time
	random   *rand.Rand
	budgets  []*Budget
	side     []int
	firsts   []time.Time
	retries  []time.Time
	replicas map[int][]int
}

const (
	fleetShare  = 0.2
	fleetWindow = 10 * time.Second
)

// fleetOf returns a daemon's view: it reaches the daemons of its own side.
func (f *budgetFleet) fleetOf(daemon int) Fleet {
	view := Fleet{Known: len(f.budgets), Replicas: len(f.replicas[f.side[daemon]])}
	for rank, replica := range f.replicas[f.side[daemon]] {
		if replica == daemon {
			view.Serving, view.Rank = true, rank
		}
	}
	for _, side := range f.side {
		if side == f.side[daemon] {
			view.Reachable++
		}
	}
	return view
}

func (f *budgetFleet) config(daemon int) Config {
	return Config{Share: fleetShare, Window: fleetWindow, Burst: BurstShare(f.total, f.fleetOf(daemon))}
}

// regroup draws the replicas of each side anew.
func (f *budgetFleet) regroup() {
	sides := make(map[int][]int)
	for _, daemon := range f.random.Perm(len(f.side)) {
		sides[f.side[daemon]] = append(sides[f.side[daemon]], daemon)
	}
	f.replicas = make(map[int][]int)
	for side, daemons := range sides {
		f.replicas[side] = daemons[:fleetPart(len(daemons))]
	}
	for daemon, b := range f.budgets {
		b.SetConfig(f.now, f.config(daemon))
	}
}

// change cuts the fleet, heals it, replaces the replicas or restarts some daemons.
func (f *budgetFleet) change() {
	switch f.random.IntN(4) {
	case 0:
		cut := []float64{0.1, 0.3, 0.5}[f.random.IntN(3)]
		for daemon := range f.side {
			f.side[daemon] = 0
			if f.random.Float64() < cut {
				f.side[daemon] = 1
			}
		}
	case 1:
		clear(f.side)
	case 2:
		for daemon := range f.budgets {
			if f.random.IntN(2) == 0 {
				f.budgets[daemon] = NewBudget(f.now, f.config(daemon))
			}
		}
	}
	f.regroup()
}

// TestBudgetOfFleet lets every daemon of a fleet make as many retries as it may, with
// quiet spans between, while the fleet is cut and healed and its replicas are replaced
// and restarted. No window may have more retries than the total allows.
func TestBudgetOfFleet(t *testing.T) {
	retries := make(map[int]int)
	for seed := range uint64(16) {
		for _, daemons := range []int{5, 23, 132, 443} {
			total := []float64{5, 20, 56, 630}[seed%4]
			f := &budgetFleet{total: total, now: time.Unix(0, 0), random: rand.New(rand.NewPCG(seed, uint64(daemons))), side: make([]int, daemons)}
			for range daemons {
				f.budgets = append(f.budgets, NewBudget(f.now, Config{Share: fleetShare, Window: fleetWindow}))
			}
			f.regroup()
			greedy := true
			for step := range 600 {
				f.now = f.now.Add(100 * time.Millisecond)
				if f.random.IntN(40) == 0 {
					f.change()
				}
				if step%50 == 0 {
					greedy = f.random.IntN(2) == 0
				}
				for range f.random.IntN(6) {
					replicas := f.replicas[f.side[f.random.IntN(daemons)]]
					f.budgets[replicas[f.random.IntN(len(replicas))]].RecordFirstAttempt()
					f.firsts = append(f.firsts, f.now)
				}
				for _, b := range f.budgets {
					for greedy && b.TryTake(f.now) {
						f.retries = append(f.retries, f.now)
					}
				}
			}
			retries[daemons] += len(f.retries)
			f.check(t, fmt.Sprintf("seed %d, %d daemons, total %v", seed, daemons, total))
		}
	}
	for _, daemons := range []int{5, 23, 132, 443} {
		require.Positive(t, retries[daemons], "%d daemons", daemons)
	}
}

// check compares the retries and the first attempts of each window that ends with a
// retry.
func (f *budgetFleet) check(t *testing.T, name string) {
	within := func(list []time.Time, end time.Time) (n int) {
		for _, at := range list {
			if !at.After(end) && end.Sub(at) <= fleetWindow {
				n++
			}
		}
		return n
	}
	for i, end := range f.retries {
		if i+1 < len(f.retries) && f.retries[i+1].Equal(end) {
			continue
		}
		require.LessOrEqual(t, float64(within(f.retries, end)), f.total+fleetShare*float64(within(f.firsts, end)), "%s, window to %s", name, end)
	}
}

// TestBudget checks that no window has more retries than the burst plus the share
// of its first attempts, also when the burst changes.
func TestBudget(t *testing.T) {
	now := time.Unix(0, 0)
	b := NewBudget(now, Config{Share: 0.25, Burst: 20, Window: time.Second})
	spend := func() int {
		n := 0
		for b.TryTake(now) {
			n++
		}
		return n
	}
	record := func(n int) {
		for range n {
			b.RecordFirstAttempt()
		}
	}
	require.Equal(t, 0, spend(), "the burst may have been spent by another daemon")
	record(100)
	require.Equal(t, 2, spend(), "the capacity before the grant")
	b.SetConfig(now, Config{Share: 0.25, Burst: 4, Window: time.Second})
	now = now.Add(500 * time.Millisecond)
	b.SetConfig(now, Config{Share: 0.25, Burst: 20, Window: time.Second})
	now = now.Add(500 * time.Millisecond)
	require.Equal(t, 4, spend(), "the grant a window later: the smallest burst until then")
	b.SetConfig(now, Config{Share: 0.25, Burst: 4, Window: time.Second})
	record(100)
	require.Equal(t, 4, spend())
	record(8)
	require.Equal(t, 2, spend())
	b.SetConfig(now, Config{Share: 0.25, Burst: 1, Window: time.Second})
	record(100)
	require.Equal(t, 1, spend())
	// A larger burst adds no tokens: neither once nor each time that it is set again.
	for range 3 {
		b.SetConfig(now, Config{Share: 0.25, Burst: 6, Window: time.Second})
		require.Equal(t, 0, spend())
		b.SetConfig(now, Config{Share: 0.25, Burst: 1, Window: time.Second})
	}
	b.SetConfig(now, Config{Share: 0.25, Burst: 6, Window: time.Second})
	now = now.Add(999 * time.Millisecond)
	require.Equal(t, 0, spend())
	now = now.Add(time.Millisecond)
	require.Equal(t, 6, spend())
	require.Equal(t, defaultBurst, int(NewBudget(now, Config{Share: 0.25}).Tokens(now)), "without a window, a daemon has a burst of its own")
}
