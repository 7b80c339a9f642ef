package registry

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/briarrouter/briarrouter/id"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
)

// TestFollowersOfEachOther guards against an old copy that two daemons take for a fresh one
// because each confirms it to the other, and messages take time.
func TestFollowersOfEachOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const delay = 50 * time.Millisecond
		started := time.Now()
		var daemons []*Registry
		for i := range 2 {
			r := New(Config{Log: zerolog.Nop(), Scope: tally.NoopScope, InForce: 2 * time.Second})
			r.self, r.ctx = id.Incarnation(i+1), t.Context()
			r.store = &offers{}
			r.selector = newSourceSelector(Daemon{Host: id.Host(rune('a' + i))}, false, 2*time.Second, started)
			daemons = append(daemons, r)
		}
		a, b := daemons[0], daemons[1]
		toA, toB := newFollower(a, "b"), newFollower(b, "a")
		follow := func(from *Registry, to *follower) {
			m, _, _ := from.Changes(0, true)
			time.Sleep(delay)
			to.apply(m)
		}
		age := func(r *Registry) time.Duration {
			r.mu.Lock()
			defer r.mu.Unlock()
			return r.age(time.Now(), true)
		}
		a.confirmFromPlatform(time.Now())
		for range 100 {
			follow(a, toB)
			follow(b, toA)
		}
		require.Equal(t, time.Since(started), age(a), "age of the copy of a")
		require.Equal(t, time.Since(started)-delay, age(b), "age of the copy of b")
		// A new confirmation reaches the other daemon.
		b.confirmFromPlatform(time.Now())
		follow(b, toA)
		require.Zero(t, age(a))
		require.Equal(t, delay, age(b))
	})
}

// TestConfirmersForgotten guards against daemons that are remembered without a bound.
func TestConfirmersForgotten(t *testing.T) {
	cs := make(confirmations)
	now := time.Unix(0, 0)
	for i := range 3 * maxConfirmers {
		require.True(t, cs.add(now.Add(time.Duration(i)), Confirmation{By: id.Incarnation(i + 1), Number: 1}))
		require.False(t, cs.add(now.Add(time.Duration(i)), Confirmation{By: id.Incarnation(i + 1), Number: 1}))
	}
	require.Len(t, cs, maxConfirmers)
}
