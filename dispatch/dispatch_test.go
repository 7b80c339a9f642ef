package dispatch

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/briarrouter/briarrouter/configuration"
	"github.com/briarrouter/briarrouter/id"
	"github.com/briarrouter/briarrouter/kernel"
	"github.com/briarrouter/briarrouter/memory"
	"github.com/briarrouter/briarrouter/schedule"
	"github.com/briarrouter/briarrouter/scripttest"
	"github.com/briarrouter/briarrouter/unit"
	"github.com/briarrouter/briarrouter/work"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"
)

// TestRequests sends requests to scripted targets and records the callers'
// responses, the requests that reached each target, and their times.
func TestRequests(t *testing.T) {
	scripttest.Run(t, ".script", func(t *testing.T) func([]string) string {
		s := newRequestScript()
		t.Cleanup(func() {
			s.stopping.Store(true)
			s.dispatcher.Stop(context.Background())
			s.responses.Wait()
			time.Sleep(longestStep)
		})
		return s.execute
	})
}

// longestStep is longer than any step of a scripted target.
const longestStep = time.Hour

// retryWindow is longer than any script.
const retryWindow = 5 * time.Minute

// newRequestScript starts a dispatcher of the services beds and halls. Each
// request gets a route of its own, idempotent or not.
func newRequestScript() *requestScript {
	s := &requestScript{steps: make(map[string][]string), updateTargets: make(map[id.Service]func(schedule.TargetChange))}
	s.policy = &configuration.Service{
		Name: "beds", Slots: 2, Floor: 1, LongShare: 1, Queue: 10, Attempts: 1, RetryShare: 0.2, RetryBurst: 6, RetryWindow: retryWindow,
		Connections: 10, FailureCost: 8, Hedge: 2.5,
		Contract: configuration.Contract{
			NotRunHeader: "X-Not-Run", NotRunAnyStatus: true, MisdirectedStatus: http.StatusMisdirectedRequest,
			EchoHeader: "X-Id", EchoVerbatim: true, DeadlineHeader: "X-Left", TargetHeader: "X-Target", SignatureHeader: "X-Signature",
			LoadHeader: "X-Load", LimitHeader: "X-Limit", DrainHeader: "X-Leaving", BackoffStatus: http.StatusServiceUnavailable, RetryFailures: true, CallerNotRunStatuses: []int{http.StatusServiceUnavailable},
		},
	}
	other := *s.policy
	other.Name = "halls"
	s.snapshot = &configuration.Snapshot{Services: map[id.Service]*configuration.Service{"beds": s.policy, "halls": &other}}
	s.dispatcher = New(Config{
		Log: zerolog.Nop(), Scope: tally.NoopScope, Memory: memory.New(unit.MiB), ResponseBuffer: 100, Dial: s.dial, Seed: 1,
	})
	k := kernel.New()
	k.Register("targets", s)
	k.Register(configuration.ServiceName, s)
	if err := s.dispatcher.Start(context.Background(), k); err != nil {
		panic(err)
	}
	s.dispatcher.SetReplicas(Replicas{Serving: true, Known: 1, Reachable: 1})
	s.dispatcher.Prepare(s.policy)
	s.dispatcher.Prepare(&other)
	// The retry budgets are full after a window without a retry.
	time.Sleep(retryWindow)
	s.startedAt = time.Now()
	return s
}

type requestScript struct {
	dispatcher *Dispatcher
	policy     *configuration.Service
	snapshot   *configuration.Snapshot
	// updateTargets passes a change of the targets to the dispatcher of a service.
	updateTargets map[id.Service]func(schedule.TargetChange)
	startedAt     time.Time
	responses     conc.WaitGroup
	stopping      flag

	mu sync.Mutex
	// steps holds how each target handles its next requests.
	steps map[string][]string
	// events holds the lines recorded since the last command.
	events []string
}

// flag is a bool that is shared between goroutines.
type flag struct {
	mu sync.Mutex
	on bool
}

func (f *flag) Store(on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.on = on
}

func (s *requestScript) Start(context.Context, *kernel.Kernel) error { return nil }
func (s *requestScript) Stop(context.Context) error                  { return nil }
func (s *requestScript) State() any                                  { return nil }
func (s *requestScript) Current() *configuration.Snapshot            { return s.snapshot }

func (s *requestScript) WatchTargets(_ context.Context, _ *conc.WaitGroup, name id.Service, handle func(schedule.TargetChange)) {
	s.updateTargets[name] = handle
}

// execute runs one of these commands:
//
//	targets NAME...          list the targets of service beds, each NAME or NAME/INCARNATION
//	halls NAME               list the target of service halls
//	spread                   require a minimum coverage of 70 % of the targets
//	do NAME STEP | STEP...   set how a target handles its next requests
//	warm NAME                make the mean duration of route read known
//	call ID [OPTION...]      send a request
//	many N ID [OPTION...]    send N requests, one after the other
//	coverage                 show the requests that count for the coverage of beds
//	wait DURATION
//
// The options of a request are idempotent, in=DURATION (timeout), attempts=N,
// stream (a body that cannot be replayed), divided (a route divided among both
// services), halls (run on service halls), read (the caller reads the response to
// its end) and cancel=DURATION (the caller cancels the request after that time).
func (s *requestScript) execute(w []string) string {
	switch w[0] {
	case "targets":
		var list []schedule.Endpoint
		for _, name := range w[1:] {
			name, number, _ := strings.Cut(name, "/")
			incarnation, _ := strconv.ParseUint(number, 10, 64)
			list = append(list, schedule.Endpoint{ID: id.Target(name), Address: id.Address(name), Incarnation: incarnation})
		}
		s.updateTargets["beds"](schedule.TargetChange{Full: true, Listed: list})
	case "halls":
		s.updateTargets["halls"](schedule.TargetChange{Full: true, Listed: []schedule.Endpoint{{ID: id.Target(w[1]), Address: id.Address(w[1])}}})
	case "spread":
		beds := s.dispatcher.getOrCreateService(s.policy)
		beds.mu.Lock()
		s.policy.Spread = 0.7
		beds.mu.Unlock()
	case "many":
		// Only the last two events are kept.
		n, _ := strconv.Atoi(w[1])
		for i := range n {
			s.call(fmt.Sprint(w[2], i), w[3:])
			time.Sleep(20 * time.Millisecond)
			synctest.Wait()
		}
		s.mu.Lock()
		s.events = s.events[max(0, len(s.events)-2):]
		s.mu.Unlock()
	case "do":
		s.mu.Lock()
		s.steps[w[1]] = strings.Split(strings.Join(w[2:], " "), " | ")
		s.mu.Unlock()
	case "warm":
		// A request of 100 ms sets the mean duration that hedging is based on.
		s.execute([]string{"do", w[1], "100ms ok"})
		s.execute([]string{"call", "warm", "idempotent"})
		time.Sleep(time.Second)
	case "call":
		s.call(w[1], w[2:])
	case "coverage":
		c := s.dispatcher.services["beds"].scheduler.Coverage(time.Now())
		s.record(fmt.Sprintf("beds: %d arrived, %d ended, %d unserved", c.Arrived, c.Ended, c.Unserved))
	case "wait":
		d, _ := time.ParseDuration(w[1])
		time.Sleep(d)
	}
	synctest.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	events := strings.Join(s.events, "\n")
	s.events = nil
	return events
}

func (s *requestScript) call(name string, options []string) {
	route := &configuration.Route{Name: "reserve", Attempts: 2}
	service, read := s.policy, false
	req := &work.Request{ID: id.Request(name), Method: http.MethodPost, URI: "/" + name, Path: "/" + name, Host: "h", Deadline: time.Now().Add(2 * time.Second)}
	ctx, cancel := context.WithCancel(context.Background())
	for _, o := range options {
		key, value, _ := strings.Cut(o, "=")
		switch key {
		case "idempotent":
			route.Name, route.Idempotent, req.Method = "read", true, http.MethodGet
		case "in":
			d, _ := time.ParseDuration(value)
			req.Deadline = time.Now().Add(d)
		case "from":
			req.Origin = id.Origin(value)
		case "attempts":
			fmt.Sscan(value, &route.Attempts)
		case "divided":
			route.Parts = []configuration.Part{{Service: "beds", Weight: 1}, {Service: "halls", Weight: 1}}
		case "halls":
			service = s.snapshot.Services["halls"]
		case "read":
			read = true
		case "stream":
			req.Body = work.Body{Rest: strings.NewReader("body"), Size: 4}
		case "cancel":
			d, _ := time.ParseDuration(value)
			time.AfterFunc(d, cancel)
		}
	}
	s.responses.Go(func() {
		defer cancel()
		response := s.dispatcher.Run(ctx, req, configuration.Match{Service: service, Route: route})
		s.record(fmt.Sprintf("%s: %d %s %s after %s", name, response.Status, response.Outcome, response.Reason, response.RetryAfter.Truncate(100*time.Millisecond)))
		if read && response.Rest != nil {
			_, err := io.Copy(io.Discard, response.Rest)
			s.record(fmt.Sprintf("%s: body ends: %v", name, err))
		}
		response.Close()
	})
}

func (s *requestScript) record(text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	// Goroutines that are due at the same instant run in any order, which changes
	// mean durations, and so event times, by microseconds.
	s.events = append(s.events, fmt.Sprintf("%s %s", time.Since(s.startedAt).Truncate(10*time.Millisecond), text))
}

func (s *requestScript) dial(_ context.Context, _, address string) (net.Conn, error) {
	s.mu.Lock()
	steps := s.steps[address]
	s.mu.Unlock()
	if len(steps) > 0 && steps[0] == "refuse" {
		s.record("-> " + address + " refuses")
		return nil, errors.New("connection refused")
	}
	near, far := net.Pipe()
	target := &scriptTarget{script: s, name: address, conn: far}
	go target.run()
	return near, nil
}

// next returns how a target handles its next request; the last step is repeated.
func (s *requestScript) next(name string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	steps := s.steps[name]
	if len(steps) == 0 {
		return "ok"
	}
	if len(steps) > 1 {
		s.steps[name] = steps[1:]
	}
	return steps[0]
}

// scriptTarget is a scripted target's end of one connection.
type scriptTarget struct {
	script *requestScript
	name   string
	conn   net.Conn
}

// run handles requests. A step is an optional duration of work and a word: ok,
// fail (status 500), shed (status 503 with the header field that proves "not
// run"), unproven (status 503 without it), misdirected (another process at the
// address: status 421), close (close the connection without a response), hang,
// limited (the target names a limit of two requests a second), unreadable (a limit
// that is no number), leaving (the target is leaving), shed-leaving (both), back=SECONDS
// (shed, and no request is wanted for that time), unproven-back=SECONDS (the same without
// the proof), unsigned (no signature), noise (bytes without an end that are no response),
// endless (a response whose body has no end), or dropidle (respond, and close the
// connection at the next request). The step refuse is carried out by
// requestScript.dial.
func (t *scriptTarget) run() {
	defer t.conn.Close()
	reader := bufio.NewReader(t.conn)
	for requests := 1; ; requests++ {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		io.Copy(io.Discard, r.Body)
		step := t.script.next(t.name)
		left, _ := time.ParseDuration(r.Header.Get("X-Left") + "ms")
		if requests > 1 && step == "dropidle" {
			t.script.record(fmt.Sprintf("-> %s closed the idle connection of %s", t.name, r.URL.Path))
			return
		}
		t.script.record(fmt.Sprintf("-> %s %s for %s, %s left: %s", t.name, r.URL.Path, r.Header.Get("X-Target"), left.Round(100*time.Millisecond), step))
		if duration, rest, found := strings.Cut(step, " "); found {
			d, _ := time.ParseDuration(duration)
			time.Sleep(d)
			step = rest
		}
		if !t.respond(step, r.Header.Get("X-Id")) {
			return
		}
	}
}

func (t *scriptTarget) respond(step, echo string) bool {
	header := ""
	switch step {
	case "ok", "dropidle":
		header = "200 OK\r\nX-Signature: s"
	case "limited":
		header = "200 OK\r\nX-Signature: s\r\nX-Limit: 2"
	case "unreadable":
		header = "200 OK\r\nX-Signature: s\r\nX-Limit: many"
	case "leaving":
		header = "200 OK\r\nX-Signature: s\r\nX-Leaving: 1"
	case "shed-leaving":
		header = "503 Full\r\nX-Not-Run: 1\r\nX-Leaving: 1"
	case "unsigned":
		header = "200 OK"
	case "fail":
		header = "500 Failed\r\nX-Signature: s"
	case "shed":
		header = "503 Full\r\nX-Not-Run: 1"
	case "unproven":
		header = "503 Full"
	case "misdirected":
		header = "421 Misdirected"
	case "noise":
		return t.writeEndless("")
	case "endless":
		return t.writeEndless("HTTP/1.1 200 OK\r\nX-Signature: s\r\nX-Id: " + echo + "\r\nTransfer-Encoding: chunked\r\n\r\n")
	case "hang":
		time.Sleep(longestStep / 2)
		return false
	default:
		// back=SECONDS and unproven-back=SECONDS refuse with Retry-After.
		word, seconds, backoff := strings.Cut(step, "=")
		if !backoff {
			return false
		}
		header = "503 Full\r\nRetry-After: " + seconds
		if word == "back" {
			header += "\r\nX-Not-Run: 1"
		}
	}
	_, err := fmt.Fprintf(t.conn, "HTTP/1.1 %s\r\nX-Id: %s\r\nContent-Length: 2\r\n\r\n%s", header, echo, "ab")
	return err == nil
}

// writeEndless writes the start of a response and then chunks until the dispatcher
// closes the connection.
func (t *scriptTarget) writeEndless(start string) bool {
	_, err := io.WriteString(t.conn, start)
	for err == nil {
		time.Sleep(time.Millisecond)
		_, err = io.WriteString(t.conn, "400\r\n"+strings.Repeat("a", 1024)+"\r\n")
	}
	t.script.record("-> " + t.name + " stops writing")
	return false
}
