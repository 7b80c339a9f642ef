package registry

import (
	"context"
	"slices"
	"time"

	"github.com/briarrouter/briarrouter/clock"
	"github.com/briarrouter/briarrouter/id"
	"github.com/briarrouter/briarrouter/schedule"
	"github.com/sourcegraph/conc"
)

// watcher is a subscription to the targets of a service.
type watcher struct {
	registry *Registry
	service  id.Service
	notify   func(schedule.TargetChange)
	// started is set once the whole list was passed on. It is guarded by notifyMu.
	started bool
}

// notifyWatchers passes the targets that changed to the watchers of their services.
// Each call passes on the present state, so that it does not matter which of several
// concurrent calls does it.
func (r *Registry) notifyWatchers() {
	r.notifyMu.Lock()
	defer r.notifyMu.Unlock()
	changes := make(map[id.Service]*schedule.TargetChange)
	change := func(s id.Service) *schedule.TargetChange {
		if changes[s] == nil {
			changes[s] = &schedule.TargetChange{}
		}
		return changes[s]
	}
	r.mu.Lock()
	for _, name := range r.view.TakeChanged() {
		e, listed := r.view.Listed(name)
		before, known := r.notified[name]
		if known && (!listed || e.Service != before) {
			c := change(before)
			c.Gone = append(c.Gone, name)
			delete(r.notified, name)
		}
		if listed {
			c := change(e.Service)
			c.Listed = append(c.Listed, e.Endpoint)
			r.notified[name] = e.Service
		}
	}
	watchers := make(map[*watcher]*schedule.TargetChange)
	for s, c := range changes {
		for _, w := range r.watchers[s] {
			watchers[w] = c
		}
	}
	r.mu.Unlock()
	for w, c := range watchers {
		if w.started {
			w.notify(*c)
		}
	}
}

// WatchTargets calls notify with all targets of a service once the first listing is
// there, and with each change after that until the context ends.
func (r *Registry) WatchTargets(ctx context.Context, group *conc.WaitGroup, s id.Service, notify func(schedule.TargetChange)) {
	w := &watcher{registry: r, service: s, notify: notify}
	r.mu.Lock()
	r.watchers[s] = append(r.watchers[s], w)
	r.mu.Unlock()
	group.Go(func() { w.run(ctx) })
}

// firstListingPoll is the interval at which a new watcher checks for the first
// listing.
const firstListingPoll = 20 * time.Millisecond

// run passes the whole list to a new watcher once the first listing is there, and
// removes the watcher when the context ends.
func (w *watcher) run(ctx context.Context) {
	for ctx.Err() == nil && !w.deliverFirst() {
		clock.Sleep(ctx, firstListingPoll)
	}
	<-ctx.Done()
	r := w.registry
	r.mu.Lock()
	defer r.mu.Unlock()
	r.watchers[w.service] = slices.DeleteFunc(r.watchers[w.service], func(other *watcher) bool { return other == w })
	if len(r.watchers[w.service]) == 0 {
		delete(r.watchers, w.service)
	}
}

func (w *watcher) deliverFirst() bool {
	r := w.registry
	r.notifyMu.Lock()
	defer r.notifyMu.Unlock()
	r.mu.Lock()
	ready, list := r.view.Revision() > 0, r.view.Targets(w.service)
	r.mu.Unlock()
	if ready {
		w.started = true
		w.notify(schedule.TargetChange{Full: true, Listed: list})
	}
	return ready
}
