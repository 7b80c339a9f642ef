package schedule

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/briarrouter/briarrouter/configuration"
	"github.com/briarrouter/briarrouter/id"
	"github.com/briarrouter/briarrouter/outcome"
	"github.com/briarrouter/briarrouter/quarantine"
	"github.com/briarrouter/briarrouter/work"
	"github.com/stretchr/testify/require"
)

// TestChangesAndListsGiveTheSameDecisions passes the same changes of the targets to two
// schedulers, to one as changes and to the other as whole lists, and schedules the same
// jobs on both.
func TestChangesAndListsGiveTheSameDecisions(t *testing.T) {
	for seed := range uint64(100) {
		random := rand.New(rand.NewPCG(seed, 2))
		policy := &configuration.Service{Slots: 2, Floor: 1, LongShare: 1, Queue: 20, Warmup: time.Second}
		if seed%2 == 0 {
			policy.Evidence, policy.FirstEjection = 5, time.Second
		} else {
			policy.FailureCost, policy.Spread = 8, 0.7
		}
		byChange := New(policy, quarantine.New(), rand.New(rand.NewPCG(seed, 3)))
		byList := New(policy, quarantine.New(), rand.New(rand.NewPCG(seed, 3)))
		listed := make(map[id.Target]Endpoint)
		route := &configuration.Route{Name: "read", Idempotent: true}
		now := time.Unix(0, 0)
		running := make(map[Ticket]bool)
		for step := range 300 {
			now = now.Add(time.Duration(random.IntN(40)) * time.Millisecond)
			if random.IntN(4) == 0 {
				c := randomTargetChange(random, listed)
				byChange.UpdateTargets(now, c)
				whole := TargetChange{Full: true}
				for _, e := range listed {
					whole.Listed = append(whole.Listed, e)
				}
				byList.UpdateTargets(now, whole)
			}
			job := Job{Ticket: Ticket(step + 1), Route: route, Identity: work.Identity{Content: work.Fingerprint(step)}, Deadline: now.Add(time.Second)}
			d := byChange.Arrive(now, job)
			require.Equal(t, d, byList.Arrive(now, job), "seed %d, step %d", seed, step)
			if d.Kind == Granted {
				running[job.Ticket] = true
			}
			for ticket := range running {
				if ticket%5 == Ticket(step%5) {
					delete(running, ticket)
					r := Result{Ending: outcome.Answered, Wrong: ticket%3 == 0, Elapsed: 10 * time.Millisecond}
					if ticket%7 == 0 {
						r.Ending = outcome.Declined
					}
					byChange.Finish(now, ticket, r)
					byList.Finish(now, ticket, r)
				}
			}
			byChange.Tick(now)
			byList.Tick(now)
			next := byChange.Next(now)
			require.Equal(t, next, byList.Next(now), "seed %d, step %d", seed, step)
			for _, n := range next {
				if n.Decision.Kind == Granted {
					running[n.Ticket] = true
				}
			}
			require.Equal(t, byList.Sightings(), byChange.Sightings(), "seed %d, step %d", seed, step)
		}
		require.Equal(t, byList.State(now), byChange.State(now), "seed %d", seed)
	}
}

// randomTargetChange changes a list and returns the change.
func randomTargetChange(random *rand.Rand, listed map[id.Target]Endpoint) TargetChange {
	var c TargetChange
	name := id.Target(fmt.Sprintf("t%d", random.IntN(9)))
	if random.IntN(3) == 0 {
		delete(listed, name)
		c.Gone = append(c.Gone, name)
		return c
	}
	e := Endpoint{ID: name, Address: id.Address(name), Incarnation: uint64(random.IntN(2)), Leaving: random.IntN(4) == 0}
	listed[name] = e
	c.Listed = append(c.Listed, e)
	return c
}

// changedTarget returns a change of one of a number of targets.
func changedTarget(i, targets int) TargetChange {
	name := id.Target(fmt.Sprintf("t%04d", i%targets))
	return TargetChange{Listed: []Endpoint{{ID: name, Address: id.Address(name), Incarnation: uint64(i)}}}
}

// TestCostOfOneChange bounds what is allocated for a change of one target and for a
// tick, whatever the number of targets.
func TestCostOfOneChange(t *testing.T) {
	allocations := func(targets int) float64 {
		s, now, i := newRankingScheduler(targets), time.Unix(0, 0), 0
		return testing.AllocsPerRun(200, func() {
			now, i = now.Add(50*time.Millisecond), i+1
			s.UpdateTargets(now, changedTarget(i, targets))
			s.Tick(now)
			s.Next(now)
		})
	}
	least := allocations(10)
	for _, targets := range []int{100, 1000, 13000} {
		require.LessOrEqual(t, allocations(targets), 2*least, "%d targets", targets)
	}
}

// newRankingScheduler returns a scheduler of a service whose targets are ranked by
// failure probability and not ejected.
func newRankingScheduler(targets int) *Scheduler {
	s := newServiceScheduler(targets)
	policy := *s.policy
	policy.Evidence, policy.FailureCost, policy.Spread = 0, 8, 0.7
	s.SetPolicy(&policy)
	return s
}

// BenchmarkChange measures a change of one target and the tick that follows it.
func BenchmarkChange(b *testing.B) {
	for _, targets := range []int{10, 100, 1000, 13000} {
		b.Run(fmt.Sprint(targets), func(b *testing.B) {
			s, now := newRankingScheduler(targets), time.Unix(0, 0)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				now = now.Add(50 * time.Millisecond)
				s.UpdateTargets(now, changedTarget(i, targets))
				s.Tick(now)
				s.Next(now)
			}
		})
	}
}
