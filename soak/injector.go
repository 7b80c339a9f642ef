package soak

import (
	"fmt"
	"math"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/briarrouter/briarrouter/clock"
	"github.com/briarrouter/briarrouter/platform/platformtest"
	"github.com/sourcegraph/conc"
)

// injector injects faults in rounds. In a round, faults overlap. Between rounds
// there are fault-free periods, in which only operator actions take place.
type injector struct {
	soak *Soak
	// injected counts the faults, but not the target crashes.
	injected int
	// statements draws what targets say.
	statements *rand.Rand
	// returns draws when the store returns from an older copy.
	returns *rand.Rand
}

// fault is one fault of a round. Everything that it draws from Soak.random is drawn
// before it starts, so that the order of these draws does not depend on timing.
type fault struct {
	name string
	// delay is the time from the start of the round to the start of the fault.
	delay, duration time.Duration
	begin, end      func()
}

const (
	// maxFaults is the maximum number of faults in a round.
	maxFaults = 8
	// faultDurationRange determines the random duration of a fault, which is between
	// 0.1 and 1.1 times this value.
	faultDurationRange = 4 * time.Second
	// maxFaultDelay is the exclusive limit of a fault's delay.
	maxFaultDelay = 2 * time.Second
	// faultFreePeriod is the length of the fault-free period between two rounds. It
	// begins settleTime after the end of a round.
	faultFreePeriod = 6 * time.Second
	// actionsPerPeriod is the number of operator actions in a fault-free period.
	actionsPerPeriod = 3
)

func (j *injector) run() {
	s := j.soak
	until := time.Now().Add(s.cfg.Duration)
	for time.Now().Before(until) && s.context.Err() == nil {
		j.runRound()
		clock.Sleep(s.context, settleTime)
		stated := j.beginStatement()
		for range actionsPerPeriod {
			j.operatorAction()
			clock.Sleep(s.context, faultFreePeriod/actionsPerPeriod)
		}
		stated.SetFaults(platformtest.Faults{})
	}
}

// beginStatement makes a target refuse requests with Retry-After, or name a limit, and
// returns the target. It draws from a generator of its own, so that the faults of older
// seeds stay the same.
func (j *injector) beginStatement() *target {
	s := j.soak
	t := s.targets[j.statements.IntN(len(s.targets))]
	f := platformtest.Faults{Limit: math.Round(1+20*j.statements.Float64()) / 10}
	if j.statements.IntN(2) == 0 {
		f = platformtest.Faults{Refusing: 0.3, Backoff: time.Second + time.Duration(j.statements.Int64N(int64(faultFreePeriod)))}
	}
	s.logf("target %s states %+v", t.registration.ID, f)
	t.SetFaults(f)
	return t
}

// runRound runs overlapping faults and at most one operator action or target crash
// alongside them, then starts the daemons that are down and waits until each is
// ready, at most readyTimeout. The fault tracker counts the whole round as one
// fault.
func (j *injector) runRound() {
	s := j.soak
	s.checker.settleDrains()
	end := s.faults.begin()
	defer end()
	var group conc.WaitGroup
	for range 1 + s.random.IntN(maxFaults) {
		f := j.drawFault()
		f.delay, f.duration = j.randomDuration(maxFaultDelay), faultDurationRange/10+j.randomDuration(faultDurationRange)
		j.injected++
		group.Go(func() { f.run(s) })
	}
	if f := j.drawReturn(); f != nil {
		j.injected++
		group.Go(func() { f.run(s) })
	}
	switch s.random.IntN(3) {
	case 0:
		j.operatorAction()
	case 1:
		n := s.random.IntN(len(s.targets))
		s.logf("crash of target %s", s.targets[n].registration.ID)
		j.logError(s.crashTarget(n))
	}
	group.Wait()
	for _, d := range s.daemons {
		j.logError(d.start())
	}
	for _, d := range s.daemons {
		if !d.awaitReady(s.context) && s.context.Err() == nil {
			s.checker.recordViolation(Served, "daemon %s did not become ready within %s after the faults", d.name, readyTimeout)
		}
	}
}

func (f *fault) run(s *Soak) {
	clock.Sleep(s.context, f.delay)
	s.logf("begin %s for %.1f s", f.name, f.duration.Seconds())
	f.begin()
	clock.Sleep(s.context, f.duration)
	f.end()
	s.logf("end %s", f.name)
}

// randomDuration returns a random duration below limit.
func (j *injector) randomDuration(limit time.Duration) time.Duration {
	return time.Duration(j.soak.random.Int64N(int64(limit)))
}

func (j *injector) logError(err error) {
	if err != nil {
		j.soak.logf("%v", err)
	}
}

// drawFault draws the next fault without its delay and duration. The order of the
// draws must not change, or a seed no longer replays the same faults.
func (j *injector) drawFault() *fault {
	s := j.soak
	d := s.daemons[s.random.IntN(len(s.daemons))]
	t := s.targets[s.random.IntN(len(s.targets))]
	switch s.random.IntN(10) {
	case 0:
		return &fault{name: "kill of " + string(d.name), begin: d.kill, end: func() { j.logError(d.start()) }}
	case 1:
		return j.pauseFault(d)
	case 2:
		return j.impairmentFault("callers of "+string(d.name), d.callerProxy)
	case 3:
		return j.impairmentFault("peers of "+string(d.name), d.peerProxy)
	case 4:
		return j.impairmentFault("store", s.storeProxy)
	case 5:
		return &fault{name: "busy store", begin: func() { s.store.SetUnavailable(true) }, end: func() { s.store.Compact(); s.store.SetUnavailable(false) }}
	case 6:
		return j.impairmentFault("target "+string(t.registration.ID), t.proxy)
	case 7:
		return j.targetFault(t)
	case 8:
		return j.resetFault()
	default:
		return j.massKillFault()
	}
}

// resetFault returns a fault that resets open connections of all current proxies,
// each with the same drawn probability. Its begin function draws from a generator of
// its own, so that the injector's draws do not depend on timing.
func (j *injector) resetFault() *fault {
	s := j.soak
	share, random := j.soak.random.Float64(), rand.New(rand.NewPCG(j.soak.random.Uint64(), 1))
	proxies := []*proxy{s.storeProxy}
	for _, d := range s.daemons {
		proxies = append(proxies, d.callerProxy, d.peerProxy)
	}
	for _, t := range s.targets {
		proxies = append(proxies, t.proxy)
	}
	return &fault{
		name: fmt.Sprintf("reset of %.0f%% of all connections", 100*share),
		begin: func() {
			for _, p := range proxies {
				p.reset(random, share)
			}
		},
		end: func() {},
	}
}

// pauseFault returns a fault that suspends the current process of the daemon with
// SIGSTOP and resumes it with SIGCONT. A process started later is not affected.
func (j *injector) pauseFault(d *daemon) *fault {
	p := d.current()
	return &fault{
		name:  "pause of " + string(d.name),
		begin: func() { p.signal(syscall.SIGSTOP) },
		end:   func() { p.signal(syscall.SIGCONT) },
	}
}

// impairmentFault returns a fault that applies a random impairment to a proxy. An
// impairment that refuses new connections also resets a share of the open ones.
func (j *injector) impairmentFault(what string, p *proxy) *fault {
	impairments := []struct {
		name       string
		impairment impairment
	}{
		{"delay", impairment{delay: 50*time.Millisecond + j.randomDuration(500*time.Millisecond)}},
		{"cut towards", impairment{dropIn: true}},
		{"cut from", impairment{dropOut: true}},
		{"silence", impairment{dropIn: true, dropOut: true}},
		{"refusal", impairment{refuse: true}},
	}
	drawn := impairments[j.soak.random.IntN(len(impairments))]
	share, random := j.soak.random.Float64(), rand.New(rand.NewPCG(j.soak.random.Uint64(), 1))
	return &fault{
		name: fmt.Sprintf("%s, %s", drawn.name, what),
		begin: func() {
			p.setImpairment(drawn.impairment)
			if drawn.impairment.refuse {
				p.reset(random, share)
			}
		},
		end: func() { p.setImpairment(impairment{}) },
	}
}

// targetFault returns a fault that makes a target fail requests, hang, truncate
// responses or slow down while it stays reachable.
func (j *injector) targetFault(t *target) *fault {
	faults := []platformtest.Faults{{Failing: 0.85}, {Hanging: 0.3}, {Cutting: 0.5}, {Slow: 8}}
	drawn := faults[j.soak.random.IntN(len(faults))]
	return &fault{
		name:  fmt.Sprintf("target %s is sick: %+v", t.registration.ID, drawn),
		begin: func() { t.SetFaults(drawn) },
		end:   func() { t.SetFaults(platformtest.Faults{}) },
	}
}

// massKillFault returns a fault that kills many daemons in quick succession. Each
// is killed with the same drawn probability, which is at least 0.5; in half of the
// draws it is 1 or more, so that all are killed.
func (j *injector) massKillFault() *fault {
	s := j.soak
	var killed []*daemon
	share := 0.5 + s.random.Float64()
	for _, d := range s.daemons {
		if s.random.Float64() < share {
			killed = append(killed, d)
		}
	}
	return &fault{
		name: fmt.Sprintf("kill of %d daemons", len(killed)),
		begin: func() {
			for _, d := range killed {
				d.kill()
			}
		},
		end: func() {
			for _, d := range killed {
				j.logError(d.start())
			}
		},
	}
}

// operatorAction performs a random action that is part of normal operation: a
// planned stop, a change of settings, the replacement of a target, or the
// publication of configurations.
func (j *injector) operatorAction() {
	s := j.soak
	d := s.daemons[s.random.IntN(len(s.daemons))]
	n := s.random.IntN(len(s.targets))
	switch s.random.IntN(6) {
	case 0:
		s.logf("planned stop of %s", d.name)
		r := &plannedRestart{daemon: d}
		s.group.Go(r.run)
	case 1:
		s.logf("changed settings of %s", d.name)
		j.logError(d.writeSettings(s.peerSeeds(), d.callerProxy.upstream, d.peerProxy.upstream, s.random.IntN(100)))
		d.current().signal(syscall.SIGHUP)
	case 2:
		s.logf("target %s drains", s.targets[n].registration.ID)
		j.logError(s.replaceTarget(n))
	case 3:
		for range 3 {
			s.publish()
		}
		s.logf("three configurations published, the last one is configuration %d, version %d", s.published, s.published*versionStep)
	default:
		s.publish()
		s.logf("configuration %d published, version %d", s.published, s.published*versionStep)
	}
}

// plannedRestart stops a daemon as in planned maintenance and starts it again.
type plannedRestart struct{ daemon *daemon }

func (r *plannedRestart) run() {
	s := r.daemon.soak
	r.daemon.stop(s.context)
	if s.context.Err() != nil {
		return
	}
	if err := r.daemon.start(); err != nil {
		s.logf("%v", err)
	}
}
