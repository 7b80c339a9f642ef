package dispatch

import (
	"context"
	"maps"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/briarrouter/briarrouter/configuration"
	"github.com/briarrouter/briarrouter/exchange"
	"github.com/briarrouter/briarrouter/id"
	"github.com/briarrouter/briarrouter/metric"
	"github.com/briarrouter/briarrouter/outcome"
	"github.com/briarrouter/briarrouter/quarantine"
	"github.com/briarrouter/briarrouter/retry"
	"github.com/briarrouter/briarrouter/schedule"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"
)

// serviceDispatcher carries out the decisions of one service's scheduler.
type serviceDispatcher struct {
	dispatcher *Dispatcher
	name       id.Service
	log        zerolog.Logger
	scope      tally.Scope
	// traffic counts the bytes of requests and responses on targets in other failure
	// domains.
	traffic *metric.Traffic

	mu        sync.Mutex
	policy    *configuration.Service
	scheduler *schedule.Scheduler
	// suspects detects the requests that crash this service's targets. New
	// quarantines are copied to Dispatcher.quarantines.
	suspects *quarantine.Table
	budget   *retry.Budget
	random   *rand.Rand
	// waiting has a channel for each queued job. Each channel is buffered for one
	// decision, so that delivery never blocks.
	waiting map[schedule.Ticket]chan schedule.Decision
	// lastTicket is the most recently issued ticket.
	lastTicket schedule.Ticket
	// transfers holds the bodies that pass between callers and targets.
	transfers transfers
	// pools has an entry for each listed target.
	pools map[id.Target]*targetPool
	// shortIdleUntil is the time until which maxIdle is shortIdleLimit, because a
	// target dropped an idle connection.
	shortIdleUntil time.Time
	// idle tells that the last tick changed nothing; arrived then ends the wait for the
	// next tick.
	idle    bool
	arrived chan struct{}
	// targetsListed is closed when the first list of targets arrives.
	targetsListed chan struct{}
	// lastUsed is when the last request arrived. Probes stop if that is longer ago
	// than probeAfterUse, because then another daemon dispatches the service.
	lastUsed time.Time
	// trimmedAt is when the pools were last searched for idle connections.
	trimmedAt time.Time
	// coverageLoggedAt is when the coverage of the targets was last logged.
	coverageLoggedAt time.Time

	// ctx ends when the service is stopped. It is set by start.
	ctx    context.Context
	cancel context.CancelFunc
	group  conc.WaitGroup
}

// targetPool is the connection pool of one target, with the function that stops
// its prober.
type targetPool struct {
	endpoint schedule.Endpoint
	pool     *exchange.Pool
	cancel   context.CancelFunc
}

func newServiceDispatcher(dispatcher *Dispatcher, policy *configuration.Service, random *rand.Rand) *serviceDispatcher {
	table := quarantine.New()
	s := &serviceDispatcher{
		dispatcher:    dispatcher,
		name:          policy.Name,
		log:           dispatcher.cfg.Log.With().Str("Service", string(policy.Name)).Logger(),
		scope:         dispatcher.cfg.Scope.Tagged(map[string]string{"service": string(policy.Name)}),
		policy:        policy,
		scheduler:     schedule.New(policy, table, random),
		suspects:      table,
		budget:        retry.NewBudget(time.Now(), dispatcher.budgetConfig(policy)),
		random:        random,
		waiting:       make(map[schedule.Ticket]chan schedule.Decision),
		pools:         make(map[id.Target]*targetPool),
		targetsListed: make(chan struct{}),
		arrived:       make(chan struct{}, 1),
	}
	s.traffic = metric.NewTraffic(dispatcher.cfg.Scope, metric.TargetLink, s.name)
	s.scheduler.SetFailureDomain(dispatcher.cfg.FailureDomain)
	s.scheduler.SetStatements(dispatcher.statements)
	s.scheduler.SetCrossing(dispatcher.cfg.Crossing)
	s.setReplicas(dispatcher.replicas.Load())
	return s
}

func (s *serviceDispatcher) start(ctx context.Context) {
	ctx, s.cancel = context.WithCancel(ctx)
	s.ctx = ctx
	s.dispatcher.lists.WatchTargets(ctx, &s.group, s.name, func(c schedule.TargetChange) { s.updateTargets(ctx, c) })
	s.group.Go(func() { s.loop(ctx) })
}

func (s *serviceDispatcher) stop() {
	s.cancel()
	s.group.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.pools {
		p.pool.Close()
	}
}

const (
	// tickInterval is the time between two ticks of a scheduler.
	tickInterval = 50 * time.Millisecond
	// idleTickInterval replaces tickInterval while ticks change nothing. Most daemons of
	// a large fleet get no requests.
	idleTickInterval = time.Second
)

func (s *serviceDispatcher) loop(ctx context.Context) {
	timer := time.NewTimer(tickInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.arrived:
		case <-timer.C:
		}
		timer.Reset(s.tick(time.Now()))
	}
}

// tick updates what changes with time and returns the time until the next tick.
func (s *serviceDispatcher) tick(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.updatePolicy()
	before := s.scheduler.Counts()
	s.scheduler.Tick(now)
	s.reportCounts(before)
	s.deliverDecisions(now)
	s.logCoverage(now)
	if now.Sub(s.trimmedAt) >= trimInterval {
		s.trimmedAt = now
		for _, p := range s.pools {
			p.pool.Trim(now)
		}
	}
	if s.idle = s.scheduler.Idle(now); s.idle {
		return idleTickInterval
	}
	return tickInterval
}

// trimInterval is the time between two searches for connections idle for longer than
// idleLimit.
const trimInterval = time.Second

// updatePolicy applies the policy of the configuration in force if it changed.
func (s *serviceDispatcher) updatePolicy() {
	current := s.dispatcher.configurations.Current()
	if current == nil {
		return
	}
	if next := current.Services[s.name]; next != nil && next != s.policy {
		s.policy = next
		s.scheduler.SetPolicy(next)
		s.budget.SetConfig(time.Now(), s.dispatcher.budgetConfig(next))
	}
}

// deliverDecisions passes the scheduler's decisions to the waiting requests. The
// caller holds s.mu.
func (s *serviceDispatcher) deliverDecisions(now time.Time) {
	for _, e := range s.scheduler.Next(now) {
		s.waiting[e.Ticket] <- e.Decision
		delete(s.waiting, e.Ticket)
	}
}

// reportCounts logs and counts the ejections and quarantines since the given
// counts. The caller holds s.mu.
func (s *serviceDispatcher) reportCounts(before schedule.Counts) {
	after := s.scheduler.Counts()
	s.scope.Counter("ejections").Inc(after.Ejected - before.Ejected)
	s.scope.Counter("quarantines").Inc(after.Quarantined - before.Quarantined)
	if after.Ejected > before.Ejected {
		s.log.Warn().Int64("Targets", after.Ejected-before.Ejected).Msg("targets ejected")
	}
	if after.Quarantined > before.Quarantined {
		s.log.Warn().Int64("Requests", after.Quarantined-before.Quarantined).Msg("requests quarantined")
		s.dispatcher.LearnQuarantines(s.suspects.Notices(time.Now(), maxNotices))
		s.dispatcher.requestStandbyNotice(s.name)
	}
}

// maxNotices bounds the quarantines that a service reports to the dispatcher at
// once.
const maxNotices = 16

// updateTargets applies a change of the list of targets to the scheduler and to the
// connection pools.
func (s *serviceDispatcher) updateTargets(ctx context.Context, c schedule.TargetChange) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if c.Full {
		c.Gone = c.Unlisted(maps.Keys(s.pools))
	}
	s.scheduler.UpdateTargets(now, c)
	for _, name := range c.Gone {
		if p := s.pools[name]; p != nil {
			p.close()
			delete(s.pools, name)
		}
	}
	for _, e := range c.Listed {
		s.listPool(ctx, e)
	}
	select {
	case <-s.targetsListed:
	default:
		close(s.targetsListed)
	}
	s.deliverDecisions(now)
}

const (
	// dialTimeout is less than the 1 s after which TCP retransmits a lost SYN:
	// trying another target is faster.
	dialTimeout         = 300 * time.Millisecond
	idleLimit           = 30 * time.Second
	responseHeaderLimit = 64 << 10
	// nonIdempotentIdleLimit is shorter than idleLimit, since a non-idempotent
	// request cannot be retried after the target closes the connection under it.
	nonIdempotentIdleLimit = time.Second
	// shortIdleLimit is the idle time from which on the loss of a connection under a
	// request is attributed to a target that drops idle connections.
	shortIdleLimit = 50 * time.Millisecond
	// shortIdlePeriod is how long, after such a loss, only connections idle for
	// less than shortIdleLimit are reused.
	shortIdlePeriod = 10 * time.Second
)

// maxIdle returns how long a connection may have been idle to be reused for a
// request of a route.
func (s *serviceDispatcher) maxIdle(route *configuration.Route) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case time.Now().Before(s.shortIdleUntil):
		return shortIdleLimit
	case route.Idempotent:
		return idleLimit
	default:
		return nonIdempotentIdleLimit
	}
}

// detectDroppedIdle starts the period of short idle times if a connection that
// had been idle was lost under a request. A target that drops idle connections
// resets whatever is sent on them, and whether the request ran is unknown then.
func (s *serviceDispatcher) detectDroppedIdle(reply *exchange.Reply) {
	if reply.Idle < shortIdleLimit || (reply.Ending != outcome.Lost && reply.Ending != outcome.WriteFailed) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shortIdleUntil = time.Now().Add(shortIdlePeriod)
}

func (p *targetPool) close() {
	p.cancel()
	p.pool.Close()
}

// listPool makes a connection pool for a listed target and starts a prober for it. The
// pool of an earlier process of the target is closed, that of the same process kept. The
// caller holds s.mu.
func (s *serviceDispatcher) listPool(ctx context.Context, e schedule.Endpoint) {
	if p := s.pools[e.ID]; p != nil {
		if p.endpoint.SameProcess(e) {
			return
		}
		p.close()
	}
	pool := exchange.New(exchange.Config{
		Address:        e.Address,
		Connections:    s.policy.Connections,
		DialTimeout:    dialTimeout,
		IdleLimit:      idleLimit,
		HeaderLimit:    responseHeaderLimit,
		ResponseBuffer: s.dispatcher.cfg.ResponseBuffer,
		Memory:         s.dispatcher.cfg.Memory,
		Budget:         s.dispatcher.cfg.Connections,
		Dial:           s.dialer(e),
	})
	ctx, cancel := context.WithCancel(ctx)
	if s.policy.Probe.Every > 0 {
		p := &prober{service: s, endpoint: e, pool: pool}
		s.group.Go(func() { p.loop(ctx) })
	}
	s.pools[e.ID] = &targetPool{endpoint: e, pool: pool, cancel: cancel}
}

// dialer returns the function that connects to a target. It counts the bytes of a target
// in another failure domain.
func (s *serviceDispatcher) dialer(e schedule.Endpoint) metric.DialFunc {
	dial := metric.DialFunc(s.dispatcher.cfg.Dial)
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout, Control: s.dispatcher.cfg.Buffers.Control}).DialContext
	}
	if e.FailureDomain == s.dispatcher.cfg.FailureDomain {
		return dial
	}
	return s.traffic.Dial(dial)
}

func (s *serviceDispatcher) state() ServiceState {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := ServiceState{
		Service:     s.name,
		Scheduler:   s.scheduler.State(time.Now()),
		Suspects:    s.suspects.State(),
		RetryTokens: s.budget.Tokens(time.Now()),
		Connections: make(map[id.Target]exchange.State),
	}
	for name, p := range s.pools {
		st.Connections[name] = p.pool.State()
	}
	return st
}
