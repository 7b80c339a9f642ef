package router

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/briarrouter/briarrouter/configuration"
	"github.com/briarrouter/briarrouter/departure"
	"github.com/briarrouter/briarrouter/dispatch"
	"github.com/briarrouter/briarrouter/outcome"
	"github.com/briarrouter/briarrouter/work"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
)

// quickTargets is a dispatcher that responds at once, and a store with one route.
type quickTargets struct{ ran int }

func (d *quickTargets) Run(context.Context, *work.Request, configuration.Match) work.Response {
	d.ran++
	return work.Response{Outcome: outcome.Ran, Status: http.StatusOK}
}
func (*quickTargets) Prepare(*configuration.Service)                  {}
func (*quickTargets) SetReplicas(dispatch.Replicas)                   {}
func (d *quickTargets) Await(context.Context) *configuration.Snapshot { return d.Current() }
func (*quickTargets) Current() *configuration.Snapshot {
	s, err := configuration.NewSnapshot(configuration.Draft{
		Services: []*configuration.Service{{Name: "payments"}},
		Routes:   []configuration.Route{{Name: "pay", Path: "/", Timeout: 4 * time.Second, Parts: []configuration.Part{{Service: "payments", Weight: 1}}}},
	})
	if err != nil {
		panic(err)
	}
	return s
}

// TestLateInStop guards against requests that are taken late in a planned stop, since
// requests of their route are usually quick, and are still running at its cut.
func TestLateInStop(t *testing.T) {
	d := &quickTargets{}
	r := New(Config{Scope: tally.NoopScope, Local: true})
	r.policies, r.dispatcher, r.peers = d, d, &host{}
	now := time.Now()
	for _, c := range []struct {
		name    string
		plan    *departure.Plan
		outcome outcome.Outcome
	}{
		{"no stop", nil, outcome.Ran},
		{"callers hold the address", &departure.Plan{HeldUntil: now.Add(time.Minute), CutAt: now.Add(time.Minute)}, outcome.Ran},
		{"ends in time by its route", &departure.Plan{HeldUntil: now, CutAt: now.Add(time.Minute)}, outcome.Ran},
		{"may last longer than the stop", &departure.Plan{HeldUntil: now, CutAt: now.Add(2 * time.Second)}, outcome.NotRun},
	} {
		response := r.Handle(t.Context(), &work.Request{ID: "1", Method: http.MethodPost, Path: "/pay", Departure: c.plan})
		require.Equal(t, c.outcome, response.Outcome, c.name)
		if c.outcome == outcome.NotRun {
			require.Equal(t, http.StatusServiceUnavailable, response.Status)
			require.Equal(t, work.Leaving, response.Reason)
			require.Equal(t, departure.RetryAfter, response.RetryAfter)
		}
	}
	require.Equal(t, 3, d.ran)
	relayed := &work.Request{ID: "1", Method: http.MethodPost, Path: "/pay", Hops: 1, Deadline: now.Add(4 * time.Second), Departure: &departure.Plan{HeldUntil: now, CutAt: now.Add(2 * time.Second)}}
	require.Equal(t, work.Leaving, r.HandleRelayed(t.Context(), relayed, ToDispatcher).Reason)
}
