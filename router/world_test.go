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
	"github.com/briarrouter/briarrouter/ledger"
	"github.com/briarrouter/briarrouter/outcome"
	"github.com/briarrouter/briarrouter/roster"
	"github.com/briarrouter/briarrouter/work"
	"github.com/uber-go/tally/v4"
)

// world is a fleet of routers in virtual time. The network between them, the
// targets behind them and what each believes of the others are hostile; the
// routers and their ledgers are the real ones.
type world struct {
	mu       sync.Mutex
	random   *rand.Rand
	snapshot *configuration.Snapshot
	hosts    []*host
	// cut has an entry for each direction that loses messages, with its end.
	cut map[[2]int]time.Time
	// runs counts the runs of each piece of work, arrivals those of each
	// arrival.
	runs     map[string]int
	arrivals map[id.Request]int
	// denied holds the arrivals that were told that they did not run.
	denied map[id.Request]bool
	faults []string
	looks  atomic.Uint64
}

// host is one incarnation of a daemon.
type host struct {
	world  *world
	index  int
	member roster.Member
	router *Router
	killed chan struct{}
	// paused is when the process goes on.
	paused time.Time
	// doubts holds the hosts that this one believes to be dead.
	doubts map[int]bool
}

const hosts = 4

func newWorld(seed uint64, snapshot *configuration.Snapshot) *world {
	w := &world{
		random:   rand.New(rand.NewPCG(seed, 1)),
		snapshot: snapshot,
		hosts:    make([]*host, hosts),
		cut:      make(map[[2]int]time.Time),
		runs:     make(map[string]int),
		arrivals: make(map[id.Request]int),
		denied:   make(map[id.Request]bool),
	}
	for i := range hosts {
		w.start(i, id.Incarnation(i+1))
	}
	return w
}

// start puts a new incarnation in the place of a host.
func (w *world) start(index int, i id.Incarnation) {
	h := &host{
		world: w, index: index, killed: make(chan struct{}), doubts: make(map[int]bool),
		member: roster.Member{
			Host: id.Host(fmt.Sprint("host-", index)), FailureDomain: id.FailureDomain(fmt.Sprint(index % 2)),
			Incarnation: i, State: roster.Alive,
		},
	}
	h.router = New(Config{
		Scope: tally.NoopScope,
		Ledger: ledger.Config{
			Incarnation: i, Start: time.Now(), Epoch: epoch, Keys: 20, Answers: 200,
		},
	})
	h.router.policies, h.router.runner, h.router.peers = h, h, h
	w.hosts[index] = h
}

// epoch is short, so that keys are forgotten within a schedule.
const epoch = 3 * time.Second

func (w *world) host(index int) *host {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.hosts[index]
}

func (w *world) kill(index int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	old := w.hosts[index]
	close(old.killed)
	w.start(index, old.member.Incarnation+hosts)
}

func (w *world) blocked(from, to int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Now().Before(w.cut[[2]int{from, to}])
}

func (w *world) chance(p float64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.random.Float64() < p
}

func (w *world) span(limit time.Duration) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Duration(w.random.Int64N(int64(limit)))
}

// fault records a broken promise.
func (w *world) fault(format string, args ...any) {
	w.faults = append(w.faults, fmt.Sprintf(format, args...))
}

// Current gives the configuration in force.
func (h *host) Current() *configuration.Snapshot { return h.world.snapshot }

// Prepare does nothing.
func (h *host) Await(context.Context) *configuration.Snapshot { return h.world.snapshot }

func (h *host) Prepare(*configuration.Service) {}

func (h *host) Accompany(dispatch.Company) {}

// Self returns the host's own statement.
func (h *host) Self() roster.Member { return h.member }

// Generation makes the router look at the members each time.
func (h *host) Generation() uint64 { return h.world.looks.Add(1) }

// Members returns what the host believes: it may be wrong about anybody.
func (h *host) Members() []roster.Member {
	h.world.mu.Lock()
	defer h.world.mu.Unlock()
	var list []roster.Member
	for i, other := range h.world.hosts {
		m := other.member
		if h.doubts[i] && i != h.index {
			m.State = roster.Dead
		}
		list = append(list, m)
	}
	return list
}

// Find returns the host that runs an incarnation.
func (h *host) Find(i id.Incarnation) (roster.Member, bool) {
	for _, m := range h.Members() {
		if m.Incarnation == i && m.State != roster.Dead {
			return m, true
		}
	}
	return roster.Member{}, false
}

// pause waits while the process is paused.
func (h *host) pause() {
	for {
		h.world.mu.Lock()
		until := h.paused
		h.world.mu.Unlock()
		if !time.Now().Before(until) {
			return
		}
		time.Sleep(time.Until(until))
	}
}

// Relay carries a request to another host and its answer back, or loses one of
// them.
func (h *host) Relay(ctx context.Context, to roster.Member, req *work.Request, purpose Purpose) (work.Answer, outcome.Ending) {
	h.pause()
	w := h.world
	var index int
	fmt.Sscanf(string(to.Host), "host-%d", &index)
	peer := w.host(index)
	broken := w.blocked(h.index, index) || w.blocked(index, h.index)
	if broken && w.chance(0.5) {
		return work.Answer{}, outcome.DialFailed
	}
	if w.blocked(h.index, index) {
		<-ctx.Done()
		return work.Answer{}, outcome.TimedOut
	}
	if purpose == ToOwner && peer.member.Incarnation != to.Incarnation {
		return work.Answer{}, outcome.Crossed
	}
	relayed := *req
	relayed.Hops++
	if purpose != ToOwner {
		relayed.Key = ""
	}
	c := &crossing{ctx: ctx, peer: peer, req: &relayed, purpose: purpose, answer: make(chan work.Answer, 1)}
	go c.run()
	select {
	case a := <-c.answer:
		if !w.blocked(index, h.index) {
			return a, outcome.Answered
		}
		<-ctx.Done()
		return work.Answer{}, outcome.TimedOut
	case <-peer.killed:
		return work.Answer{}, outcome.Lost
	case <-ctx.Done():
		return work.Answer{}, outcome.TimedOut
	}
}

// crossing is a request on its way to a peer.
type crossing struct {
	ctx     context.Context
	peer    *host
	req     *work.Request
	purpose Purpose
	answer  chan work.Answer
}

func (c *crossing) run() {
	time.Sleep(c.peer.world.span(5 * time.Millisecond))
	c.peer.pause()
	// A message may outlive its sender's patience.
	c.answer <- c.peer.router.HandleRelayed(context.WithoutCancel(c.ctx), c.req, c.purpose)
}

// Run runs a request on a target that may fail in any way.
func (h *host) Run(_ context.Context, req *work.Request, m configuration.Match) work.Answer {
	w := h.world
	time.Sleep(w.span(20 * time.Millisecond))
	h.pause()
	select {
	case <-h.killed:
		return work.Refuse(outcome.Unknown, 502, work.TargetFailed)
	default:
	}
	if !time.Now().Before(req.Deadline) {
		return work.Refuse(outcome.NotRun, 503, work.DeadlinePassed)
	}
	ending := w.ending()
	known := ending.Outcome()
	if known == outcome.Ran || known == outcome.Unknown && w.chance(0.7) {
		w.record(req)
	}
	time.Sleep(w.span(300 * time.Millisecond))
	if known == outcome.Ran {
		return work.Answer{Outcome: known, Status: 200, Held: []byte(req.URI), Size: -1}
	}
	return work.Refuse(known, 502, work.TargetFailed)
}

// ending draws how an attempt ends; half of them end well.
func (w *world) ending() outcome.Ending {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.random.IntN(2) == 0 {
		return outcome.Answered
	}
	return outcome.Endings[w.random.IntN(len(outcome.Endings))]
}

func (w *world) record(req *work.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs[req.URI]++
	w.arrivals[req.ID]++
	if w.denied[req.ID] {
		w.fault("%s: arrival %s ran after it was told that it did not", req.URI, req.ID)
	}
	if !req.Idempotent && req.Method == "POST" && w.runs[req.URI] > 1 {
		w.fault("%s ran %d times", req.URI, w.runs[req.URI])
	}
}

// told checks what a caller was told against what ran.
func (w *world) told(req *work.Request, a work.Answer) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch a.Outcome {
	case outcome.NotRun:
		w.denied[req.ID] = true
		if w.arrivals[req.ID] > 0 || req.Key != "" && w.runs[req.URI] > 0 {
			w.fault("%s: arrival %s was told that it did not run, but it did (%s)", req.URI, req.ID, a.Reason)
		}
	case outcome.Ran:
		if w.runs[req.URI] == 0 {
			w.fault("%s: arrival %s was told that it ran, but it did not", req.URI, req.ID)
		}
		if a.Reason == work.NoReason && string(a.Held) != req.URI {
			w.fault("%s: arrival %s got the answer %q", req.URI, req.ID, a.Held)
		}
	}
}
