package router

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/briarrouter/briarrouter/configuration"
	"github.com/briarrouter/briarrouter/dispatch"
	"github.com/briarrouter/briarrouter/id"
	"github.com/briarrouter/briarrouter/idempotency"
	"github.com/briarrouter/briarrouter/outcome"
	"github.com/briarrouter/briarrouter/roster"
	"github.com/briarrouter/briarrouter/work"
	"github.com/uber-go/tally/v4"
)

// simulation runs routers with their real tables of idempotency keys in virtual
// time. The network between them, the targets and each router's view of the
// membership are simulated and fail at random.
type simulation struct {
	mu       sync.Mutex
	random   *rand.Rand
	snapshot *configuration.Snapshot
	hosts    []*host
	// linkCutUntil holds, for each pair of sender and receiver, the time until which
	// messages in that direction are lost.
	linkCutUntil map[[2]int]time.Time
	// runsByURI counts the runs by URI, which all attempts of a caller have in
	// common; runsByID counts them by request ID, which differs for each attempt.
	runsByURI map[string]int
	runsByID  map[id.Request]int
	// reportedNotRun holds the attempts whose response said that they did not run.
	reportedNotRun map[id.Request]bool
	violations     []string
	// generation is the value that Generation returned last.
	generation atomic.Uint64
}

// host is one incarnation of a daemon.
type host struct {
	simulation  *simulation
	index       int
	member      roster.Member
	router      *Router
	killed      chan struct{}
	pausedUntil time.Time
	// consideredDead has the indexes of the hosts that this one considers dead,
	// rightly or not.
	consideredDead map[int]bool
}

const hostCount = 4

func newSimulation(seed uint64, snapshot *configuration.Snapshot) *simulation {
	sim := &simulation{
		random:         rand.New(rand.NewPCG(seed, 1)),
		snapshot:       snapshot,
		hosts:          make([]*host, hostCount),
		linkCutUntil:   make(map[[2]int]time.Time),
		runsByURI:      make(map[string]int),
		runsByID:       make(map[id.Request]int),
		reportedNotRun: make(map[id.Request]bool),
	}
	for i := range hostCount {
		sim.start(i, id.Incarnation(i+1))
	}
	return sim
}

// start starts an incarnation of a host in place of the earlier one, if any.
func (sim *simulation) start(index int, i id.Incarnation) {
	h := &host{
		simulation: sim, index: index, killed: make(chan struct{}), consideredDead: make(map[int]bool),
		member: roster.Member{
			Host: id.Host(fmt.Sprint("host-", index)), FailureDomain: id.FailureDomain(fmt.Sprint(index % 2)),
			Incarnation: i, State: roster.Alive,
		},
	}
	h.router = New(Config{
		Scope: tally.NoopScope,
		Idempotency: idempotency.Config{
			Incarnation: i, Start: time.Now(), Epoch: epochDuration, Keys: 20, ResponseBytes: 200,
		},
	})
	h.router.policies, h.router.dispatcher, h.router.peers = h, h, h
	sim.hosts[index] = h
}

// epochDuration is short, so that keys expire within a schedule.
const epochDuration = 3 * time.Second

func (sim *simulation) host(index int) *host {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.hosts[index]
}

// killAndRestart kills a host and starts its next incarnation. Requests on the old
// one get no response.
func (sim *simulation) killAndRestart(index int) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	old := sim.hosts[index]
	close(old.killed)
	sim.start(index, old.member.Incarnation+hostCount)
}

func (sim *simulation) isLinkCut(from, to int) bool {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return time.Now().Before(sim.linkCutUntil[[2]int{from, to}])
}

func (sim *simulation) chance(p float64) bool {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.random.Float64() < p
}

func (sim *simulation) randomDuration(limit time.Duration) time.Duration {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return time.Duration(sim.random.Int64N(int64(limit)))
}

// addViolation records a violation. The caller holds sim.mu.
func (sim *simulation) addViolation(format string, args ...any) {
	sim.violations = append(sim.violations, fmt.Sprintf(format, args...))
}

func (h *host) Current() *configuration.Snapshot { return h.simulation.snapshot }

func (h *host) Await(context.Context) *configuration.Snapshot { return h.simulation.snapshot }

func (h *host) Prepare(*configuration.Service) {}

func (h *host) SetReplicas(dispatch.Replicas) {}

func (h *host) MeanServiceTime(id.Service, id.Route) time.Duration { return 0 }

func (h *host) Self() roster.Member { return h.member }

// Generation returns a new number on each call, so that the router reads Members
// again every time.
func (h *host) Generation() uint64 { return h.simulation.generation.Add(1) }

// Members returns the host's view of the membership, which may be wrong about any
// other host.
func (h *host) Members() []roster.Member {
	h.simulation.mu.Lock()
	defer h.simulation.mu.Unlock()
	var list []roster.Member
	for i, other := range h.simulation.hosts {
		m := other.member
		if h.consideredDead[i] && i != h.index {
			m.State = roster.Dead
		}
		list = append(list, m)
	}
	return list
}

func (h *host) Find(i id.Incarnation) (roster.Member, bool) {
	for _, m := range h.Members() {
		if m.Incarnation == i && m.State != roster.Dead {
			return m, true
		}
	}
	return roster.Member{}, false
}

// waitWhilePaused blocks while the host is paused.
func (h *host) waitWhilePaused() {
	for {
		h.simulation.mu.Lock()
		until := h.pausedUntil
		h.simulation.mu.Unlock()
		if !time.Now().Before(until) {
			return
		}
		time.Sleep(time.Until(until))
	}
}

// Relay forwards a request to another host and returns its response. If the link is
// cut in either direction, half of the dials fail; otherwise the request or the
// response is lost, whichever has to cross the cut direction.
func (h *host) Relay(ctx context.Context, to roster.Member, req *work.Request, purpose Purpose) (work.Response, outcome.Ending) {
	h.waitWhilePaused()
	sim := h.simulation
	var index int
	fmt.Sscanf(string(to.Host), "host-%d", &index)
	peer := sim.host(index)
	cut := sim.isLinkCut(h.index, index) || sim.isLinkCut(index, h.index)
	if cut && sim.chance(0.5) {
		return work.Response{}, outcome.DialFailed
	}
	if sim.isLinkCut(h.index, index) {
		<-ctx.Done()
		return work.Response{}, outcome.TimedOut
	}
	if purpose == ToOwner && peer.member.Incarnation != to.Incarnation {
		return work.Response{}, outcome.Crossed
	}
	relayed := *req
	relayed.Hops++
	if purpose != ToOwner {
		relayed.Key = ""
	}
	d := &relayDelivery{ctx: ctx, peer: peer, req: &relayed, purpose: purpose, response: make(chan work.Response, 1)}
	go d.run()
	select {
	case response := <-d.response:
		if !sim.isLinkCut(index, h.index) {
			return response, outcome.Answered
		}
		<-ctx.Done()
		return work.Response{}, outcome.TimedOut
	case <-peer.killed:
		return work.Response{}, outcome.Lost
	case <-ctx.Done():
		return work.Response{}, outcome.TimedOut
	}
}

// relayDelivery is a request in transit to a peer.
type relayDelivery struct {
	ctx      context.Context
	peer     *host
	req      *work.Request
	purpose  Purpose
	response chan work.Response
}

func (d *relayDelivery) run() {
	time.Sleep(d.peer.simulation.randomDuration(5 * time.Millisecond))
	d.peer.waitWhilePaused()
	// A request may arrive after its sender has given up waiting.
	d.response <- d.peer.router.HandleRelayed(context.WithoutCancel(d.ctx), d.req, d.purpose)
}

// Run simulates an attempt on a target that ends with a random ending. An attempt
// with an unknown outcome runs the request in 70 % of the cases.
func (h *host) Run(_ context.Context, req *work.Request, m configuration.Match) work.Response {
	sim := h.simulation
	time.Sleep(sim.randomDuration(20 * time.Millisecond))
	h.waitWhilePaused()
	select {
	case <-h.killed:
		return work.Refuse(outcome.Unknown, 502, work.TargetFailed)
	default:
	}
	if !time.Now().Before(req.Deadline) {
		return work.Refuse(outcome.NotRun, 503, work.DeadlinePassed)
	}
	ending := sim.randomEnding()
	result := ending.Outcome()
	if result == outcome.Ran || result == outcome.Unknown && sim.chance(0.7) {
		sim.recordRun(req)
	}
	time.Sleep(sim.randomDuration(300 * time.Millisecond))
	if result == outcome.Ran {
		return work.Response{Outcome: result, Status: 200, Buffered: []byte(req.URI), Size: -1}
	}
	return work.Refuse(result, 502, work.TargetFailed)
}

// randomEnding draws the ending of an attempt; at least half of them are Answered.
func (sim *simulation) randomEnding() outcome.Ending {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if sim.random.IntN(2) == 0 {
		return outcome.Answered
	}
	return outcome.Endings[sim.random.IntN(len(outcome.Endings))]
}

func (sim *simulation) recordRun(req *work.Request) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.runsByURI[req.URI]++
	sim.runsByID[req.ID]++
	if sim.reportedNotRun[req.ID] {
		sim.addViolation("%s: attempt %s ran after its response had said not-run", req.URI, req.ID)
	}
	if !req.Idempotent && req.Method == "POST" && sim.runsByURI[req.URI] > 1 {
		sim.addViolation("%s: non-idempotent request ran %d times", req.URI, sim.runsByURI[req.URI])
	}
}

// checkResponse checks a response against what ran.
func (sim *simulation) checkResponse(req *work.Request, response work.Response) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	switch response.Outcome {
	case outcome.NotRun:
		sim.reportedNotRun[req.ID] = true
		if sim.runsByID[req.ID] > 0 || req.Key != "" && sim.runsByURI[req.URI] > 0 {
			sim.addViolation("%s: response to attempt %s says not-run, but the request ran (reason %s)", req.URI, req.ID, response.Reason)
		}
	case outcome.Ran:
		if sim.runsByURI[req.URI] == 0 {
			sim.addViolation("%s: response to attempt %s says ran, but the request did not run", req.URI, req.ID)
		}
		if response.Reason == work.NoReason && string(response.Buffered) != req.URI {
			sim.addViolation("%s: attempt %s received the response of another request: %q", req.URI, req.ID, response.Buffered)
		}
	}
}
