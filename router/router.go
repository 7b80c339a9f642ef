// Package router leads a request to the daemon that owns its key, to the
// daemon that dispatches its service, and to a target.
package router

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/briarrouter/briarrouter/clock"
	"github.com/briarrouter/briarrouter/configuration"
	"github.com/briarrouter/briarrouter/dispatch"
	"github.com/briarrouter/briarrouter/id"
	"github.com/briarrouter/briarrouter/kernel"
	"github.com/briarrouter/briarrouter/ledger"
	"github.com/briarrouter/briarrouter/outcome"
	"github.com/briarrouter/briarrouter/quarantine"
	"github.com/briarrouter/briarrouter/roster"
	"github.com/briarrouter/briarrouter/steering"
	"github.com/briarrouter/briarrouter/work"
	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"
)

// ServiceName is the name of the Router in the kernel.
const ServiceName kernel.Name = "router"

// maxHops is how many daemons may relay a request before the one that runs it.
const maxHops = 2

// relayGrace is how long after the deadline a peer's answer is still awaited:
// the peer knows better than this daemon whether the request was run.
const relayGrace = 100 * time.Millisecond

// Purpose says why a request is relayed.
type Purpose string

// The purposes.
const (
	// ToOwner relays a request to the incarnation that owns its key.
	ToOwner Purpose = "owner"
	// ToDispatcher relays a request to a daemon that dispatches its service.
	ToDispatcher Purpose = "dispatcher"
)

// policies gives the configuration in force.
type policies interface {
	Current() *configuration.Snapshot
	// Await waits for the first configuration while the context lasts.
	Await(ctx context.Context) *configuration.Snapshot
}

// runner runs requests on targets.
type runner interface {
	Run(ctx context.Context, req *work.Request, m configuration.Match) work.Answer
	Prepare(s *configuration.Service)
	// Accompany names the daemons that callers are steered to.
	Accompany(c dispatch.Company)
}

// peers is the other daemons.
type peers interface {
	Self() roster.Member
	Members() []roster.Member
	// Generation returns a number that grows with each change of Members.
	Generation() uint64
	Find(i id.Incarnation) (roster.Member, bool)
	// Relay sends a request to a peer. The ending tells how far it came; the
	// answer is the peer's where the ending is Answered.
	Relay(ctx context.Context, to roster.Member, req *work.Request, purpose Purpose) (work.Answer, outcome.Ending)
}

// Config makes a Router.
type Config struct {
	Ledger ledger.Config
	Scope  tally.Scope
	// Local runs every request on this daemon instead of relaying it to the
	// dispatcher of its service. It is for callers that are steered to the
	// daemons that dispatch.
	Local bool
}

// Router leads requests.
type Router struct {
	scope    tally.Scope
	local    bool
	policies policies
	runner   runner
	peers    peers
	ranks    ranks
	cancel   context.CancelFunc
	group    conc.WaitGroup

	mu     sync.Mutex
	ledger *ledger.Table
}

// New returns a router that owns no key yet.
func New(cfg Config) *Router {
	return &Router{scope: cfg.Scope, local: cfg.Local, ledger: ledger.New(cfg.Ledger)}
}

// Start finds the services that the router leads to.
func (r *Router) Start(_ context.Context, k *kernel.Kernel) error {
	var err error
	if r.policies, err = kernel.Find[policies](k, configuration.ServiceName); err != nil {
		return err
	}
	if r.runner, err = kernel.Find[runner](k, "dispatch"); err != nil {
		return err
	}
	if r.peers, err = kernel.Find[peers](k, "peer"); err != nil {
		return err
	}
	var ctx context.Context
	ctx, r.cancel = context.WithCancel(context.Background())
	r.group.Go(func() { r.loop(ctx) })
	return nil
}

// Stop ends the preparation of services.
func (r *Router) Stop(context.Context) error {
	r.cancel()
	r.group.Wait()
	return nil
}

// State returns the sizes of the table of keys.
func (r *Router) State() any {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ledger.State(time.Now())
}

// KeyPrefix returns the start of the keys that this daemon owns now.
func (r *Router) KeyPrefix() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ledger.Prefix(time.Now())
}

// Handle answers a request that came from a caller.
func (r *Router) Handle(ctx context.Context, req *work.Request) work.Answer {
	started := time.Now()
	answer := r.handle(ctx, req, "")
	r.scope.Timer("request_seconds").Record(time.Since(started))
	r.scope.Tagged(map[string]string{"outcome": string(answer.Outcome), "reason": string(answer.Reason)}).
		Counter("requests").Inc(1)
	return answer
}

// HandleRelayed answers a request that a peer relayed.
func (r *Router) HandleRelayed(ctx context.Context, req *work.Request, purpose Purpose) work.Answer {
	return r.handle(ctx, req, purpose)
}

func (r *Router) handle(ctx context.Context, req *work.Request, purpose Purpose) work.Answer {
	snapshot := r.policies.Current()
	if snapshot == nil {
		snapshot = r.await(ctx, req)
	}
	if snapshot == nil {
		return r.refuse(req, purpose, http.StatusServiceUnavailable, work.NoConfiguration)
	}
	m, ok := snapshot.Match(req.Host, req.Method, req.Path)
	if !ok {
		return r.refuse(req, purpose, http.StatusNotFound, work.NoRoute)
	}
	m = m.Pick(rand.Float64())
	limit := time.Now().Add(m.Route.Timeout)
	if req.Deadline.IsZero() || m.Route.TimeoutBinds && limit.Before(req.Deadline) {
		req.Deadline = limit
	}
	req.Idempotent = m.Route.Idempotent
	if req.Key != "" && !m.Route.Idempotent && purpose != ToDispatcher {
		return r.keyed(ctx, req, m)
	}
	return r.place(ctx, req, m)
}

// firstConfiguration is how long a request waits for the first configuration.
// A daemon that was just started has one within some hundreds of milliseconds;
// one that has none by then does not know when it will.
const firstConfiguration = 600 * time.Millisecond

// firstShare is the part of a request's time that it may wait for the first
// configuration.
const firstShare = 3

func (r *Router) await(ctx context.Context, req *work.Request) *configuration.Snapshot {
	limit := firstConfiguration
	if !req.Deadline.IsZero() {
		limit = min(limit, time.Until(req.Deadline)/firstShare)
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return r.policies.Await(ctx)
}

// refuse answers a request that cannot be led anywhere. Where the request has
// a key, an earlier arrival with the key may have run.
func (r *Router) refuse(req *work.Request, purpose Purpose, status int, reason work.Reason) work.Answer {
	if req.Key != "" && purpose != ToDispatcher {
		return work.Refuse(outcome.Unknown, status, reason)
	}
	return work.Refuse(outcome.NotRun, status, reason)
}

// keyed answers a request that must run at most once for its key.
func (r *Router) keyed(ctx context.Context, req *work.Request, m configuration.Match) work.Answer {
	verdict, entry := r.claim(req)
	switch verdict {
	case ledger.Start:
		return r.startKeyed(ctx, req, m, entry)
	case ledger.Join:
		return r.join(ctx, req, entry)
	case ledger.Recorded:
		return entry.Answer
	case ledger.Foreign:
		return r.toOwner(ctx, req)
	case ledger.Malformed:
		return work.Refuse(outcome.NotRun, http.StatusBadRequest, work.BadKey)
	case ledger.Reused:
		// The earlier request with the key may be this one in another form.
		return work.Refuse(outcome.Unknown, http.StatusUnprocessableEntity, work.KeyReused)
	case ledger.Full:
		return work.Refuse(outcome.NotRun, http.StatusServiceUnavailable, work.KeysFull)
	default:
		return work.Refuse(outcome.Unknown, http.StatusConflict, work.KeyClosed)
	}
}

func (r *Router) claim(req *work.Request) (ledger.Verdict, *ledger.Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ledger.Claim(time.Now(), req.Key, req.Fingerprint())
}

// startKeyed runs the first request with its key. It goes on when the caller
// goes away, so that a repeat finds the answer.
func (r *Router) startKeyed(ctx context.Context, req *work.Request, m configuration.Match, e *ledger.Entry) work.Answer {
	answer := work.Refuse(outcome.Unknown, http.StatusBadGateway, work.TargetFailed)
	defer func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.ledger.Settle(req.Key, e, answer)
	}()
	answer = r.place(context.WithoutCancel(ctx), req, m)
	return answer
}

// join waits for the answer of the request that runs with the same key.
func (r *Router) join(ctx context.Context, req *work.Request, e *ledger.Entry) work.Answer {
	timer := time.NewTimer(time.Until(req.Deadline))
	defer timer.Stop()
	select {
	case <-e.Done:
		return e.Answer
	case <-timer.C:
		return work.Refuse(outcome.Unknown, http.StatusGatewayTimeout, work.DeadlinePassed)
	case <-ctx.Done():
		return work.Refuse(outcome.Unknown, http.StatusGatewayTimeout, work.CallerGone)
	}
}

// toOwner relays a request to the owner of its key. Only the owner can say
// that the request was not run: an earlier arrival may have reached it.
func (r *Router) toOwner(ctx context.Context, req *work.Request) work.Answer {
	gone := work.Refuse(outcome.Unknown, http.StatusBadGateway, work.OwnerGone)
	owner, _ := ledger.Owner(req.Key)
	member, ok := r.peers.Find(owner)
	if !ok || req.Hops > 0 {
		return gone
	}
	ctx, cancel := context.WithDeadline(ctx, req.Deadline.Add(relayGrace))
	answer, ending := r.peers.Relay(ctx, member, req, ToOwner)
	if ending != outcome.Answered {
		cancel()
		return gone
	}
	return closing(answer, cancel)
}

// place leads a request to a daemon that dispatches its service: the active
// one, else the standbys in their order, else this one.
func (r *Router) place(ctx context.Context, req *work.Request, m configuration.Match) work.Answer {
	self := r.peers.Self()
	if r.local || req.Hops >= maxHops {
		return r.runner.Run(ctx, req, m)
	}
	known := outcome.NotRun
	for _, member := range r.ranks.of(m.Service.Name, r.peers) {
		if member.Host == self.Host {
			return joined(known, r.runner.Run(ctx, req, m))
		}
		relayCtx, cancel := context.WithDeadline(ctx, req.Deadline.Add(relayGrace))
		answer, ending := r.peers.Relay(relayCtx, member, req, ToDispatcher)
		if ending == outcome.Answered {
			return closing(joined(known, answer), cancel)
		}
		cancel()
		known = outcome.Join(known, ending.Outcome())
		if !mayRelayAgain(ending, req, m.Route) {
			return r.relayFailed(known, ending)
		}
		if known == outcome.Unknown {
			// The next daemon must hear whether the request was quarantined.
			clock.Sleep(ctx, quarantine.NewsTime)
		}
	}
	if known == outcome.NotRun {
		return r.runner.Run(ctx, req, m)
	}
	return r.relayFailed(known, outcome.Lost)
}

// joined returns an answer whose outcome covers the relays before it: a daemon
// that was lost may have run the request.
func joined(earlier outcome.Outcome, a work.Answer) work.Answer {
	a.Outcome = outcome.Join(earlier, a.Outcome)
	return a
}

// mayRelayAgain tells whether another daemon may get the request. The daemon
// that dispatches retries on targets; here only the loss of a daemon counts.
func mayRelayAgain(e outcome.Ending, req *work.Request, route *configuration.Route) bool {
	if e == outcome.DialFailed {
		return true
	}
	return e.Retryable(route.Idempotent) && req.Body.Replayable()
}

func (r *Router) relayFailed(known outcome.Outcome, e outcome.Ending) work.Answer {
	if e == outcome.TimedOut {
		return work.Refuse(known, http.StatusGatewayTimeout, work.DeadlinePassed)
	}
	if known == outcome.NotRun {
		return work.Refuse(known, http.StatusServiceUnavailable, work.PeerFailed)
	}
	return work.Refuse(known, http.StatusBadGateway, work.PeerFailed)
}

// closing makes the end of an answer call cancel.
func closing(a work.Answer, cancel context.CancelFunc) work.Answer {
	done := a.Done
	a.Done = func() {
		cancel()
		if done != nil {
			done()
		}
	}
	return a
}

// Addresses returns the daemons that a caller of the service should use, at
// most n.
func (r *Router) Addresses(s id.Service, n int) []roster.Member {
	return steering.Answers(r.ranks.of(s, r.peers), r.peers.Self(), n, rand.IntN(n))
}

// Steer returns the addresses that callers of any service shall use.
func (r *Router) Steer(id.FailureDomain) []id.Address {
	var list []id.Address
	for _, m := range r.ranks.sharedList(r.peers) {
		list = append(list, m.Callers)
	}
	return list
}
