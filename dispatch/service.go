package dispatch

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/briarrouter/briarrouter/configuration"
	"github.com/briarrouter/briarrouter/exchange"
	"github.com/briarrouter/briarrouter/id"
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
	owner *Dispatcher
	name  id.Service
	log   zerolog.Logger
	scope tally.Scope

	mu        sync.Mutex
	policy    *configuration.Service
	scheduler *schedule.Scheduler
	suspects  *quarantine.Table
	budget    *retry.Budget
	random    *rand.Rand
	// waiting has a channel, with room for one decision, for each job that the
	// scheduler lets wait.
	waiting map[schedule.Ticket]chan schedule.Decision
	// last is the ticket that was given last.
	last schedule.Ticket
	// connections has an entry for each listed target.
	connections map[id.Target]*connection
	// freshUntil is until when only connections are used that were just used,
	// because a target forgot idle ones.
	freshUntil time.Time
	// listed is closed when the first list of targets came.
	listed chan struct{}
	// used is when the last request came; probes stop when the service lies
	// idle here, because another daemon dispatches it.
	used time.Time

	cancel context.CancelFunc
	group  conc.WaitGroup
}

// connection is what the dispatcher keeps open for one target.
type connection struct {
	endpoint schedule.Endpoint
	pool     *exchange.Pool
	cancel   context.CancelFunc
}

func newServiceDispatcher(owner *Dispatcher, policy *configuration.Service, random *rand.Rand) *serviceDispatcher {
	table := quarantine.New()
	s := &serviceDispatcher{
		owner:       owner,
		name:        policy.Name,
		log:         owner.cfg.Log.With().Str("Service", string(policy.Name)).Logger(),
		scope:       owner.cfg.Scope.Tagged(map[string]string{"service": string(policy.Name)}),
		policy:      policy,
		scheduler:   schedule.New(policy, table, random),
		suspects:    table,
		budget:      retry.NewBudget(owner.budgetConfig(policy)),
		random:      random,
		waiting:     make(map[schedule.Ticket]chan schedule.Decision),
		connections: make(map[id.Target]*connection),
		listed:      make(chan struct{}),
	}
	s.scheduler.SetDomain(owner.cfg.Domain)
	s.scheduler.SetServers(owner.company.Load().servers())
	return s
}

func (s *serviceDispatcher) start(ctx context.Context) {
	ctx, s.cancel = context.WithCancel(ctx)
	s.owner.lists.WatchTargets(ctx, &s.group, s.name, func(list []schedule.Endpoint) { s.setTargets(ctx, list) })
	s.group.Go(func() { s.loop(ctx) })
}

func (s *serviceDispatcher) stop() {
	s.cancel()
	s.group.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.connections {
		c.pool.Close()
	}
}

// tick is the time between two ticks of a scheduler.
const tick = 50 * time.Millisecond

func (s *serviceDispatcher) loop(ctx context.Context) {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			s.tick(now)
		}
	}
}

func (s *serviceDispatcher) tick(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.takePolicy()
	before := s.scheduler.Counts()
	s.scheduler.Tick(now)
	s.report(before)
	s.deliver(now)
	for _, c := range s.connections {
		c.pool.Trim(now)
	}
}

// takePolicy puts the policy in force that the configuration gives now.
func (s *serviceDispatcher) takePolicy() {
	current := s.owner.policies.Current()
	if current == nil {
		return
	}
	if next := current.Services[s.name]; next != nil && next != s.policy {
		s.policy = next
		s.scheduler.SetPolicy(next)
		s.budget.SetConfig(s.owner.budgetConfig(next))
	}
}

// deliver hands out the scheduler's decisions about waiting jobs.
func (s *serviceDispatcher) deliver(now time.Time) {
	for _, e := range s.scheduler.Next(now) {
		s.waiting[e.Ticket] <- e.Decision
		delete(s.waiting, e.Ticket)
	}
}

// report logs and counts what the scheduler decided since before.
func (s *serviceDispatcher) report(before schedule.Counts) {
	after := s.scheduler.Counts()
	s.scope.Counter("ejections").Inc(after.Ejected - before.Ejected)
	s.scope.Counter("quarantines").Inc(after.Quarantined - before.Quarantined)
	if after.Ejected > before.Ejected {
		s.log.Warn().Int64("Targets", after.Ejected-before.Ejected).Msg("targets ejected")
	}
	if after.Quarantined > before.Quarantined {
		s.log.Warn().Int64("Requests", after.Quarantined-before.Quarantined).Msg("requests quarantined")
		s.owner.LearnQuarantines(s.suspects.Notices(time.Now(), maxNotices))
		s.owner.hurry(s.name)
	}
}

// maxNotices bounds the quarantines that a service passes on at once.
const maxNotices = 16

func (s *serviceDispatcher) setTargets(ctx context.Context, list []schedule.Endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.scheduler.SetTargets(now, list)
	for _, e := range list {
		if s.owner.leaving(e.Address) {
			s.scheduler.SetLeaving(now, e.Address)
		}
	}
	next := make(map[id.Target]*connection)
	for _, e := range list {
		next[e.ID] = s.connection(ctx, e)
	}
	for name, c := range s.connections {
		if next[name] != c {
			c.cancel()
			c.pool.Close()
		}
	}
	s.connections = next
	select {
	case <-s.listed:
	default:
		close(s.listed)
	}
	s.deliver(now)
}

// setLeaving takes leaving targets that a peer saw.
func (s *serviceDispatcher) setLeaving(list []id.Address) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range list {
		s.scheduler.SetLeaving(time.Now(), a)
	}
}

const (
	// dialTimeout is less than the second after which a lost opening packet is
	// sent again: another target is sooner reached.
	dialTimeout   = 300 * time.Millisecond
	idleLimit     = 30 * time.Second
	answerHead    = 64 << 10
	idleForUnsafe = time.Second
	// forgotten is the least idle time after which a lost connection shows that
	// its target forgets idle ones.
	forgotten = 50 * time.Millisecond
	// freshTime is how long only connections are used after that that were idle
	// for less.
	freshTime = 10 * time.Second
)

// maxIdle returns how long a connection may have been idle that a request of a
// route is sent on.
func (s *serviceDispatcher) maxIdle(route *configuration.Route) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case time.Now().Before(s.freshUntil):
		return forgotten
	case route.Idempotent:
		return idleLimit
	default:
		return idleForUnsafe
	}
}

// learnIdle notes where a target forgot an idle connection: whatever is sent on
// it is reset, and nobody knows then whether it ran.
func (s *serviceDispatcher) learnIdle(reply *exchange.Reply) {
	if reply.Idle < forgotten || (reply.Ending != outcome.Lost && reply.Ending != outcome.WriteFailed) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.freshUntil = time.Now().Add(freshTime)
}

// connection returns the open connections of a target, or starts new ones with
// a task that probes the target.
func (s *serviceDispatcher) connection(ctx context.Context, e schedule.Endpoint) *connection {
	if c := s.connections[e.ID]; c != nil && c.endpoint.Same(e) {
		return c
	}
	pool := exchange.New(exchange.Config{
		Address:      e.Address,
		Connections:  s.policy.Connections,
		DialTimeout:  dialTimeout,
		IdleLimit:    idleLimit,
		HeadLimit:    answerHead,
		AnswerBuffer: s.owner.cfg.AnswerBuffer,
		Memory:       s.owner.cfg.Memory,
		Dial:         s.owner.cfg.Dial,
	})
	ctx, cancel := context.WithCancel(ctx)
	if s.policy.Probe.Every > 0 {
		p := &prober{service: s, endpoint: e, pool: pool}
		s.group.Go(func() { p.loop(ctx) })
	}
	return &connection{endpoint: e, pool: pool, cancel: cancel}
}

func (s *serviceDispatcher) state() ServiceState {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := ServiceState{
		Service:     s.name,
		Scheduler:   s.scheduler.State(time.Now()),
		Suspects:    s.suspects.State(),
		RetryTokens: s.budget.Tokens(),
		Connections: make(map[id.Target]exchange.State),
	}
	for name, c := range s.connections {
		st.Connections[name] = c.pool.State()
	}
	return st
}
