package soak

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/briarrouter/briarrouter/clock"
	"github.com/briarrouter/briarrouter/platform/platformtest"
	"github.com/sourcegraph/conc"
)

// plan brings the faults about. Rounds of faults that overlap take turns with
// calm times, in which only planned work goes on.
type plan struct {
	soak   *Soak
	faults int
}

// fault is one fault of a round, with everything drawn beforehand.
type fault struct {
	name string
	// after is how long after the round's begin it starts, span how long it goes
	// on.
	after, span time.Duration
	begin, end  func()
}

const (
	// maxFaults is how many faults a round has at most.
	maxFaults = 8
	// faultSpan is the longest time of one fault, faultGap the longest one until
	// it starts.
	faultSpan = 4 * time.Second
	faultGap  = 2 * time.Second
	// calmTime is how long callers are watched after the effects of a round.
	calmTime = 6 * time.Second
	// planned is how many pieces of planned work a calm time has.
	planned = 3
)

func (p *plan) run() {
	s := p.soak
	until := time.Now().Add(s.cfg.Span)
	for time.Now().Before(until) && s.context.Err() == nil {
		p.round()
		clock.Sleep(s.context, settle)
		for range planned {
			p.plannedWork()
			clock.Sleep(s.context, calmTime/planned)
		}
	}
}

// round plays faults that overlap, with planned work in between.
func (p *plan) round() {
	s := p.soak
	end := s.calm.begin()
	defer end()
	var group conc.WaitGroup
	for range 1 + s.random.IntN(maxFaults) {
		f := p.draw()
		f.after, f.span = p.span(faultGap), faultSpan/10+p.span(faultSpan)
		p.faults++
		group.Go(func() { f.run(s) })
	}
	switch s.random.IntN(3) {
	case 0:
		p.plannedWork()
	case 1:
		n := s.random.IntN(len(s.targets))
		s.say("crash of target %s", s.targets[n].entry.ID)
		p.check(s.crash(n))
	}
	group.Wait()
	for _, d := range s.daemons {
		p.check(d.start())
	}
	for _, d := range s.daemons {
		if !d.awaitReady(s.context) && s.context.Err() == nil {
			s.promises.note(Served, "daemon %s is not ready %s after the faults", d.name, readyTime)
		}
	}
}

func (f *fault) run(s *Soak) {
	clock.Sleep(s.context, f.after)
	s.say("begin %s for %.1f s", f.name, f.span.Seconds())
	f.begin()
	clock.Sleep(s.context, f.span)
	f.end()
	s.say("end %s", f.name)
}

func (p *plan) span(most time.Duration) time.Duration {
	return time.Duration(p.soak.random.Int64N(int64(most)))
}

func (p *plan) check(err error) {
	if err != nil {
		p.soak.say("%v", err)
	}
}

// draw draws the next fault.
func (p *plan) draw() *fault {
	s := p.soak
	d := s.daemons[s.random.IntN(len(s.daemons))]
	t := s.targets[s.random.IntN(len(s.targets))]
	switch s.random.IntN(10) {
	case 0:
		return &fault{name: "kill of " + string(d.name), begin: d.kill, end: func() { p.check(d.start()) }}
	case 1:
		return p.pause(d)
	case 2:
		return p.trouble("callers of "+string(d.name), d.callers)
	case 3:
		return p.trouble("peers of "+string(d.name), d.peers)
	case 4:
		return p.trouble("store", s.storeProxy)
	case 5:
		return &fault{name: "busy store", begin: func() { s.store.SetBusy(true) }, end: func() { s.store.Compact(); s.store.SetBusy(false) }}
	case 6:
		return p.trouble("target "+string(t.entry.ID), t.proxy)
	case 7:
		return p.sick(t)
	case 8:
		return p.resets()
	default:
		return p.massKill()
	}
}

// resets resets some of the open connections of every process.
func (p *plan) resets() *fault {
	s := p.soak
	share, random := p.soak.random.Float64(), rand.New(rand.NewPCG(p.soak.random.Uint64(), 1))
	list := []*proxy{s.storeProxy}
	for _, d := range s.daemons {
		list = append(list, d.callers, d.peers)
	}
	for _, t := range s.targets {
		list = append(list, t.proxy)
	}
	return &fault{
		name: fmt.Sprintf("reset of %.0f%% of all connections", 100*share),
		begin: func() {
			for _, x := range list {
				x.reset(random, share)
			}
		},
		end: func() {},
	}
}

// pause stops a daemon's process and lets it go on.
func (p *plan) pause(d *daemon) *fault {
	r := d.current()
	return &fault{
		name:  "pause of " + string(d.name),
		begin: func() { r.signal(syscall.SIGSTOP) },
		end:   func() { r.signal(syscall.SIGCONT) },
	}
}

// trouble makes one of the troubles of a proxy.
func (p *plan) trouble(what string, x *proxy) *fault {
	list := []struct {
		name    string
		trouble Trouble
	}{
		{"delay", Trouble{Delay: 50*time.Millisecond + p.span(500*time.Millisecond)}},
		{"cut towards", Trouble{DropIn: true}},
		{"cut from", Trouble{DropOut: true}},
		{"silence", Trouble{DropIn: true, DropOut: true}},
		{"refusal", Trouble{Refuse: true}},
	}
	drawn := list[p.soak.random.IntN(len(list))]
	share, random := p.soak.random.Float64(), rand.New(rand.NewPCG(p.soak.random.Uint64(), 1))
	return &fault{
		name: fmt.Sprintf("%s, %s", drawn.name, what),
		begin: func() {
			x.set(drawn.trouble)
			if drawn.trouble.Refuse {
				x.reset(random, share)
			}
		},
		end: func() { x.set(Trouble{}) },
	}
}

// sick makes a target fail in one way while it seems alive.
func (p *plan) sick(t *target) *fault {
	list := []platformtest.Faults{{Failing: 0.85}, {Hanging: 0.3}, {Cutting: 0.5}, {Slow: 8}}
	drawn := list[p.soak.random.IntN(len(list))]
	return &fault{
		name:  fmt.Sprintf("target %s is sick: %+v", t.entry.ID, drawn),
		begin: func() { t.SetFaults(drawn) },
		end:   func() { t.SetFaults(platformtest.Faults{}) },
	}
}

// massKill kills many daemons at the same moment, at times all of them.
func (p *plan) massKill() *fault {
	s := p.soak
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
				p.check(d.start())
			}
		},
	}
}

// plannedWork does one piece of planned work.
func (p *plan) plannedWork() {
	s := p.soak
	d := s.daemons[s.random.IntN(len(s.daemons))]
	n := s.random.IntN(len(s.targets))
	switch s.random.IntN(6) {
	case 0:
		s.say("planned stop of %s", d.name)
		r := &restart{daemon: d}
		s.group.Go(r.run)
	case 1:
		s.say("other settings for %s", d.name)
		p.check(d.write(s.seeds(), d.callers.to, d.peers.to, s.random.IntN(100)))
		d.current().signal(syscall.SIGHUP)
	case 2:
		s.say("target %s leaves", s.targets[n].entry.ID)
		p.check(s.replace(n))
	case 3:
		for range 3 {
			s.publish()
		}
		s.say("three configurations, the last one %d", s.versions)
	default:
		s.publish()
		s.say("configuration %d", s.versions)
	}
}

// restart stops a daemon as planned and starts it again.
type restart struct{ daemon *daemon }

func (r *restart) run() {
	s := r.daemon.soak
	r.daemon.stop(s.context)
	if s.context.Err() != nil {
		return
	}
	if err := r.daemon.start(); err != nil {
		s.say("%v", err)
	}
}
