package router

import (
	"context"
	"sync"
	"time"

	"github.com/briarrouter/briarrouter/configuration"
	"github.com/briarrouter/briarrouter/dispatch"
	"github.com/briarrouter/briarrouter/id"
	"github.com/briarrouter/briarrouter/rendezvous"
	"github.com/briarrouter/briarrouter/roster"
)

// rankings caches the ranking of the daemons for each service, and the replicas,
// until the membership changes.
type rankings struct {
	mu         sync.Mutex
	generation uint64
	ranker     *rendezvous.Ranker
	byService  map[id.Service][]roster.Member
	// replicas lists the daemons that callers are directed to, whatever service
	// they use.
	replicas []roster.Member
}

// forService returns the ranking for a service. The caller must not modify it.
func (r *rankings) forService(s id.Service, p peers) []roster.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refresh(p)
	ranking, ok := r.byService[s]
	if !ok {
		ranking = r.ranker.Rank(s)
		r.byService[s] = ranking
	}
	return ranking
}

// refresh discards the cached rankings if the membership has changed. The caller
// holds r.mu.
func (r *rankings) refresh(p peers) {
	if g := p.Generation(); r.ranker == nil || g != r.generation {
		members := p.Members()
		r.generation, r.ranker = g, rendezvous.New(members)
		r.byService = make(map[id.Service][]roster.Member)
		r.replicas = r.ranker.Replicas(p.Self(), members)
	}
}

// replicaList returns the daemons that callers are directed to, whatever service
// they use. The caller must not modify it.
func (r *rankings) replicaList(p peers) []roster.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refresh(p)
	return r.replicas
}

const (
	// prepareInterval is the interval between checks for a changed membership or
	// configuration.
	prepareInterval = 200 * time.Millisecond
	// preparedDaemons is how many of the daemons ranked first for a service learn
	// its targets in advance: the active dispatcher and the standbys after it.
	preparedDaemons = 3
)

// loop prepares services whenever the membership or the configuration has
// changed, so that this daemon knows their targets before the first request arrives.
func (r *Router) loop(ctx context.Context) {
	ticker := time.NewTicker(prepareInterval)
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

// prepare prepares the services that this daemon dispatches or is a standby for. With
// Config.Local, it prepares every service and tells the dispatcher which daemons are
// the replicas.
func (r *Router) prepare(snapshot *configuration.Snapshot) {
	self := r.peers.Self()
	if r.local {
		set := replicaSet(r.rankings.replicaList(r.peers), self, r.peers.Members())
		r.dispatcher.SetReplicas(set)
		r.quotas.SetFleet(quotaFleet(set))
	}
	for name, policy := range snapshot.Services {
		if r.local {
			r.dispatcher.Prepare(policy)
			continue
		}
		ranking := r.rankings.forService(name, r.peers)
		for _, m := range ranking[:min(preparedDaemons, len(ranking))] {
			if m.Host == self.Host {
				r.dispatcher.Prepare(policy)
			}
		}
	}
}

// replicaSet returns whether this daemon is a replica, the hosts of the others, and how
// many of the known daemons can be reached.
func replicaSet(replicas []roster.Member, self roster.Member, known []roster.Member) dispatch.Replicas {
	var set dispatch.Replicas
	for _, m := range known {
		if m.State == roster.Unseen {
			continue
		}
		set.Known++
		if m.State != roster.Suspect && m.State != roster.Dead {
			set.Reachable++
		}
	}
	for _, m := range replicas {
		if m.Host == self.Host {
			set.Serving = true
			continue
		}
		set.Others = append(set.Others, m.Host)
		set.Domains = append(set.Domains, m.FailureDomain)
	}
	return set
}
