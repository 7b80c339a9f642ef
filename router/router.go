// Package router routes a request to a daemon that dispatches its service. That
// daemon sends it to a target. A non-idempotent request with an idempotency key goes
// through the daemon that owns the key first.
package router

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/briarrouter/briarrouter/clock"
	"github.com/briarrouter/briarrouter/configuration"
	"github.com/briarrouter/briarrouter/departure"
	"github.com/briarrouter/briarrouter/dispatch"
	"github.com/briarrouter/briarrouter/id"
	"github.com/briarrouter/briarrouter/idempotency"
	"github.com/briarrouter/briarrouter/kernel"
	"github.com/briarrouter/briarrouter/outcome"
	"github.com/briarrouter/briarrouter/quarantine"
	"github.com/briarrouter/briarrouter/quota"
	"github.com/briarrouter/briarrouter/registry"
	"github.com/briarrouter/briarrouter/rendezvous"
	"github.com/briarrouter/briarrouter/roster"
	"github.com/briarrouter/briarrouter/work"
	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"
)

// ServiceName is the name under which the Router is registered in the kernel.
const ServiceName kernel.Name = "router"

// maxHops is how many times a request may be forwarded from daemon to daemon. After
// that, the daemon that it has reached dispatches it.
const maxHops = 2

// relayGrace is how long after the deadline this daemon still waits for a peer's
// response, because only the peer knows whether the request was run.
const relayGrace = 100 * time.Millisecond

// Purpose says why a request is forwarded to a peer. It is sent with the request.
// It is empty for a request that comes from a caller.
type Purpose string

const (
	// ToOwner forwards a request to the incarnation that owns its key.
	ToOwner Purpose = "owner"
	// ToDispatcher forwards a request to a daemon that dispatches its service.
	ToDispatcher Purpose = "dispatcher"
)

// policies provides the configuration in force.
type policies interface {
	Current() *configuration.Snapshot
	// Await waits for the first configuration. It returns nil if the context ends
	// first.
	Await(ctx context.Context) *configuration.Snapshot
}

// dispatcher sends requests to targets.
type dispatcher interface {
	Run(ctx context.Context, req *work.Request, m configuration.Match) work.Response
	// Prepare starts to watch the targets of a service before its first request.
	Prepare(s *configuration.Service)
	// SetReplicas sets the replicas: the daemons that callers are directed to.
	SetReplicas(replicas dispatch.Replicas)
}

// peers gives access to the other daemons.
type peers interface {
	Self() roster.Member
	Members() []roster.Member
	// Generation returns a number that grows with each change of Members.
	Generation() uint64
	Find(i id.Incarnation) (roster.Member, bool)
	// Relay forwards a request to a peer. The response is the peer's if the ending
	// is Answered; any other ending says how the exchange failed.
	Relay(ctx context.Context, to roster.Member, req *work.Request, purpose Purpose) (work.Response, outcome.Ending)
}

type Config struct {
	Idempotency idempotency.Config
	Scope       tally.Scope
	// Local makes this daemon dispatch every request itself instead of forwarding
	// it to the dispatcher of its service. It is for deployments that direct all
	// callers to the replicas.
	Local bool
}

// Router decides for each request which daemon handles it.
type Router struct {
	scope      tally.Scope
	local      bool
	policies   policies
	dispatcher dispatcher
	peers      peers
	// freshness and quotas are nil unless Config.Local is set.
	freshness freshness
	quotas    quotas
	rankings  rankings
	cancel    context.CancelFunc
	group     conc.WaitGroup

	mu   sync.Mutex
	keys *idempotency.Table
}

// New returns a router with an empty table of idempotency keys.
func New(cfg Config) *Router {
	return &Router{scope: cfg.Scope, local: cfg.Local, keys: idempotency.New(cfg.Idempotency)}
}

// Start finds the services that the router uses and starts to prepare services
// in the background.
func (r *Router) Start(_ context.Context, k *kernel.Kernel) error {
	var err error
	if r.policies, err = kernel.Find[policies](k, configuration.ServiceName); err != nil {
		return err
	}
	if r.dispatcher, err = kernel.Find[dispatcher](k, "dispatch"); err != nil {
		return err
	}
	if r.peers, err = kernel.Find[peers](k, "peer"); err != nil {
		return err
	}
	if r.local {
		if r.freshness, err = kernel.Find[freshness](k, registry.ServiceName); err != nil {
			return err
		}
		if r.quotas, err = kernel.Find[quotas](k, quota.ServiceName); err != nil {
			return err
		}
	}
	var ctx context.Context
	ctx, r.cancel = context.WithCancel(context.Background())
	r.group.Go(func() { r.loop(ctx) })
	return nil
}

// Stop stops the background preparation and waits for it to end.
func (r *Router) Stop(context.Context) error {
	r.cancel()
	r.group.Wait()
	return nil
}

// State returns the state of the table of idempotency keys.
func (r *Router) State() any {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.keys.State(time.Now())
}

// KeyPrefix returns the prefix of the idempotency keys that this daemon owns at
// present. It changes with each epoch.
func (r *Router) KeyPrefix() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.keys.Prefix(time.Now())
}

// Handle handles a request received from a caller.
func (r *Router) Handle(ctx context.Context, req *work.Request) work.Response {
	started := time.Now()
	response := r.handle(ctx, req, "")
	r.scope.Timer("request_seconds").Record(time.Since(started))
	r.scope.Tagged(map[string]string{"outcome": string(response.Outcome), "reason": string(response.Reason)}).
		Counter("requests").Inc(1)
	return response
}

// HandleRelayed handles a request forwarded by a peer. It records no metrics; the
// daemon that received the request from the caller does.
func (r *Router) HandleRelayed(ctx context.Context, req *work.Request, purpose Purpose) work.Response {
	return r.handle(ctx, req, purpose)
}

func (r *Router) handle(ctx context.Context, req *work.Request, purpose Purpose) work.Response {
	snapshot := r.policies.Current()
	if snapshot == nil {
		snapshot = r.awaitConfiguration(ctx, req)
	}
	if snapshot == nil {
		return r.refuse(req, purpose, http.StatusServiceUnavailable, work.NoConfiguration)
	}
	m, ok := snapshot.Match(req.Host, req.Method, req.Path)
	if !ok {
		return r.refuse(req, purpose, http.StatusNotFound, work.NoRoute)
	}
	m = m.Pick(rand.Float64())
	client, refusal := r.identify(req, snapshot, m, purpose)
	if refusal != nil {
		return *refusal
	}
	routeDeadline := time.Now().Add(m.Route.Timeout)
	if req.Deadline.IsZero() || m.Route.TimeoutIsLimit && routeDeadline.Before(req.Deadline) {
		req.Deadline = routeDeadline
	}
	req.Idempotent = m.Route.Idempotent
	if req.Departure != nil && !req.Departure.Takes(time.Now(), req.Deadline) {
		response := r.refuse(req, purpose, http.StatusServiceUnavailable, work.Leaving)
		response.RetryAfter = departure.RetryAfter
		return response
	}
	charged, refusal := r.takeQuota(req, client, purpose)
	if refusal != nil {
		return *refusal
	}
	var response work.Response
	if req.Key != "" && !m.Route.Idempotent && purpose != ToDispatcher {
		response = r.handleKeyed(ctx, req, m)
	} else {
		response = r.dispatch(ctx, req, m)
	}
	charged.settle(response.Outcome)
	return response
}

// firstConfigurationTimeout is how long a request waits for the first
// configuration. A daemon usually receives it within a few hundred milliseconds of
// its start; if it takes longer, nothing indicates when it will arrive.
const firstConfigurationTimeout = 600 * time.Millisecond

// firstConfigurationDivisor bounds the wait for the first configuration to a third
// of the request's remaining time.
const firstConfigurationDivisor = 3

func (r *Router) awaitConfiguration(ctx context.Context, req *work.Request) *configuration.Snapshot {
	timeout := firstConfigurationTimeout
	if !req.Deadline.IsZero() {
		timeout = min(timeout, time.Until(req.Deadline)/firstConfigurationDivisor)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return r.policies.Await(ctx)
}

// refuse refuses a request that cannot be routed. If the request has a key, its
// outcome is unknown, because an earlier request with that key may have run. This
// does not apply to a request forwarded with ToDispatcher.
func (r *Router) refuse(req *work.Request, purpose Purpose, status int, reason work.Reason) work.Response {
	if req.Key != "" && purpose != ToDispatcher {
		return work.Refuse(outcome.Unknown, status, reason)
	}
	return work.Refuse(outcome.NotRun, status, reason)
}

// dispatch forwards a request to the daemons ranked for its service, in order, until
// one of them responds or the request may not be forwarded again. It dispatches the
// request here if this daemon is next in the ranking, if it may not forward at all,
// or if no ranked daemon received the request.
func (r *Router) dispatch(ctx context.Context, req *work.Request, m configuration.Match) work.Response {
	self := r.peers.Self()
	if r.local || req.Hops >= maxHops {
		return r.dispatcher.Run(ctx, req, m)
	}
	relayOutcome := outcome.NotRun
	for _, member := range r.rankings.forService(m.Service.Name, r.peers) {
		if member.Host == self.Host {
			return combineOutcomes(relayOutcome, r.dispatcher.Run(ctx, req, m))
		}
		relayCtx, cancel := context.WithDeadline(ctx, req.Deadline.Add(relayGrace))
		response, ending := r.peers.Relay(relayCtx, member, req, ToDispatcher)
		if ending == outcome.Answered {
			return cancelOnRelease(combineOutcomes(relayOutcome, response), cancel)
		}
		cancel()
		relayOutcome = outcome.Combine(relayOutcome, ending.Outcome())
		if !mayForwardAgain(ending, req, m.Route) {
			return r.refuseAfterRelay(relayOutcome, ending)
		}
		if relayOutcome == outcome.Unknown {
			// Allow a quarantine notice about the request to reach the next daemon
			// before the request does.
			clock.Sleep(ctx, quarantine.PropagationTime)
		}
	}
	if relayOutcome == outcome.NotRun {
		return r.dispatcher.Run(ctx, req, m)
	}
	return r.refuseAfterRelay(relayOutcome, outcome.Lost)
}

// combineOutcomes returns a response whose outcome also covers the failed relays
// before it: a daemon whose connection was lost may have run the request.
func combineOutcomes(earlier outcome.Outcome, response work.Response) work.Response {
	response.Outcome = outcome.Combine(earlier, response.Outcome)
	return response
}

// mayForwardAgain reports whether the request may be forwarded to another daemon
// after a relay with the given ending. The dispatcher retries failed targets; this
// covers only the failure of a daemon.
func mayForwardAgain(e outcome.Ending, req *work.Request, route *configuration.Route) bool {
	if e == outcome.DialFailed {
		return true
	}
	return e.Retryable(route.Idempotent) && req.Body.Replayable()
}

// refuseAfterRelay refuses a request after its last relay ended with e. RelayOutcome
// combines the outcomes of all its relays.
func (r *Router) refuseAfterRelay(relayOutcome outcome.Outcome, e outcome.Ending) work.Response {
	if e == outcome.TimedOut {
		return work.Refuse(relayOutcome, http.StatusGatewayTimeout, work.DeadlinePassed)
	}
	if relayOutcome == outcome.NotRun {
		return work.Refuse(relayOutcome, http.StatusServiceUnavailable, work.PeerFailed)
	}
	return work.Refuse(relayOutcome, http.StatusBadGateway, work.PeerFailed)
}

// cancelOnRelease makes the response's Release also call cancel, because the body
// may be streamed under the context until then.
func cancelOnRelease(response work.Response, cancel context.CancelFunc) work.Response {
	release := response.Release
	response.Release = func() {
		cancel()
		if release != nil {
			release()
		}
	}
	return response
}

// Addresses returns up to n daemons that a caller of the service should use.
func (r *Router) Addresses(s id.Service, n int) []roster.Member {
	return rendezvous.ForCaller(r.rankings.forService(s, r.peers), r.peers.Self(), n, rand.IntN(n))
}

// AddressesForCallers returns the addresses of the replicas: the daemons that callers
// of every service and in every failure domain are directed to.
func (r *Router) AddressesForCallers() []id.Address {
	var list []id.Address
	for _, m := range r.rankings.replicaList(r.peers) {
		list = append(list, m.Callers)
	}
	return list
}
