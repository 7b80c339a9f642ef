// Package dispatch runs requests on the targets of the services that this
// daemon dispatches. Package schedule decides; this one keeps the connections
// and waits.
package dispatch

import (
	"context"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/briarrouter/briarrouter/backlog"
	"github.com/briarrouter/briarrouter/configuration"
	"github.com/briarrouter/briarrouter/departure"
	"github.com/briarrouter/briarrouter/exchange"
	"github.com/briarrouter/briarrouter/id"
	"github.com/briarrouter/briarrouter/kernel"
	"github.com/briarrouter/briarrouter/memory"
	"github.com/briarrouter/briarrouter/outcome"
	"github.com/briarrouter/briarrouter/quarantine"
	"github.com/briarrouter/briarrouter/schedule"
	"github.com/briarrouter/briarrouter/unit"
	"github.com/briarrouter/briarrouter/work"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"
)

// ServiceName is the name of the Dispatcher in the kernel.
const ServiceName kernel.Name = "dispatch"

// targetLists gives the platform's lists of targets.
type targetLists interface {
	WatchTargets(ctx context.Context, group *conc.WaitGroup, s id.Service, take func([]schedule.Endpoint))
}

// policies gives the configuration in force.
type policies interface {
	Current() *configuration.Snapshot
}

// Config makes a Dispatcher.
type Config struct {
	Log    zerolog.Logger
	Scope  tally.Scope
	Memory *memory.Gate
	// AnswerBuffer is the largest answer that is held whole.
	AnswerBuffer unit.Bytes
	// Domain is where this daemon stands.
	Domain id.FailureDomain
	// Dial makes a connection to a target; net.Dialer's where it is nil.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Seed makes the choices between equal targets.
	Seed uint64
}

// Dispatcher runs requests on the targets of the services that this daemon
// dispatches. A service is taken up by its first request.
type Dispatcher struct {
	cfg      Config
	lists    targetLists
	policies policies
	kernel   *kernel.Kernel
	context  context.Context
	cancel   context.CancelFunc
	group    conc.WaitGroup
	// company is never nil.
	company atomic.Pointer[Company]
	// wake and wakeNow hold a wish to tell what was seen, soon or at once.
	wake, wakeNow chan struct{}

	mu sync.Mutex
	// companions has an entry for each daemon whose sightings are followed.
	companions map[id.Host]*companion
	sightings  *backlog.Log[schedule.Sighting]
	// services has an entry for each service that was taken up.
	services map[id.Service]*serviceDispatcher
	// known holds the quarantines of the whole fleet, as far as they were
	// heard of.
	known *quarantine.Table
	// departed holds the targets that are known to leave.
	departed *departure.Table
	// urgent holds a service with news that its standbys need at once.
	urgent chan id.Service
}

// New returns a dispatcher without services.
func New(cfg Config) *Dispatcher {
	d := &Dispatcher{
		cfg: cfg, services: make(map[id.Service]*serviceDispatcher), known: quarantine.New(), departed: departure.New(),
		urgent: make(chan id.Service, 1), wake: make(chan struct{}, 1), wakeNow: make(chan struct{}, 1),
		companions: make(map[id.Host]*companion), sightings: backlog.New[schedule.Sighting](maxSightings),
	}
	d.company.Store(&Company{})
	return d
}

// Start finds the lists of targets and the policies.
func (d *Dispatcher) Start(_ context.Context, k *kernel.Kernel) error {
	d.kernel = k
	var err error
	if d.lists, err = kernel.Find[targetLists](k, "targets"); err != nil {
		return err
	}
	if d.policies, err = kernel.Find[policies](k, configuration.ServiceName); err != nil {
		return err
	}
	d.context, d.cancel = context.WithCancel(context.Background())
	d.group.Go(func() { d.loop(d.context) })
	return nil
}

// Stop ends the services. Requests in progress must have ended.
func (d *Dispatcher) Stop(context.Context) error {
	d.cancel()
	for _, s := range d.all() {
		s.stop()
	}
	d.group.Wait()
	return nil
}

// all returns the services that were taken up.
func (d *Dispatcher) all() []*serviceDispatcher {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Collect(maps.Values(d.services))
}

// Run runs a request on a target of its service and returns the answer.
func (d *Dispatcher) Run(ctx context.Context, req *work.Request, m configuration.Match) work.Answer {
	if d.quarantined(req.Fingerprint()) {
		return work.Refuse(outcome.NotRun, http.StatusServiceUnavailable, work.Quarantined)
	}
	answer := d.service(m.Service).handle(ctx, req, m.Route)
	if answer.Outcome == outcome.Ran && answer.Status < http.StatusInternalServerError {
		d.cleared(req.Fingerprint())
	}
	return answer
}

// cleared records that a request ran to its end.
func (d *Dispatcher) cleared(f work.Fingerprint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.known.Cleared(time.Now(), f)
}

// Prepare takes a service up before its first request, so that its targets are
// known.
func (d *Dispatcher) Prepare(s *configuration.Service) { d.service(s) }

func (d *Dispatcher) service(policy *configuration.Service) *serviceDispatcher {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.services[policy.Name]
	if s == nil {
		s = newServiceDispatcher(d, policy, rand.New(rand.NewPCG(d.cfg.Seed, uint64(len(d.services)))))
		d.services[policy.Name] = s
		s.start(d.context)
	}
	return s
}

func (d *Dispatcher) quarantined(f work.Fingerprint) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.known.Quarantined(time.Now(), f)
}

// Urgent gives services with news that their standbys need at once.
func (d *Dispatcher) Urgent() <-chan id.Service { return d.urgent }

func (d *Dispatcher) hurry(s id.Service) {
	select {
	case d.urgent <- s:
	default:
	}
}

// Quarantines returns the quarantines to tell a peer.
func (d *Dispatcher) Quarantines(n int) []quarantine.Notice {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.known.Notices(time.Now(), n)
}

// LearnQuarantines takes quarantines from a peer or from a service.
func (d *Dispatcher) LearnQuarantines(notices []quarantine.Notice) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.known.Expire(time.Now())
	d.known.Learn(time.Now(), notices)
}

// Departures returns the leaving targets to tell a peer.
func (d *Dispatcher) Departures(n int) []departure.Notice {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.departed.Notices(time.Now(), n)
}

// LearnDepartures takes leaving targets from a peer.
func (d *Dispatcher) LearnDepartures(notices []departure.Notice) {
	d.mu.Lock()
	fresh := d.departed.Learn(time.Now(), notices)
	d.mu.Unlock()
	for _, s := range d.all() {
		s.setLeaving(fresh)
	}
}

// leaves records a sign of leaving that a service saw.
func (d *Dispatcher) leaves(s id.Service, a id.Address) {
	d.mu.Lock()
	fresh := d.departed.Seen(time.Now(), a)
	d.mu.Unlock()
	if fresh {
		d.cfg.Log.Info().Str("Service", string(s)).Str("Address", string(a)).Msg("target is leaving")
		d.hurry(s)
	}
}

// serves records that a target is back.
func (d *Dispatcher) serves(a id.Address) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.departed.Forget(a)
}

// leaving tells whether a target is known to leave.
func (d *Dispatcher) leaving(a id.Address) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.departed.Leaving(time.Now(), a)
}

// ServiceState is one service's part of a dump.
type ServiceState struct {
	Service     id.Service
	Scheduler   schedule.State
	Suspects    quarantine.State
	RetryTokens float64
	Connections map[id.Target]exchange.State
}

// DispatcherState is the dispatcher's part of a dump.
type DispatcherState struct {
	Quarantine quarantine.State
	Departures departure.State
	Services   []ServiceState
}

// State returns the state of each service that was taken up.
func (d *Dispatcher) State() any {
	d.mu.Lock()
	st := DispatcherState{Quarantine: d.known.State(), Departures: d.departed.State()}
	services := maps.Clone(d.services)
	d.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(services)) {
		st.Services = append(st.Services, services[name].state())
	}
	return st
}
