// Package dispatch runs requests on the targets of the services that this daemon
// dispatches. Package schedule decides which target runs a request and when; this
// package does the I/O and the waiting.
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
	"github.com/briarrouter/briarrouter/crossing"
	"github.com/briarrouter/briarrouter/exchange"
	"github.com/briarrouter/briarrouter/id"
	"github.com/briarrouter/briarrouter/kernel"
	"github.com/briarrouter/briarrouter/memory"
	"github.com/briarrouter/briarrouter/outcome"
	"github.com/briarrouter/briarrouter/quarantine"
	"github.com/briarrouter/briarrouter/schedule"
	"github.com/briarrouter/briarrouter/socket"
	"github.com/briarrouter/briarrouter/statement"
	"github.com/briarrouter/briarrouter/unit"
	"github.com/briarrouter/briarrouter/work"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"
)

// ServiceName is the name of the Dispatcher in the kernel.
const ServiceName kernel.Name = "dispatch"

// targetLists provides the platform's lists of targets: first the whole list of a
// service, then its changes until the context ends.
type targetLists interface {
	WatchTargets(ctx context.Context, group *conc.WaitGroup, s id.Service, handle func(schedule.TargetChange))
}

// configurationSource provides the configuration in force.
type configurationSource interface {
	Current() *configuration.Snapshot
}

type Config struct {
	Log    zerolog.Logger
	Scope  tally.Scope
	Memory *memory.Limiter
	// Connections bounds the connections to all targets together; nil for no bound.
	Connections *exchange.Budget
	// ResponseBuffer is the size of the largest response body that is buffered
	// whole; larger ones are streamed.
	ResponseBuffer unit.Bytes
	// Host is the name of this daemon's host.
	Host id.Host
	// FailureDomain is this daemon's failure domain.
	FailureDomain id.FailureDomain
	// Crossing is what it costs to leave that; zero if the policies of the services
	// state it.
	Crossing crossing.Config
	// Buffers bounds what the operating system holds for each connection to a target.
	Buffers socket.Buffers
	// Dial connects to a target; if nil, a net.Dialer is used.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Seed seeds the random choices, such as those between equal targets.
	Seed uint64
}

// Dispatcher runs requests on the targets of the services that this daemon
// dispatches. The scheduler and the connections of a service are created by
// Prepare or by the first request.
type Dispatcher struct {
	cfg            Config
	lists          targetLists
	configurations configurationSource
	kernel         *kernel.Kernel
	context        context.Context
	cancel         context.CancelFunc
	group          conc.WaitGroup
	// replicas is never nil.
	replicas atomic.Pointer[Replicas]
	// publishSoon and publishNow wake the task that publishes sightings, which then
	// does so after sightingDelay or at once. Each has room for one wake-up, so that
	// sending never blocks.
	publishSoon, publishNow chan struct{}

	mu sync.Mutex
	// followers has an entry for each replica whose sightings are followed.
	followers map[id.Host]*sightingFollower
	sightings *backlog.Log[schedule.Sighting]
	// services has an entry for each service that this daemon has dispatched or
	// prepared.
	services map[id.Service]*serviceDispatcher
	// quarantines holds the quarantines reported by this daemon's service dispatchers
	// and by peers.
	quarantines *quarantine.Table
	// statements is safe for concurrent use.
	statements *statement.Table
	// urgent holds at most one service whose standbys must be notified at once.
	urgent chan id.Service
}

func New(cfg Config) *Dispatcher {
	d := &Dispatcher{
		cfg: cfg, services: make(map[id.Service]*serviceDispatcher), quarantines: quarantine.New(), statements: statement.New(),
		urgent: make(chan id.Service, 1), publishSoon: make(chan struct{}, 1), publishNow: make(chan struct{}, 1),
		followers: make(map[id.Host]*sightingFollower), sightings: backlog.New[schedule.Sighting](maxSightings),
	}
	d.replicas.Store(&Replicas{})
	return d
}

// Start finds the services that provide the target lists and the configuration,
// and starts publishing sightings.
func (d *Dispatcher) Start(_ context.Context, k *kernel.Kernel) error {
	d.kernel = k
	var err error
	if d.lists, err = kernel.Find[targetLists](k, "targets"); err != nil {
		return err
	}
	if d.configurations, err = kernel.Find[configurationSource](k, configuration.ServiceName); err != nil {
		return err
	}
	d.context, d.cancel = context.WithCancel(context.Background())
	d.group.Go(func() { d.loop(d.context) })
	return nil
}

// Stop stops the dispatchers of all services. Requests in progress must have
// ended.
func (d *Dispatcher) Stop(context.Context) error {
	d.cancel()
	for _, s := range d.serviceDispatchers() {
		s.stop()
	}
	d.group.Wait()
	return nil
}

func (d *Dispatcher) serviceDispatchers() []*serviceDispatcher {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Collect(maps.Values(d.services))
}

// Run runs a request on a target of the matched service and returns the response.
func (d *Dispatcher) Run(ctx context.Context, req *work.Request, m configuration.Match) work.Response {
	if d.isQuarantined(req.Identity()) {
		return work.Refuse(outcome.NotRun, http.StatusServiceUnavailable, work.Quarantined)
	}
	response := d.getOrCreateService(m.Service).handle(ctx, req, m.Route)
	if response.Outcome == outcome.Ran && response.Status < http.StatusInternalServerError {
		d.recordCompleted(req.Identity())
	}
	return response
}

// recordCompleted records that a request completed, so that it is not suspected
// of crashing targets.
func (d *Dispatcher) recordCompleted(r work.Identity) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.quarantines.RecordCompletion(time.Now(), r)
}

// Prepare creates the dispatcher of a service before its first request, so that
// the list of its targets is loaded by then.
func (d *Dispatcher) Prepare(s *configuration.Service) { d.getOrCreateService(s) }

func (d *Dispatcher) getOrCreateService(policy *configuration.Service) *serviceDispatcher {
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

func (d *Dispatcher) isQuarantined(r work.Identity) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.quarantines.Quarantined(time.Now(), r)
}

// UrgentServices returns a channel of services that have a new quarantine or a
// newly leaving target, of which their standbys must be notified at once.
func (d *Dispatcher) UrgentServices() <-chan id.Service { return d.urgent }

// requestStandbyNotice requests that the standbys of a service be notified at once,
// by putting it into the urgent channel. It does nothing if the channel holds a
// service already.
func (d *Dispatcher) requestStandbyNotice(s id.Service) {
	select {
	case d.urgent <- s:
	default:
	}
}

// Quarantines returns at most n quarantines to send to a peer.
func (d *Dispatcher) Quarantines(n int) []quarantine.Notice {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.quarantines.Notices(time.Now(), n)
}

// LearnQuarantines adds quarantines that a peer or one of this daemon's service
// dispatchers reported.
func (d *Dispatcher) LearnQuarantines(notices []quarantine.Notice) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.quarantines.Expire(time.Now())
	d.quarantines.Learn(time.Now(), notices)
}

// LeavingNotices returns notices of at most n targets that are leaving to send to a
// peer.
func (d *Dispatcher) LeavingNotices(n int) []statement.LeavingNotice {
	return d.statements.LeavingNotices(time.Now(), n)
}

// LearnLeaving adds the targets that a peer knows to be leaving.
func (d *Dispatcher) LearnLeaving(notices []statement.LeavingNotice) {
	d.statements.LearnLeaving(time.Now(), notices)
}

// LimitNotices returns notices of at most n limits of targets to send to a peer.
func (d *Dispatcher) LimitNotices(n int) []statement.LimitNotice {
	return d.statements.LimitNotices(time.Now(), n)
}

// LearnLimits adds the limits of targets that a peer knows.
func (d *Dispatcher) LearnLimits(notices []statement.LimitNotice) {
	d.statements.LearnLimits(time.Now(), notices)
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
	Statements statement.State
	Services   []ServiceState
}

// State returns the quarantines, the counts of statements and the state of each
// service that this daemon has dispatched or prepared.
func (d *Dispatcher) State() any {
	d.mu.Lock()
	st := DispatcherState{Quarantine: d.quarantines.State(), Statements: d.statements.State(time.Now())}
	services := maps.Clone(d.services)
	d.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(services)) {
		st.Services = append(st.Services, services[name].state())
	}
	return st
}
