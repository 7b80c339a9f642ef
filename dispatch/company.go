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
)

const (
	// maxSightings is how many sightings wait for the daemons that follow; one
	// that is further behind misses some.
	maxSightings = 2048
	// gatherTime is how long sightings are gathered before they are told. A
	// failure is told at once.
	gatherTime = 30 * time.Millisecond
	// maxCompanions bounds the daemons that are followed. Where more of them
	// serve, each is small, and following them all would take its time.
	maxCompanions = 10
	// followAgain is the time before a daemon that does not answer is followed
	// again.
	followAgain = 500 * time.Millisecond
)

// outcomes gives what other daemons see of targets.
type outcomes interface {
	// FollowSightings calls take for what a peer saw until the context ends or
	// the peer does not answer, and returns why.
	FollowSightings(ctx context.Context, host id.Host, take func([]schedule.Sighting)) error
}

// companion is the task that follows what one other daemon sees of the targets
// that both use.
type companion struct {
	owner  *Dispatcher
	host   id.Host
	ctx    context.Context
	cancel context.CancelFunc
}

// Company is the daemons that callers are steered to.
type Company struct {
	// Serving tells that this daemon is one of them.
	Serving bool
	// Others lists the other ones.
	Others []id.Host
}

// Accompany names the daemons that callers are steered to. If this daemon is one
// of them, it follows what the others see of the targets that they share.
func (d *Dispatcher) Accompany(c Company) {
	hosts := c.Others[:min(len(c.Others), maxCompanions)]
	if !c.Serving {
		hosts = nil
	}
	before := d.company.Swap(&c)
	d.mu.Lock()
	for _, host := range hosts {
		if d.companions[host] == nil {
			c := &companion{owner: d, host: host}
			c.ctx, c.cancel = context.WithCancel(d.context)
			d.companions[host] = c
			d.group.Go(c.run)
		}
	}
	for host, c := range d.companions {
		if !slices.Contains(hosts, host) {
			c.cancel()
			delete(d.companions, host)
		}
	}
	d.mu.Unlock()
	if c.Serving != before.Serving || len(c.Others) != len(before.Others) {
		d.cfg.Log.Info().Bool("Serving", c.Serving).Int("Others", len(c.Others)).Msg("daemons that callers use change")
		for _, s := range d.all() {
			s.allot()
		}
	}
}

// budgetConfig returns what this daemon may retry of a service.
func (d *Dispatcher) budgetConfig(p *configuration.Service) retry.Config {
	cfg := retry.Config{Share: p.RetryShare}
	if p.RetryBurst > 0 {
		c := d.company.Load()
		cfg.Burst = retry.Allot(p.RetryBurst, c.Serving, c.servers())
	}
	return cfg
}

// allot sets the budget anew.
func (s *serviceDispatcher) allot() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget.SetConfig(s.owner.budgetConfig(s.policy))
	s.scheduler.SetServers(s.owner.company.Load().servers())
}

// servers returns how many daemons callers are steered to, as far as this one is
// among them.
func (c *Company) servers() int {
	if c.Serving {
		return len(c.Others) + 1
	}
	return len(c.Others)
}

func (c *companion) run() {
	d := c.owner
	peers, err := kernel.Find[outcomes](d.kernel, "peer")
	if err != nil {
		d.cfg.Log.Error().Err(err).Msg("what other daemons see of targets is not followed")
		return
	}
	d.cfg.Log.Info().Str("Peer", string(c.host)).Msg("sightings of a peer are followed")
	for c.ctx.Err() == nil {
		err := peers.FollowSightings(c.ctx, c.host, c.take)
		d.forget(c.host)
		d.cfg.Log.Info().Str("Peer", string(c.host)).AnErr("Cause", err).Msg("sightings of a peer end")
		clock.Sleep(c.ctx, followAgain)
	}
}

func (c *companion) take(list []schedule.Sighting) {
	d := c.owner
	byService := make(map[id.Service][]schedule.Sighting)
	for _, g := range list {
		byService[g.Service] = append(byService[g.Service], g)
	}
	for name, sightings := range byService {
		d.mu.Lock()
		s := d.services[name]
		d.mu.Unlock()
		if s != nil {
			s.learn(c.host, sightings)
		}
	}
}

func (s *serviceDispatcher) learn(from id.Host, list []schedule.Sighting) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.scheduler.Learn(now, from, list)
	s.deliver(now)
}

func (d *Dispatcher) forget(host id.Host) {
	for _, s := range d.all() {
		s.mu.Lock()
		s.scheduler.Forget(host)
		s.mu.Unlock()
	}
}

// tell wakes the task that gathers sightings.
func (d *Dispatcher) tell(urgent bool) {
	wake := d.wake
	if urgent {
		wake = d.wakeNow
	}
	select {
	case wake <- struct{}{}:
	default:
	}
}

// loop gathers what the services saw for the daemons that follow.
func (d *Dispatcher) loop(ctx context.Context) {
	timer := time.NewTimer(gatherTime)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.wakeNow:
		case <-d.wake:
			timer.Reset(gatherTime)
			select {
			case <-timer.C:
			case <-d.wakeNow:
			case <-ctx.Done():
				return
			}
		}
		d.gather()
	}
}

func (d *Dispatcher) gather() {
	var list []schedule.Sighting
	for _, s := range d.all() {
		s.mu.Lock()
		list = append(list, s.scheduler.Sightings()...)
		s.mu.Unlock()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sightings.Append(list)
}

// everything returns what is believed of all targets.
func (d *Dispatcher) everything() []schedule.Sighting {
	var list []schedule.Sighting
	for _, s := range d.all() {
		s.mu.Lock()
		list = append(list, s.scheduler.Everything(time.Now())...)
		s.mu.Unlock()
	}
	return list
}

// Sightings returns what was seen behind a cursor, where the sequence goes on,
// and a channel that is closed when there is more.
func (d *Dispatcher) Sightings(c backlog.Cursor, first bool) ([]schedule.Sighting, backlog.Cursor, <-chan struct{}) {
	if first {
		everything := d.everything()
		d.mu.Lock()
		defer d.mu.Unlock()
		return everything, d.sightings.End(), d.sightings.Changed()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	list, ok := d.sightings.Since(c)
	if !ok {
		d.cfg.Log.Warn().Msg("a peer missed sightings")
	}
	return list, d.sightings.End(), d.sightings.Changed()
}
