package dispatch

import (
	"context"
	"slices"
	"time"

	"github.com/briarrouter/briarrouter/backlog"
	"github.com/briarrouter/briarrouter/clock"
	"github.com/briarrouter/briarrouter/configuration"
	"github.com/briarrouter/briarrouter/id"
	"github.com/briarrouter/briarrouter/kernel"
	"github.com/briarrouter/briarrouter/retry"
	"github.com/briarrouter/briarrouter/schedule"
	"github.com/briarrouter/briarrouter/statement"
)

const (
	// maxSightings bounds the sightings kept for the replicas that follow this
	// daemon; a follower that falls further behind misses some.
	maxSightings = 2048
	// sightingDelay is how long sightings are batched before they are published.
	// A failure is published at once.
	sightingDelay = 30 * time.Millisecond
	// maxFollowed bounds the replicas that are followed. If there are more, each
	// handles few requests and would spend too much of its CPU time on following
	// all the others.
	maxFollowed = 10
	// followRetryDelay is the delay before a peer is followed again after its stream
	// of sightings ended.
	followRetryDelay = 500 * time.Millisecond
)

// sightingSource streams the sightings of other daemons.
type sightingSource interface {
	// FollowSightings calls handle for each message of a peer's sightings until
	// the context ends or the peer stops responding, and returns the cause.
	FollowSightings(ctx context.Context, host id.Host, handle func([]schedule.Sighting)) error
}

// sightingFollower is the task that receives the sightings of one other replica and
// passes them to this daemon's schedulers.
type sightingFollower struct {
	dispatcher *Dispatcher
	host       id.Host
	ctx        context.Context
	cancel     context.CancelFunc
	// heard tells that the current stream has delivered a message.
	heard bool
}

// Replicas is the set of replicas: the daemons that the same callers are directed
// to.
type Replicas struct {
	// Serving tells that this daemon is one of the replicas.
	Serving bool
	// Others lists the other replicas, Domains the failure domains of these, in the same
	// order.
	Others  []id.Host
	Domains []id.FailureDomain
	// Known is the number of daemons, with those that cannot be reached, Reachable that
	// of the others. Both count this daemon.
	Known, Reachable int
}

// SetReplicas sets the replicas. If this daemon is one of them, it follows the
// sightings of the others.
func (d *Dispatcher) SetReplicas(r Replicas) {
	hosts := r.followed()
	before := d.replicas.Swap(&r)
	d.statements.SetSenders(r.senders(d.cfg.Host))
	d.mu.Lock()
	for _, host := range hosts {
		if d.followers[host] == nil {
			f := &sightingFollower{dispatcher: d, host: host}
			f.ctx, f.cancel = context.WithCancel(d.context)
			d.followers[host] = f
			d.group.Go(f.run)
		}
	}
	for host, f := range d.followers {
		if !slices.Contains(hosts, host) {
			f.cancel()
			delete(d.followers, host)
		}
	}
	d.mu.Unlock()
	if r.Serving != before.Serving || len(r.Others) != len(before.Others) {
		d.cfg.Log.Info().Bool("Serving", r.Serving).Int("Others", len(r.Others)).Int("Known", r.Known).Int("Reachable", r.Reachable).
			Msg("daemons that callers use change")
	}
	for _, s := range d.serviceDispatchers() {
		s.updateReplicas()
	}
}

// budgetConfig returns the configuration of this daemon's retry budget for a service.
func (d *Dispatcher) budgetConfig(p *configuration.Service) retry.Config {
	cfg := retry.Config{Share: p.RetryShare, Window: p.RetryWindow}
	if p.RetryWindow > 0 {
		cfg.Burst = retry.BurstShare(p.RetryBurst, d.replicas.Load().fleet(d.cfg.Host))
	}
	return cfg
}

// fleet returns what decides about the part of a daemon in a limit on all of them.
func (r *Replicas) fleet(self id.Host) retry.Fleet {
	f := retry.Fleet{Serving: r.Serving, Replicas: r.count(), Known: r.Known, Reachable: r.Reachable}
	for _, host := range r.Others {
		if host < self {
			f.Rank++
		}
	}
	return f
}

// updateReplicas applies a changed set of replicas to the retry budget and the
// scheduler.
func (s *serviceDispatcher) updateReplicas() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget.SetConfig(time.Now(), s.dispatcher.budgetConfig(s.policy))
	s.setReplicas(s.dispatcher.replicas.Load())
}

// setReplicas passes a set of replicas to the scheduler.
func (s *serviceDispatcher) setReplicas(r *Replicas) {
	s.scheduler.SetReplicas(r.sharing())
	s.scheduler.SetReplicaDomains(r.followedDomains())
}

// count returns the number of replicas, with this daemon if it is one of them.
func (r *Replicas) count() int {
	if r.Serving {
		return len(r.Others) + 1
	}
	return len(r.Others)
}

// senders returns the replicas, with this daemon if it is one of them.
func (r *Replicas) senders(self id.Host) statement.Senders {
	s := statement.Senders{Self: self, Hosts: slices.Clone(r.Others)}
	if r.Serving {
		s.Hosts = append(s.Hosts, self)
	}
	slices.Sort(s.Hosts)
	return s
}

// followed returns the replicas whose sightings this daemon follows: none if it is
// no replica.
func (r *Replicas) followed() []id.Host {
	if !r.Serving {
		return nil
	}
	return r.Others[:min(len(r.Others), maxFollowed)]
}

// followedDomains returns the failure domains of the followed replicas.
func (r *Replicas) followedDomains() map[id.Host]id.FailureDomain {
	domains := make(map[id.Host]id.FailureDomain)
	for i, host := range r.followed() {
		if i < len(r.Domains) {
			domains[host] = r.Domains[i]
		}
	}
	return domains
}

// sharing returns the number of daemons, this one included, whose requests this
// daemon hears of; zero if it is no replica.
func (r *Replicas) sharing() int {
	if !r.Serving {
		return 0
	}
	return len(r.followed()) + 1
}

func (f *sightingFollower) run() {
	d := f.dispatcher
	peers, err := kernel.Find[sightingSource](d.kernel, "peer")
	if err != nil {
		d.cfg.Log.Error().Err(err).Msg("sightings of peers cannot be followed")
		return
	}
	d.cfg.Log.Info().Str("Peer", string(f.host)).Msg("following sightings of a peer")
	for f.ctx.Err() == nil {
		f.heard = false
		err := peers.FollowSightings(f.ctx, f.host, f.apply)
		d.forgetRemoteLoad(f.host)
		d.cfg.Log.Info().Str("Peer", string(f.host)).AnErr("Cause", err).Msg("sightings of a peer end")
		clock.Sleep(f.ctx, followRetryDelay)
	}
}

// apply passes sightings to the schedulers of their services. Sightings of a
// service that this daemon does not dispatch are dropped.
func (f *sightingFollower) apply(list []schedule.Sighting) {
	d := f.dispatcher
	if !f.heard {
		f.heard = true
		d.recordHeard(f.host)
	}
	byService := make(map[id.Service][]schedule.Sighting)
	for _, sighting := range list {
		byService[sighting.Service] = append(byService[sighting.Service], sighting)
	}
	for name, sightings := range byService {
		d.mu.Lock()
		s := d.services[name]
		d.mu.Unlock()
		if s != nil {
			s.applySightings(f.host, sightings)
		}
	}
}

func (s *serviceDispatcher) applySightings(from id.Host, list []schedule.Sighting) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.scheduler.ApplySightings(now, from, list)
	s.deliverDecisions(now)
}

// recordHeard records that the sightings of a replica are received.
func (d *Dispatcher) recordHeard(host id.Host) {
	for _, s := range d.serviceDispatchers() {
		s.mu.Lock()
		s.scheduler.RecordHeard(host)
		s.mu.Unlock()
	}
}

// forgetRemoteLoad drops the load that a replica reported.
func (d *Dispatcher) forgetRemoteLoad(host id.Host) {
	for _, s := range d.serviceDispatchers() {
		s.mu.Lock()
		s.scheduler.ForgetRemoteLoad(host)
		s.mu.Unlock()
	}
}

// requestPublish wakes the task that publishes sightings. It publishes at once if
// the request is urgent, otherwise after sightingDelay.
func (d *Dispatcher) requestPublish(urgent bool) {
	wake := d.publishSoon
	if urgent {
		wake = d.publishNow
	}
	select {
	case wake <- struct{}{}:
	default:
	}
}

// loop publishes the services' sightings to the replicas that follow this
// daemon.
func (d *Dispatcher) loop(ctx context.Context) {
	timer := time.NewTimer(sightingDelay)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.publishNow:
		case <-d.publishSoon:
			timer.Reset(sightingDelay)
			select {
			case <-timer.C:
			case <-d.publishNow:
			case <-ctx.Done():
				return
			}
		}
		d.publishSightings()
	}
}

func (d *Dispatcher) publishSightings() {
	var list []schedule.Sighting
	for _, s := range d.serviceDispatchers() {
		s.mu.Lock()
		list = append(list, s.scheduler.Sightings()...)
		s.mu.Unlock()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sightings.Append(list)
}

// snapshotSightings returns a snapshot of each target that has observations,
// for a replica that begins to follow this daemon.
func (d *Dispatcher) snapshotSightings() []schedule.Sighting {
	var list []schedule.Sighting
	for _, s := range d.serviceDispatchers() {
		s.mu.Lock()
		list = append(list, s.scheduler.Snapshot(time.Now())...)
		s.mu.Unlock()
	}
	return list
}

// Sightings returns the sightings after a cursor, the cursor for the next call,
// and a channel that is closed when there are more. It returns no sightings if some
// of them have been dropped. The first call of a follower ignores the cursor and
// returns a snapshot of each target that has observations.
func (d *Dispatcher) Sightings(c backlog.Cursor, first bool) ([]schedule.Sighting, backlog.Cursor, <-chan struct{}) {
	if first {
		snapshot := d.snapshotSightings()
		d.mu.Lock()
		defer d.mu.Unlock()
		return snapshot, d.sightings.End(), d.sightings.Changed()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	list, ok := d.sightings.Since(c)
	if !ok {
		d.cfg.Log.Warn().Msg("a peer that follows this daemon's sightings fell behind and missed some")
	}
	return list, d.sightings.End(), d.sightings.Changed()
}
