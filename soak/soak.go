// Package soak runs daemons as separate processes on this machine, injects faults
// by proxies, by signals, and in the simulated store and targets, and checks each
// Promise against what simulated callers and targets observe. The faults are
// derived from a seed.
package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/briarrouter/briarrouter/clock"
	"github.com/briarrouter/briarrouter/id"
	"github.com/briarrouter/briarrouter/platform/platformtest"
	"github.com/sourcegraph/conc"
)

type Config struct {
	// Program is the path of the program under test.
	Program string
	// Directory is where the settings and logs of the daemons are written.
	Directory string
	Seed      uint64
	// Duration is the time within which rounds of faults begin. A soak takes longer,
	// since the last round is completed and finalPeriod follows.
	Duration time.Duration
	// Daemons and Callers are total numbers; Targets is the number of targets of
	// each service.
	Daemons, Targets, Callers int
	// Pause is the mean time between two requests of a caller.
	Pause time.Duration
	// PlannedWork replaces the faults by planned work: stops, changed settings,
	// configurations, and targets that leave and join.
	PlannedWork bool
	// RunShare is the share of the time in which daemons may run; 0 for all of it.
	RunShare float64
	// Out receives a line for the start and end of each fault, for each target crash
	// and operator action, and for each error that occurs in one of these.
	Out io.Writer
}

var domains = []id.FailureDomain{"north", "east", "south"}

var services = []id.Service{"beds", "holds", "files"}

// Soak is one soak test with its processes, targets, callers and proxies.
type Soak struct {
	cfg     Config
	random  *rand.Rand
	context context.Context
	cancel  context.CancelFunc
	group   conc.WaitGroup
	started time.Time
	faults  *faultTracker

	checker    *checker
	store      *platformtest.Store
	storeProxy *proxy
	daemons    []*daemon
	// daemonByAddress finds a daemon by its callerAddress.
	daemonByAddress map[id.Address]*daemon
	targets         []*target
	// targetsStarted counts the targets started so far, including those removed
	// since. The ids of targets are numbered by it.
	targetsStarted int
	// published counts the published configurations.
	published uint64
	// actions serializes the planned work of stopSeries.
	actions sync.Mutex
}

// Report is the result of a soak.
type Report struct {
	Violations []Violation
	Counts     Counts
	// FaultFreeSent counts the requests that no fault can have affected, and
	// FaultFreeServed those of them that were served.
	FaultFreeSent, FaultFreeServed int
	// Faults counts the injected faults, but not the target crashes.
	Faults int
	// Stops counts the planned stops, and Losses the requests that ended without a
	// response of their target, if there is nothing but planned work.
	Stops  int
	Losses LossCounts
	// StoreCalls counts the calls that the store did not refuse.
	StoreCalls int64
}

// String returns the report as one line.
func (r Report) String() string {
	c := r.Counts
	text := fmt.Sprintf("faults %d, sent %d, served %d, refused %d, failed %d, connection errors %d, served without faults %d of %d, store calls %d, violations %d",
		r.Faults, c.Sent, c.Served, c.Refused, c.Failed, c.ConnectionErrors, r.FaultFreeServed, r.FaultFreeSent, r.StoreCalls, len(r.Violations))
	if l := r.Losses; r.Stops > 0 {
		text += fmt.Sprintf(", stops %d, lost with an own status %d, passed on %d, unread %d, waiting at the cut %d, excused %v", r.Stops, l.OwnStatus, l.PassedOn, l.Unread, l.WaitingAtCut, l.Excused)
	}
	return text
}

func New(cfg Config) *Soak {
	s := &Soak{cfg: cfg, random: rand.New(rand.NewPCG(cfg.Seed, 7)), store: platformtest.NewStore(), faults: &faultTracker{}, daemonByAddress: make(map[id.Address]*daemon)}
	return s
}

// minServedShare is the minimum share of served requests among those that no fault
// can have affected.
const minServedShare = 0.95

// finalPeriod is the length of the fault-free period at the end of a soak.
const finalPeriod = settleTime + 4*time.Second

// Run starts the store, the targets, the daemons and the callers, injects faults,
// and stops everything after finalPeriod.
func (s *Soak) Run(ctx context.Context) (Report, error) {
	s.context, s.cancel = context.WithCancel(ctx)
	defer s.shutDown()
	s.started = time.Now()
	s.checker = newChecker(s.started, s.faults)
	if s.cfg.PlannedWork {
		s.checker.losses = newLossChecker(s.logf)
	}
	if err := s.setUp(); err != nil {
		return Report{}, err
	}
	for _, d := range s.daemons {
		if !d.awaitReady(s.context) {
			return Report{}, fmt.Errorf("soak: daemon %s did not become ready within %s", d.name, readyTimeout)
		}
	}
	for n := range s.cfg.Callers {
		random, domain := rand.New(rand.NewPCG(s.cfg.Seed, uint64(100+n))), domains[n%len(domains)]
		if s.cfg.PlannedWork {
			c := &plannedCaller{soak: s, random: random, domain: domain, habit: habits[n%len(habits)]}
			s.group.Go(c.run)
			continue
		}
		c := &caller{soak: s, random: random, domain: domain}
		if s.usesAccounts() {
			c.account = accountName(n)
		}
		s.group.Go(c.run)
	}
	var report Report
	if s.cfg.PlannedWork {
		stops := s.runPlannedWork()
		clock.Sleep(s.context, finalPeriod)
		report = s.buildReport(0)
		report.Stops = stops
		return report, ctx.Err()
	}
	j := &injector{soak: s, statements: rand.New(rand.NewPCG(s.cfg.Seed, 9)), returns: rand.New(rand.NewPCG(s.cfg.Seed, 11))}
	j.run()
	clock.Sleep(s.context, finalPeriod)
	for _, d := range s.daemons {
		d.checkLog()
	}
	return s.buildReport(j.injected), ctx.Err()
}

// buildReport returns the report, after it has checked minServedShare.
func (s *Soak) buildReport(injected int) Report {
	c := s.checker
	c.mu.Lock()
	defer c.mu.Unlock()
	if float64(c.faultFreeServed) < minServedShare*float64(c.faultFreeSent) {
		c.recordViolationLocked(Served, "of %d requests that no fault can have affected, %d were served; the minimum is %.0f%%", c.faultFreeSent, c.faultFreeServed, 100*minServedShare)
	}
	var losses LossCounts
	if c.losses != nil {
		losses = c.losses.counts
	}
	return Report{
		Losses: losses, Violations: c.violations, Counts: c.counts, FaultFreeSent: c.faultFreeSent, FaultFreeServed: c.faultFreeServed, Faults: injected, StoreCalls: s.store.Calls(),
	}
}

// setUp starts the store, the targets and the daemons.
func (s *Soak) setUp() error {
	listener, err := platformtest.Listen("")
	if err != nil {
		return err
	}
	server := &storeServer{listener: listener, httpServer: &http.Server{Handler: s.store.Handler(), ReadHeaderTimeout: dialTimeout}}
	s.group.Go(server.run)
	context.AfterFunc(s.context, func() { server.httpServer.Close() })
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
		s.daemonByAddress[d.callerAddress] = d
	}
	for _, d := range s.daemons {
		if err := d.writeSettings(s.peerSeeds(), d.callerProxy.upstream, d.peerProxy.upstream, 0); err != nil {
			return err
		}
		if err := d.start(); err != nil {
			return err
		}
	}
	return nil
}

type storeServer struct {
	listener   net.Listener
	httpServer *http.Server
}

func (s *storeServer) run() {
	if err := s.httpServer.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		panic(fmt.Sprintf("soak: serving the store: %v", err))
	}
}

// maxPeerSeeds is the maximum number of seeds in the settings of a daemon.
const maxPeerSeeds = 3

func (s *Soak) peerSeeds() []id.Address {
	var list []id.Address
	for _, d := range s.daemons[:min(maxPeerSeeds, len(s.daemons))] {
		list = append(list, d.peerProxy.address())
	}
	return list
}

// versionStep is the difference between the versions of successive
// configurations.
const versionStep = 3

// publish publishes the next configuration, which assigns reassignedPath to the next
// service.
func (s *Soak) publish() {
	s.published++
	next := services[int(s.published)%len(services)]
	route := func(name, path string, idempotent bool, service id.Service) platformtest.Route {
		return platformtest.Route{
			Name: id.Route(name), Host: callerHost, Path: path, Idempotent: idempotent, Service: service,
			Timeout: 2 * time.Second, Objective: 600 * time.Millisecond, Attempts: 2,
		}
	}
	c := s.checker
	c.mu.Lock()
	// The assignment is recorded before Publish, because targets may see its effect before
	// Publish returns. Until then its time is in the future, so that
	// ConfigurationInForce is not checked too early.
	c.assignments = append(c.assignments, routeAssignment{service: next, at: time.Now().Add(time.Hour)})
	c.mu.Unlock()
	routes := []platformtest.Route{
		route("search", searchPath, true, services[0]), route("reserve", reservePath, false, services[1]), route("moving", reassignedPath, false, next),
	}
	var accounts []platformtest.Account
	if s.cfg.PlannedWork {
		routes = s.routes(next)
	}
	if s.usesAccounts() {
		accounts = s.accounts()
	}
	s.store.Publish(s.published*versionStep, services, routes, accounts)
	c.mu.Lock()
	c.assignments[len(c.assignments)-1].at = time.Now()
	c.mu.Unlock()
}

// shutDown stops everything that the soak started.
func (s *Soak) shutDown() {
	s.cancel()
	for _, d := range s.daemons {
		d.close()
	}
	for _, t := range s.targets {
		t.stop()
	}
	if s.storeProxy != nil {
		s.storeProxy.close()
	}
	s.group.Wait()
}

// logf writes a line to Config.Out with the time since the start.
func (s *Soak) logf(format string, args ...any) {
	fmt.Fprintf(s.cfg.Out, "%7.2f s  %s\n", time.Since(s.started).Seconds(), fmt.Sprintf(format, args...))
}
