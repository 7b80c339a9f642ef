package soak

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/briarrouter/briarrouter/clock"
	"github.com/sourcegraph/conc"
)

// stopSeries stops and starts some of the daemons in turn, with other planned work
// during the stops. Two series have stops that overlap.
type stopSeries struct {
	soak    *Soak
	random  *rand.Rand
	daemons []*daemon
	// stops counts the stops.
	stops int
}

const (
	// seriesNumber is the number of series, and so of daemons stopped at once.
	seriesNumber = 2
	// stopLead is how long other planned work of a stop may begin before its SIGTERM.
	stopLead = 100 * time.Millisecond
	// maxEarly is the exclusive limit of the time from a start to a stop that does not
	// wait until the daemon is ready.
	maxEarly = 1500 * time.Millisecond
	// maxStopGap is the exclusive limit of the time between two stops of a series.
	maxStopGap = 1300 * time.Millisecond
)

// runPlannedWork runs the series and returns the number of stops.
func (s *Soak) runPlannedWork() int {
	var list []*stopSeries
	for n := range seriesNumber {
		list = append(list, &stopSeries{soak: s, random: rand.New(rand.NewPCG(s.cfg.Seed, uint64(20+n)))})
	}
	for n, d := range s.daemons {
		list[n%seriesNumber].daemons = append(list[n%seriesNumber].daemons, d)
	}
	var group conc.WaitGroup
	for _, series := range list {
		group.Go(series.run)
	}
	group.Wait()
	stops := 0
	for _, series := range list {
		stops += series.stops
	}
	return stops
}

func (r *stopSeries) run() {
	s := r.soak
	until := s.started.Add(s.cfg.Duration)
	clock.Sleep(s.context, r.randomDuration(maxStopGap))
	for n := 0; time.Now().Before(until) && s.context.Err() == nil; n++ {
		d := r.daemons[n%len(r.daemons)]
		r.stop(d)
		switch early := r.randomDuration(maxEarly); r.random.IntN(6) {
		case 0:
			clock.Sleep(s.context, early)
			r.stop(d)
		case 1:
			r.stopAtFirstRequests(d, early/firstRequestsFactor)
		}
		if !d.awaitReady(s.context) && s.context.Err() == nil {
			s.checker.recordViolation(Served, "daemon %s did not become ready within %s after a planned stop", d.name, readyTimeout)
		}
		clock.Sleep(s.context, r.randomDuration(maxStopGap))
	}
}

func (r *stopSeries) randomDuration(limit time.Duration) time.Duration {
	return time.Duration(r.random.Int64N(int64(limit)))
}

// stop stops a daemon with other planned work, and starts it again.
func (r *stopSeries) stop(d *daemon) {
	s := r.soak
	r.stops++
	var group conc.WaitGroup
	for range 1 + r.random.IntN(3) {
		group.Go(r.drawCompanion(d).run)
	}
	for range visitsPerStop {
		v := r.drawVisit(d)
		group.Go(v.run)
	}
	clock.Sleep(s.context, stopLead)
	s.logf("SIGTERM to %s", d.name)
	r.restart(d, &group)
}

// restart stops a daemon and starts it again, once what happens during the stop has ended.
func (r *stopSeries) restart(d *daemon, during *conc.WaitGroup) {
	s := r.soak
	d.stop(s.context)
	during.Wait()
	if s.context.Err() != nil {
		return
	}
	if err := d.start(); err != nil {
		s.logf("%v", err)
	}
}

const (
	// firstVisits is the number of callers that connect as soon as a daemon listens.
	firstVisits = 8
	// firstRequestsFactor divides maxEarly for a stop that begins when a daemon has just
	// begun to listen.
	firstRequestsFactor = 100
)

// stopAtFirstRequests stops a daemon shortly after it has begun to listen, and starts it
// again.
func (r *stopSeries) stopAtFirstRequests(d *daemon, delay time.Duration) {
	s := r.soak
	r.stops++
	var group conc.WaitGroup
	for range firstVisits {
		c := &plannedCaller{soak: s, random: rand.New(rand.NewPCG(r.random.Uint64(), 1)), habit: habit{path: reservePath}}
		v := &visit{caller: c, daemon: d, retries: true}
		group.Go(v.run)
	}
	d.awaitListening(s.context)
	clock.Sleep(s.context, delay)
	s.logf("SIGTERM to %s, which has just begun to listen", d.name)
	r.restart(d, &group)
}

// companion is planned work that happens during a stop.
type companion struct {
	soak  *Soak
	name  string
	delay time.Duration
	work  func() error
}

func (c *companion) run() {
	clock.Sleep(c.soak.context, c.delay)
	if c.soak.context.Err() != nil {
		return
	}
	c.soak.actions.Lock()
	defer c.soak.actions.Unlock()
	c.soak.logf("%s", c.name)
	if err := c.work(); err != nil {
		c.soak.logf("%v", err)
	}
}

// drawCompanion draws what happens during a stop. Half of it begins close to SIGTERM.
func (r *stopSeries) drawCompanion(d *daemon) *companion {
	s := r.soak
	c := &companion{soak: s, delay: r.randomDuration(2 * stopLead)}
	if r.random.IntN(2) == 0 {
		c.delay = r.randomDuration(stopGrace)
	}
	n, variant := r.random.IntN(1<<16), r.random.IntN(100)
	switch r.random.IntN(4) {
	case 0:
		c.name = fmt.Sprintf("SIGHUP to %s with changed settings", d.name)
		c.work = func() error {
			p := d.current()
			err := d.writeSettings(s.peerSeeds(), d.callerProxy.upstream, d.peerProxy.upstream, variant)
			p.signal(syscall.SIGHUP)
			return err
		}
	case 1:
		c.name = fmt.Sprintf("further SIGTERM to %s", d.name)
		c.delay += stopLead
		c.work = func() error {
			if p := d.current(); p != nil && !p.stopTime().IsZero() {
				p.signal(syscall.SIGTERM)
			}
			return nil
		}
	case 2:
		c.name = "new configuration"
		c.work = func() error {
			s.publish()
			return nil
		}
	default:
		c.name = "a target leaves and another joins"
		c.work = func() error { return s.replaceTarget(n % len(s.targets)) }
	}
	return c
}

const (
	// visitsPerStop is the number of callers that visit a daemon during a stop.
	visitsPerStop = 80
	// closeDelay is when a daemon closes its listener, from SIGTERM.
	closeDelay = 4 * time.Second
	// maxVisitIdle is the exclusive limit of the time between connecting and sending.
	maxVisitIdle = 150 * time.Millisecond
)

// visit is a caller that connects to a daemon that is being stopped.
type visit struct {
	caller      *plannedCaller
	daemon      *daemon
	delay, idle time.Duration
	// retries makes the caller connect again until it succeeds, within readyTimeout.
	retries bool
}

// drawVisit draws a visit: around the close of the listener, at any time of the stop, at
// the same time as others that fill the queues of the targets, or one that reads slowly.
func (r *stopSeries) drawVisit(d *daemon) *visit {
	s := r.soak
	c := &plannedCaller{soak: s, random: rand.New(rand.NewPCG(r.random.Uint64(), 1))}
	v := &visit{caller: c, daemon: d, delay: stopLead + closeDelay - 150*time.Millisecond + r.randomDuration(300*time.Millisecond), idle: r.randomDuration(maxVisitIdle)}
	switch r.random.IntN(4) {
	case 0:
		v.delay = stopLead + r.randomDuration(stopGrace)
		c.habit.path = []string{reservePath, slipPath, reassignedPath}[r.random.IntN(3)]
	case 1:
		v.delay = stopLead + time.Duration(r.stops%stopGraceSeconds)*time.Second - 50*time.Millisecond
		c.habit.path = reservePath
	case 2:
		v.delay = stopLead + r.randomDuration(stopGrace/2)
		c.habit = habit{path: exportPath, readTime: slowReadTime}
	}
	return v
}

// stopGraceSeconds is the number of whole seconds at which visits may come all at once.
const stopGraceSeconds = int(stopGrace / time.Second)

func (v *visit) run() {
	ctx := v.caller.soak.context
	clock.Sleep(ctx, v.delay)
	for until := time.Now().Add(readyTimeout); !v.caller.connect(ctx, v.daemon); {
		if !v.retries || ctx.Err() != nil || time.Now().After(until) {
			return
		}
		clock.Sleep(ctx, listenPoll)
	}
	defer v.caller.closeConn()
	clock.Sleep(ctx, v.idle)
	v.caller.sendRequests()
}
