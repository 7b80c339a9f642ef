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

const value = `[Service]
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

func snapshot(t *testing.T) *configuration.Snapshot {
	values := map[id.Service][]byte{"beds": []byte(value)}
	s, err := configuration.INI{}.Compose(configuration.Documents{Index: configuration.EncodeIndex(1, values), Values: values})
	require.NoError(t, err)
	return s
}

// event is one thing that happens in a schedule.
type event struct {
	// Gap is the milliseconds since the event before.
	Gap  int
	Kind string
	A, B int
	Span int
}

var kinds = []string{"keyed", "keyed", "keyed", "plain", "read", "cut", "pause", "kill", "doubt", "trust"}

func drawEvents(t *rapid.T) []event {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) event {
		return event{
			Gap:  rapid.IntRange(0, 800).Draw(t, "gap"),
			Kind: rapid.SampledFrom(kinds).Draw(t, "kind"),
			A:    rapid.IntRange(0, hosts-1).Draw(t, "a"),
			B:    rapid.IntRange(0, hosts-1).Draw(t, "b"),
			Span: rapid.IntRange(0, 4000).Draw(t, "span"),
		}
	}), 4, 30).Draw(t, "events")
}

// TestSchedules runs random schedules of requests with repeats, kills, one-way
// cuts, pauses, late messages and wrong views, and checks the promises after
// each step.
func TestSchedules(t *testing.T) {
	shared := snapshot(t)
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		events := drawEvents(rt)
		var faults []string
		synctest.Test(t, func(*testing.T) {
			s := &schedule{world: newWorld(seed, shared)}
			faults = s.run(events)
		})
		if len(faults) > 0 {
			rt.Fatalf("broken promises:\n%s", strings.Join(faults, "\n"))
		}
	})
}

// schedule plays events in a world.
type schedule struct {
	world *world
	group sync.WaitGroup
}

func (s *schedule) run(events []event) []string {
	for i, e := range events {
		time.Sleep(time.Duration(e.Gap) * time.Millisecond)
		s.play(i, e)
		if len(s.broken()) > 0 {
			break
		}
	}
	s.group.Wait()
	// Whatever is still under way ends within its deadline and a pause.
	time.Sleep(time.Minute)
	return s.broken()
}

func (s *schedule) broken() []string {
	s.world.mu.Lock()
	defer s.world.mu.Unlock()
	return s.world.faults
}

func (s *schedule) play(i int, e event) {
	w := s.world
	span := time.Duration(e.Span) * time.Millisecond
	switch e.Kind {
	case "keyed", "plain", "read":
		c := &caller{world: w, kind: e.Kind, number: i, first: e.A, next: e.B, gap: span / 2}
		s.group.Go(c.run)
	case "cut":
		w.mu.Lock()
		w.cut[[2]int{e.A, e.B}] = time.Now().Add(span)
		w.mu.Unlock()
	case "pause":
		w.mu.Lock()
		w.hosts[e.A].paused = time.Now().Add(span)
		w.mu.Unlock()
	case "kill":
		w.kill(e.A)
	case "doubt", "trust":
		w.mu.Lock()
		w.hosts[e.A].doubts[e.B] = e.Kind == "doubt"
		w.mu.Unlock()
	}
}

// caller sends a request, and the same again while it has no certain answer.
type caller struct {
	world  *world
	kind   string
	number int
	// first and next are the hosts that it uses in turn.
	first, next int
	gap         time.Duration
	key         id.Key
}

const repeats = 4

func (c *caller) run() {
	if c.kind == "keyed" {
		prefix := c.world.host(c.first).router.KeyPrefix()
		c.key = id.Key(fmt.Sprintf("%s%d", prefix, c.number))
	}
	for try := range repeats {
		index := c.first
		if try%2 == 1 {
			index = c.next
		}
		a, answered := c.send(index, try)
		if answered && a.Outcome == outcome.Ran || c.kind == "plain" {
			return
		}
		time.Sleep(c.gap)
	}
}

// send sends the request to a host. There is no answer where the host is
// killed meanwhile.
func (c *caller) send(index, try int) (work.Answer, bool) {
	h := c.world.host(index)
	req := &work.Request{
		ID: id.Request(fmt.Sprintf("%d.%d", c.number, try)), Key: c.key, Method: "POST",
		URI: fmt.Sprintf("/reserve/%d", c.number),
	}
	if c.kind == "read" {
		req.Method, req.URI = "GET", fmt.Sprintf("/read/%d", c.number)
	}
	req.Path = req.URI
	d := &delivery{host: h, req: req, answer: make(chan work.Answer, 1)}
	go d.run()
	select {
	case a := <-d.answer:
		c.world.told(req, a)
		return a, true
	case <-h.killed:
		return work.Answer{}, false
	}
}

// delivery is a request on its way to a host.
type delivery struct {
	host   *host
	req    *work.Request
	answer chan work.Answer
}

func (d *delivery) run() {
	d.host.pause()
	d.answer <- d.host.router.Handle(context.Background(), d.req)
}
