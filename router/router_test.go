package router

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/briarrouter/briarrouter/configuration"
	"github.com/briarrouter/briarrouter/id"
	"github.com/briarrouter/briarrouter/outcome"
	"github.com/briarrouter/briarrouter/work"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const serviceDocument = `[Service]
Name = beds
Slots = 2
Connections = 330
Floor = 1
LongShare = 1
Queue = 100
RetryShare = 0.1
Attempts = 3
Evidence = 20
FirstEjection = 10s
Warmup = 0s
ProbePath = /health
ProbeEvery = 1s
ProbeTimeout = 250ms

[Route reserve]
Method = POST
Path = /reserve
Idempotent = no
Long = no
Timeout = 1s

[Route read]
Method = GET
Path = /read
Idempotent = yes
Long = no
Timeout = 1s
`

func newSnapshot(t *testing.T) *configuration.Snapshot {
	values := map[id.Service][]byte{"beds": []byte(serviceDocument)}
	s, err := configuration.INI{}.Compose(configuration.Documents{Index: configuration.EncodeIndex(1, values), Values: values})
	require.NoError(t, err)
	return s
}

// event is one step of a schedule.
type event struct {
	// Gap is the time since the preceding event in milliseconds.
	Gap  int
	Kind string
	// A and B are indexes of hosts: the sender and the receiver on a cut link, the
	// host whose view changes and the one that it considers dead or alive, or the
	// hosts that a caller sends to. A pause and a kill concern A alone.
	A, B int
	// Duration is the duration of a pause or of a link's cut in milliseconds. A
	// caller waits half of it before a retry.
	Duration int
}

var eventKinds = []string{"keyed", "keyed", "keyed", "plain", "read", "cut link", "pause", "kill", "mark dead", "mark alive"}

func drawEvents(t *rapid.T) []event {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) event {
		return event{
			Gap:      rapid.IntRange(0, 800).Draw(t, "gap"),
			Kind:     rapid.SampledFrom(eventKinds).Draw(t, "kind"),
			A:        rapid.IntRange(0, hostCount-1).Draw(t, "a"),
			B:        rapid.IntRange(0, hostCount-1).Draw(t, "b"),
			Duration: rapid.IntRange(0, 4000).Draw(t, "duration"),
		}
	}), 4, 30).Draw(t, "events")
}

// TestSchedules runs random schedules of requests with retries, daemon crashes,
// links cut in one direction, paused processes, late messages and wrong views of
// the membership. It fails if a non-idempotent request runs twice or if a response
// contradicts what ran; it checks this after each step.
func TestSchedules(t *testing.T) {
	snapshot := newSnapshot(t)
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		events := drawEvents(rt)
		var violations []string
		synctest.Test(t, func(*testing.T) {
			s := &schedule{simulation: newSimulation(seed, snapshot)}
			violations = s.run(events)
		})
		if len(violations) > 0 {
			rt.Fatalf("violations:\n%s", strings.Join(violations, "\n"))
		}
	})
}

// schedule applies events to a simulation.
type schedule struct {
	simulation *simulation
	group      sync.WaitGroup
}

func (s *schedule) run(events []event) []string {
	for i, e := range events {
		time.Sleep(time.Duration(e.Gap) * time.Millisecond)
		s.apply(i, e)
		if len(s.violations()) > 0 {
			break
		}
	}
	s.group.Wait()
	// Requests may still be running without their caller. They end well within a
	// minute: timeouts are 1 s, pauses at most 4 s.
	time.Sleep(time.Minute)
	return s.violations()
}

func (s *schedule) violations() []string {
	s.simulation.mu.Lock()
	defer s.simulation.mu.Unlock()
	return s.simulation.violations
}

func (s *schedule) apply(i int, e event) {
	sim := s.simulation
	duration := time.Duration(e.Duration) * time.Millisecond
	switch e.Kind {
	case "keyed", "plain", "read":
		c := &caller{simulation: sim, kind: e.Kind, number: i, first: e.A, second: e.B, retryDelay: duration / 2}
		s.group.Go(c.run)
	case "cut link":
		sim.mu.Lock()
		sim.linkCutUntil[[2]int{e.A, e.B}] = time.Now().Add(duration)
		sim.mu.Unlock()
	case "pause":
		sim.mu.Lock()
		sim.hosts[e.A].pausedUntil = time.Now().Add(duration)
		sim.mu.Unlock()
	case "kill":
		sim.killAndRestart(e.A)
	case "mark dead", "mark alive":
		sim.mu.Lock()
		sim.hosts[e.A].consideredDead[e.B] = e.Kind == "mark dead"
		sim.mu.Unlock()
	}
}

// caller sends a request and retries it until it is told that the request ran,
// up to maxAttempts times in all. A plain request is not retried.
type caller struct {
	simulation *simulation
	kind       string
	number     int
	// first and second are the hosts that it sends to alternately.
	first, second int
	retryDelay    time.Duration
	key           id.Key
}

const maxAttempts = 4

func (c *caller) run() {
	if c.kind == "keyed" {
		prefix := c.simulation.host(c.first).router.KeyPrefix()
		c.key = id.Key(fmt.Sprintf("%s%d", prefix, c.number))
	}
	for attempt := range maxAttempts {
		index := c.first
		if attempt%2 == 1 {
			index = c.second
		}
		response, received := c.send(index, attempt)
		if received && response.Outcome == outcome.Ran || c.kind == "plain" {
			return
		}
		time.Sleep(c.retryDelay)
	}
}

// send sends the request to a host. It returns false if the host is killed before
// it responds.
func (c *caller) send(index, attempt int) (work.Response, bool) {
	h := c.simulation.host(index)
	req := &work.Request{
		ID: id.Request(fmt.Sprintf("%d.%d", c.number, attempt)), Key: c.key, Method: "POST",
		URI: fmt.Sprintf("/reserve/%d", c.number),
	}
	if c.kind == "read" {
		req.Method, req.URI = "GET", fmt.Sprintf("/read/%d", c.number)
	}
	req.Path = req.URI
	d := &callerDelivery{host: h, req: req, response: make(chan work.Response, 1)}
	go d.run()
	select {
	case response := <-d.response:
		c.simulation.checkResponse(req, response)
		return response, true
	case <-h.killed:
		return work.Response{}, false
	}
}

// callerDelivery is a request in transit from a caller to a host.
type callerDelivery struct {
	host     *host
	req      *work.Request
	response chan work.Response
}

func (d *callerDelivery) run() {
	d.host.waitWhilePaused()
	d.response <- d.host.router.Handle(context.Background(), d.req)
}
