package schedule

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/briarrouter/briarrouter/configuration"
	"github.com/briarrouter/briarrouter/id"
	"github.com/briarrouter/briarrouter/outcome"
	"github.com/briarrouter/briarrouter/quarantine"
	"github.com/briarrouter/briarrouter/suspicion"
	"github.com/briarrouter/briarrouter/unit"
	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"
)

// TestSpreadTargets shows which of four targets must receive a request for
// coverage at several times after one of them succeeded, one declined, one failed
// and one was reported as failing by another daemon.
func TestSpreadTargets(t *testing.T) {
	var b strings.Builder
	for _, after := range []time.Duration{time.Second, 1900 * time.Millisecond, 2300 * time.Millisecond, 2500 * time.Millisecond} {
		now := time.Unix(1000, 0)
		s := New(&configuration.Service{Name: "beds", Slots: 2, Floor: 1, LongShare: 1, Queue: 10, FailureCost: 8, Spread: 0.7},
			quarantine.New(), rand.New(rand.NewPCG(1, 1)))
		var list []Endpoint
		for _, name := range []string{"answered", "declined", "failed", "reported"} {
			list = append(list, Endpoint{ID: id.Target(name), Address: id.Address(name)})
		}
		s.UpdateTargets(now, TargetChange{Full: true, Listed: list})
		route := &configuration.Route{Name: "work"}
		for i, r := range []Result{{Ending: outcome.Answered}, {Ending: outcome.Declined}, {Ending: outcome.Answered, Wrong: true}} {
			job := Job{Ticket: Ticket(i), Route: route, Deadline: now.Add(time.Minute)}
			s.grant(now, job, s.targets[i], ByRank)
			s.Finish(now, job.Ticket, r)
		}
		observation, _ := Result{Ending: outcome.Answered, Wrong: true}.observation(0)
		s.targets[3].observe(now, observation)
		s.targets[3].lastUsed = now
		now = now.Add(after)
		for range 40 {
			s.requests.recordArrival(now, Job{Route: route})
		}
		var due []string
		for {
			target := s.spreadTarget(now, Job{Route: route, Deadline: now.Add(time.Minute)}, false)
			if target == nil {
				break
			}
			due = append(due, string(target.endpoint.ID))
			target.lastUsed = now
		}
		fmt.Fprintf(&b, "%s later: %v\n", after, due)
	}
	goldie.New(t).Assert(t, "spread", []byte(b.String()))
}

// TestFailingTargetLeftOut guards against coverage that needs a failing target although all others are covered.
func TestFailingTargetLeftOut(t *testing.T) {
	for _, share := range []unit.Ratio{0.5, 0.7, 0.9, 0.95} {
		now := time.Unix(1000, 0)
		s := New(&configuration.Service{Name: "beds", Slots: 2, Floor: 1, LongShare: 1, Queue: 10, FailureCost: 8, Spread: share},
			quarantine.New(), rand.New(rand.NewPCG(1, 1)))
		var list []Endpoint
		for i := range 20 {
			list = append(list, Endpoint{ID: id.Target(fmt.Sprint(i)), Address: id.Address(fmt.Sprint(i))})
		}
		s.UpdateTargets(now, TargetChange{Full: true, Listed: list})
		for range 3 {
			s.targets[0].observe(now, suspicion.FastFailure)
		}
		now = now.Add(3 * time.Second)
		for _, target := range s.targets[1:] {
			target.observe(now, suspicion.Success)
			target.lastUsed = now
		}
		for range 100 {
			s.requests.recordArrival(now, Job{Route: &configuration.Route{}})
		}
		require.Positive(t, s.Coverage(now).Required, share)
		require.Nil(t, s.spreadTarget(now, Job{Route: &configuration.Route{}, Deadline: now.Add(time.Minute)}, false), share)
	}
}
