package router

import (
	"context"
	"sync"
	"time"

	"github.com/briarrouter/briarrouter/configuration"
	"github.com/briarrouter/briarrouter/dispatch"
	"github.com/briarrouter/briarrouter/id"
	"github.com/briarrouter/briarrouter/roster"
	"github.com/briarrouter/briarrouter/steering"
)

// ranks keeps the order of the daemons for each service until the roster
// changes.
type ranks struct {
	mu         sync.Mutex
	generation uint64
	order      *steering.Order
	ranked     map[id.Service][]roster.Member
	// shared is the daemons that callers of every service use.
	shared []roster.Member
}

// of returns the order for a service. It must not be changed.
func (r *ranks) of(s id.Service, p peers) []roster.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.renew(p)
	list, ok := r.ranked[s]
	if !ok {
		list = r.order.Rank(s)
		r.ranked[s] = list
	}
	return list
}

// renew ranks anew where the roster has changed. The lock is held.
func (r *ranks) renew(p peers) {
	if g := p.Generation(); r.order == nil || g != r.generation {
		members := p.Members()
		r.generation, r.order = g, steering.New(members)
		r.ranked = make(map[id.Service][]roster.Member)
		r.shared = r.order.Shared(p.Self(), members)
	}
}

// sharedList returns the daemons that callers of every service use.
func (r *ranks) sharedList(p peers) []roster.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.renew(p)
	return r.shared
}

const (
	// prepareEvery is the time between two looks at what to prepare.
	prepareEvery = 200 * time.Millisecond
	// prepared is how many daemons of a service know its targets beforehand.
	prepared = 3
)

// loop takes up the services that this daemon dispatches or stands by for, so
// that it knows their targets before it needs them.
func (r *Router) loop(ctx context.Context) {
	ticker := time.NewTicker(prepareEvery)
	defer ticker.Stop()
	var generation uint64
	var snapshot *configuration.Snapshot
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		g, current := r.peers.Generation(), r.policies.Current()
		if current != nil && (g != generation || current != snapshot) {
			r.prepare(current)
			generation, snapshot = g, current
		}
	}
}

func (r *Router) prepare(snapshot *configuration.Snapshot) {
	self := r.peers.Self()
	if r.local {
		r.runner.Accompany(company(r.ranks.sharedList(r.peers), self))
	}
	for name, policy := range snapshot.Services {
		if r.local {
			r.runner.Prepare(policy)
			continue
		}
		order := r.ranks.of(name, r.peers)
		for _, m := range order[:min(prepared, len(order))] {
			if m.Host == self.Host {
				r.runner.Prepare(policy)
			}
		}
	}
}

// company returns the daemons that callers of every service use.
func company(shared []roster.Member, self roster.Member) dispatch.Company {
	var c dispatch.Company
	for _, m := range shared {
		if m.Host == self.Host {
			c.Serving = true
			continue
		}
		c.Others = append(c.Others, m.Host)
	}
	return c
}
