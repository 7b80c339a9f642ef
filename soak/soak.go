// Package soak runs the real program as separate processes on this machine,
// brings faults upon it from outside, by proxies and signals, and checks what
// callers and targets see while it runs. The faults follow from a seed.
package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/briarrouter/briarrouter/clock"
	"github.com/briarrouter/briarrouter/id"
	"github.com/briarrouter/briarrouter/platform/platformtest"
	"github.com/sourcegraph/conc"
)

// Config makes a Soak.
type Config struct {
	// Program is the path of the program under test.
	Program string
	// Directory takes the settings and logs of the daemons.
	Directory string
	Seed      uint64
	// Span is how long faults are brought about.
	Span time.Duration
	// Daemons, Targets and Callers are how many there are of each; Targets in
	// each service.
	Daemons, Targets, Callers int
	// Pause is the mean time between two requests of a caller.
	Pause time.Duration
	// Out gets a line for each fault.
	Out io.Writer
}

var domains = []id.FailureDomain{"north", "east", "south"}

var services = []id.Service{"beds", "holds", "files"}

// Soak is one run.
type Soak struct {
	cfg     Config
	random  *rand.Rand
	context context.Context
	cancel  context.CancelFunc
	group   conc.WaitGroup
	started time.Time
	calm    *calm

	promises   *promises
	store      *platformtest.Store
	storeProxy *proxy
	daemons    []*daemon
	// byCallers finds a daemon by the address that callers use.
	byCallers map[id.Address]*daemon
	targets   []*target
	// born counts the targets that there were.
	born int
	// versions counts the configurations.
	versions uint64
}

// Report is what a soak saw.
type Report struct {
	Breaches []Breach
	Counts   Counts
	// Calm counts the requests of calm times, and CalmServed those of them that
	// were served.
	Calm, CalmServed int
	Faults           int
	StoreCalls       int64
}

// String returns the report as one line.
func (r Report) String() string {
	c := r.Counts
	return fmt.Sprintf("faults %d, sent %d, served %d, refused %d, failed %d, cut %d, calm %d of %d, store calls %d, breaches %d",
		r.Faults, c.Sent, c.Served, c.Refused, c.Failed, c.Cut, r.CalmServed, r.Calm, r.StoreCalls, len(r.Breaches))
}

// New returns a soak that has not begun.
func New(cfg Config) *Soak {
	s := &Soak{cfg: cfg, random: rand.New(rand.NewPCG(cfg.Seed, 7)), store: platformtest.NewStore(), calm: &calm{}, byCallers: make(map[id.Address]*daemon)}
	return s
}

// calmShare is the share of the requests of calm times that must be served.
const calmShare = 0.95

// lastCalm is how long the last calm time is.
const lastCalm = settle + 4*time.Second

// Run brings everything up, brings the faults about, and takes all down again.
func (s *Soak) Run(ctx context.Context) (Report, error) {
	s.context, s.cancel = context.WithCancel(ctx)
	defer s.end()
	s.started = time.Now()
	s.promises = newPromises(s.started, s.calm)
	if err := s.layOut(); err != nil {
		return Report{}, err
	}
	for _, d := range s.daemons {
		if !d.awaitReady(s.context) {
			return Report{}, fmt.Errorf("soak: daemon %s is not ready after %s", d.name, readyTime)
		}
	}
	for n := range s.cfg.Callers {
		c := &caller{soak: s, random: rand.New(rand.NewPCG(s.cfg.Seed, uint64(100+n))), domain: domains[n%len(domains)]}
		s.group.Go(c.run)
	}
	p := &plan{soak: s}
	p.run()
	clock.Sleep(s.context, lastCalm)
	return s.report(p.faults), ctx.Err()
}

func (s *Soak) report(faults int) Report {
	p := s.promises
	p.mu.Lock()
	defer p.mu.Unlock()
	if float64(p.calmServed) < calmShare*float64(p.calmSent) {
		p.broke(Served, "of %d requests in calm times %d were served", p.calmSent, p.calmServed)
	}
	return Report{
		Breaches: p.breaches, Counts: p.counts, Calm: p.calmSent, CalmServed: p.calmServed, Faults: faults, StoreCalls: s.store.Calls(),
	}
}

// layOut starts the store, the targets and the daemons.
func (s *Soak) layOut() error {
	listener, err := platformtest.Listen("")
	if err != nil {
		return err
	}
	front := &storeFront{listener: listener, server: &http.Server{Handler: s.store.Handler(), ReadHeaderTimeout: dialTime}}
	s.group.Go(front.run)
	context.AfterFunc(s.context, func() { front.server.Close() })
	if s.storeProxy, err = newProxy(id.Address(listener.Addr().String())); err != nil {
		return err
	}
	for _, name := range services {
		for range s.cfg.Targets {
			if err := s.addTarget(name); err != nil {
				return err
			}
		}
	}
	s.publish()
	for n := range s.cfg.Daemons {
		d, err := newDaemon(s, n)
		if err != nil {
			return err
		}
		s.daemons = append(s.daemons, d)
		s.byCallers[d.callers.address()] = d
	}
	for _, d := range s.daemons {
		if err := d.write(s.seeds(), d.callers.to, d.peers.to, 0); err != nil {
			return err
		}
		if err := d.start(); err != nil {
			return err
		}
	}
	return nil
}

// storeFront is where the store listens.
type storeFront struct {
	listener net.Listener
	server   *http.Server
}

func (f *storeFront) run() {
	if err := f.server.Serve(f.listener); !errors.Is(err, http.ErrServerClosed) {
		panic(fmt.Sprintf("soak: store: %v", err))
	}
}

// maxSeeds is how many daemons are named to the others.
const maxSeeds = 3

func (s *Soak) seeds() []id.Address {
	var list []id.Address
	for _, d := range s.daemons[:min(maxSeeds, len(s.daemons))] {
		list = append(list, d.peers.address())
	}
	return list
}

// publish puts the next configuration in place: the moving route goes to the
// next service.
func (s *Soak) publish() {
	s.versions++
	to := services[int(s.versions)%len(services)]
	route := func(name, path string, idempotent bool, to id.Service) platformtest.Route {
		return platformtest.Route{
			Name: id.Route(name), Host: callerHost, Path: path, Idempotent: idempotent, Service: to,
			Timeout: 2 * time.Second, Objective: 600 * time.Millisecond, Attempts: 2,
		}
	}
	p := s.promises
	p.mu.Lock()
	// Its effect may be seen before the store has answered.
	p.moves = append(p.moves, move{service: to, at: time.Now().Add(time.Hour)})
	p.mu.Unlock()
	s.store.Publish(s.versions*3, services, []platformtest.Route{
		route("search", safePath, true, services[0]), route("reserve", unsafePath, false, services[1]), route("moving", movingPath, false, to),
	})
	p.mu.Lock()
	p.moves[len(p.moves)-1].at = time.Now()
	p.mu.Unlock()
}

// end takes all down that this soak started.
func (s *Soak) end() {
	s.cancel()
	for _, d := range s.daemons {
		d.close()
	}
	for _, t := range s.targets {
		t.end()
	}
	if s.storeProxy != nil {
		s.storeProxy.close()
	}
	s.group.Wait()
}

// say writes a line with the time since the start.
func (s *Soak) say(format string, args ...any) {
	fmt.Fprintf(s.cfg.Out, "%7.2f s  %s\n", time.Since(s.started).Seconds(), fmt.Sprintf(format, args...))
}
