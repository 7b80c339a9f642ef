package registry

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/briarrouter/briarrouter/id"
	"github.com/briarrouter/briarrouter/schedule"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// listKeeper applies changes to a list of targets.
type listKeeper map[id.Target]schedule.Endpoint

func (k listKeeper) apply(c schedule.TargetChange) {
	if c.Full {
		clear(k)
	}
	for _, name := range c.Gone {
		delete(k, name)
	}
	for _, e := range c.Listed {
		k[e.ID] = e
	}
}

func (k listKeeper) list() []schedule.Endpoint {
	return slices.SortedFunc(maps.Values(k), func(a, b schedule.Endpoint) int { return cmp.Compare(a.ID, b.ID) })
}

// usableTargets computes Targets from the records alone.
func usableTargets(v *View, s id.Service) []schedule.Endpoint {
	newest := make(map[id.Address]*targetRecord)
	for _, rec := range v.targets {
		if e := rec.update.Entry; e != nil && (newest[e.Address] == nil || newest[e.Address].update.Revision < rec.update.Revision) {
			newest[e.Address] = rec
		}
	}
	k := make(listKeeper)
	for _, rec := range newest {
		if rec.update.Entry.Service == s {
			k[rec.update.Target] = rec.update.Entry.Endpoint
		}
	}
	return k.list()
}

// TestChangesGiveTheSameTargets publishes random updates, listings and delayed removals.
// Watchers that apply the changes must have the targets that the records give.
func TestChangesGiveTheSameTargets(t *testing.T) {
	services := []id.Service{"beds", "halls"}
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		r := New(Config{Log: zerolog.Nop()})
		keepers := make(map[id.Service]listKeeper)
		now := time.Unix(0, 0)
		for revision := Revision(1); revision < 120; revision++ {
			now = now.Add(time.Duration(random.IntN(700)) * time.Millisecond)
			if s := services[random.IntN(2)]; keepers[s] == nil && random.IntN(20) == 0 {
				k := make(listKeeper)
				keepers[s] = k
				w := &watcher{registry: r, service: s, notify: k.apply}
				r.watchers[s] = append(r.watchers[s], w)
				require.Equal(t, r.view.Revision() > 0, w.deliverFirst())
				if !w.started {
					delete(keepers, s)
					r.watchers[s] = nil
				}
			}
			r.publish(randomChange(r.view, random, now, revision), nil)
			for s, k := range keepers {
				want := usableTargets(r.view, s)
				require.Equal(t, want, k.list(), "seed %d, revision %d, service %s", seed, revision, s)
				require.Equal(t, want, r.view.Targets(s), "seed %d, revision %d, service %s", seed, revision, s)
			}
		}
	}
}

// randomChange applies a random change to the view and returns what took effect.
func randomChange(v *View, random *rand.Rand, now time.Time, revision Revision) []Update {
	update := func() Update {
		name := id.Target(fmt.Sprintf("t%d", random.IntN(12)))
		u := Update{Revision: revision, Target: name}
		if random.IntN(3) > 0 {
			service := []id.Service{"beds", "halls"}[random.IntN(2)]
			u.Entry = &Entry{Service: service, Endpoint: schedule.Endpoint{
				ID: name, Address: id.Address(fmt.Sprintf("a%d", random.IntN(8))), Leaving: random.IntN(4) == 0,
			}}
		}
		return u
	}
	switch random.IntN(8) {
	case 0:
		v.MarkPlatformDown()
		return nil
	case 1:
		// The revisions of a listing are those of the last changes, each another one.
		l := Listing{Revision: revision, Full: true}
		named, addresses := make(map[id.Target]bool), make(map[id.Address]bool)
		for range random.IntN(10) {
			if u := update(); u.Entry != nil && !named[u.Target] && !addresses[u.Entry.Address] {
				named[u.Target], addresses[u.Entry.Address] = true, true
				l.Updates = append(l.Updates, u)
			}
		}
		return v.ApplyFromPlatform(now, l)
	case 2:
		return v.ApplyFromPeer(now, Listing{Revision: revision, Updates: []Update{update()}})
	case 3:
		return v.Expire(now)
	default:
		return v.ApplyFromPlatform(now, Listing{Revision: revision, Updates: []Update{update()}})
	}
}

// publishedRegistry returns a registry with a number of targets and a watcher that
// passes the changes to a function.
func publishedRegistry(targets int, notify func(schedule.TargetChange)) *Registry {
	r := New(Config{Log: zerolog.Nop()})
	l := Listing{Revision: 1, Full: true}
	for i := range targets {
		l.Updates = append(l.Updates, targetUpdate(i, 1))
	}
	r.publish(r.view.ApplyFromPlatform(time.Unix(0, 0), l), nil)
	w := &watcher{registry: r, service: "beds", notify: notify}
	r.watchers["beds"] = append(r.watchers["beds"], w)
	w.deliverFirst()
	return r
}

func targetUpdate(i int, revision Revision) Update {
	name := id.Target(fmt.Sprintf("t%05d", i))
	return Update{Revision: revision, Target: name, Entry: &Entry{Service: "beds", Endpoint: schedule.Endpoint{
		ID: name, Address: id.Address(name), Leaving: revision%2 == 0,
	}}}
}

// publishOne publishes a change of one target.
func publishOne(r *Registry, targets int) {
	revision := r.view.Revision() + 1
	u := targetUpdate(int(revision)%targets, revision)
	r.publish(r.view.ApplyFromPeer(time.Unix(0, 0), Listing{Revision: revision, Updates: []Update{u}}), nil)
}

// TestCostOfOneChange bounds what is allocated for a change of one target, whatever the
// number of targets.
func TestCostOfOneChange(t *testing.T) {
	allocations := func(targets int) float64 {
		changes := 0
		r := publishedRegistry(targets, func(schedule.TargetChange) { changes++ })
		n := testing.AllocsPerRun(200, func() { publishOne(r, targets) })
		require.Equal(t, 202, changes, "the whole list and each change")
		return n
	}
	least := allocations(10)
	for _, targets := range []int{100, 1000, 13000} {
		require.LessOrEqual(t, allocations(targets), 2*least, "%d targets", targets)
	}
}

// BenchmarkChange measures a change of one target, up to its watchers.
func BenchmarkChange(b *testing.B) {
	for _, targets := range []int{10, 100, 1000, 13000} {
		b.Run(fmt.Sprint(targets), func(b *testing.B) {
			r := publishedRegistry(targets, func(schedule.TargetChange) {})
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				publishOne(r, targets)
			}
		})
	}
}
