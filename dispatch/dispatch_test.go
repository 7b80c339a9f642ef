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

// TestDeliveries sends requests to targets that do what the script says, and
// shows what the callers get, what reached which target, and when.
func TestDeliveries(t *testing.T) {
	scripttest.Run(t, ".script", func(t *testing.T) func([]string) string {
		s := newDeliveryScript()
		t.Cleanup(func() {
			s.stopping.Store(true)
			s.dispatcher.Stop(context.Background())
			s.answers.Wait()
			time.Sleep(longestStep)
		})
		return s.execute
	})
}

// longestStep is longer than any step of a target.
const longestStep = time.Hour

// newDeliveryScript returns a dispatcher of one service with routes that are
// idempotent and not.
func newDeliveryScript() *deliveryScript {
	s := &deliveryScript{started: time.Now(), steps: make(map[string][]string), take: make(map[id.Service]func([]schedule.Endpoint))}
	s.policy = &configuration.Service{
		Name: "beds", Slots: 2, Floor: 1, LongShare: 1, Queue: 10, Attempts: 1, RetryShare: 0.2, RetryBurst: 6,
		Connections: 10, Avoidance: 8, Hedge: 2.5,
		Target: configuration.Contract{
			NotRunHeader: "X-Not-Run", NotRunAnyStatus: true, MisdirectedStatus: http.StatusMisdirectedRequest,
			EchoHeader: "X-Id", EchoVerbatim: true, DeadlineHeader: "X-Left", TargetHeader: "X-Target", SignatureHeader: "X-Signature",
			LoadHeader: "X-Load", RetryFailures: true, Promises: []int{http.StatusServiceUnavailable},
		},
	}
	other := *s.policy
	other.Name = "halls"
	s.snapshot = &configuration.Snapshot{Services: map[id.Service]*configuration.Service{"beds": s.policy, "halls": &other}}
	s.dispatcher = New(Config{
		Log: zerolog.Nop(), Scope: tally.NoopScope, Memory: memory.New(unit.MiB), AnswerBuffer: 100, Dial: s.dial, Seed: 1,
	})
	k := kernel.New()
	k.Register("targets", s)
	k.Register(configuration.ServiceName, s)
	if err := s.dispatcher.Start(context.Background(), k); err != nil {
		panic(err)
	}
	s.dispatcher.Accompany(Company{Serving: true})
	s.dispatcher.Prepare(s.policy)
	s.dispatcher.Prepare(&other)
	return s
}

type deliveryScript struct {
	dispatcher *Dispatcher
	policy     *configuration.Service
	snapshot   *configuration.Snapshot
	// take has an entry for each service.
	take     map[id.Service]func([]schedule.Endpoint)
	started  time.Time
	answers  conc.WaitGroup
	stopping flag

	mu sync.Mutex
	// steps holds what each target does with the next requests.
	steps map[string][]string
	seen  []string
}

// flag is a bool that tasks share.
type flag struct {
	mu sync.Mutex
	on bool
}

func (f *flag) Store(on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.on = on
}

func (s *deliveryScript) Start(context.Context, *kernel.Kernel) error { return nil }
func (s *deliveryScript) Stop(context.Context) error                  { return nil }
func (s *deliveryScript) State() any                                  { return nil }
func (s *deliveryScript) Current() *configuration.Snapshot            { return s.snapshot }

func (s *deliveryScript) WatchTargets(_ context.Context, _ *conc.WaitGroup, name id.Service, take func([]schedule.Endpoint)) {
	s.take[name] = take
}

// execute takes the commands: targets NAME..., do NAME STEP | STEP, call ID
// [safe] [in=SPAN] [attempts=N] [stream] [divided] [halls], many N NAME [...],
// halls TARGET, spread, wait SPAN, leave ID.
func (s *deliveryScript) execute(w []string) string {
	switch w[0] {
	case "targets":
		var list []schedule.Endpoint
		for _, name := range w[1:] {
			list = append(list, schedule.Endpoint{ID: id.Target(name), Address: id.Address(name)})
		}
		s.take["beds"](list)
	case "halls":
		s.take["halls"]([]schedule.Endpoint{{ID: id.Target(w[1]), Address: id.Address(w[1])}})
	case "spread":
		s.policy.Spread = 0.7
	case "many":
		// Calls one after the other, of which only the last ones are shown.
		n, _ := strconv.Atoi(w[1])
		for i := range n {
			s.call(fmt.Sprint(w[2], i), w[3:])
			time.Sleep(20 * time.Millisecond)
			synctest.Wait()
		}
		s.mu.Lock()
		s.seen = s.seen[max(0, len(s.seen)-2):]
		s.mu.Unlock()
	case "do":
		s.mu.Lock()
		s.steps[w[1]] = strings.Split(strings.Join(w[2:], " "), " | ")
		s.mu.Unlock()
	case "warm":
		// Answers of a known length make the usual time known.
		s.execute([]string{"do", w[1], "100ms ok"})
		s.execute([]string{"call", "warm", "safe"})
		time.Sleep(time.Second)
	case "call":
		s.call(w[1], w[2:])
	case "wait":
		d, _ := time.ParseDuration(w[1])
		time.Sleep(d)
	}
	synctest.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	seen := strings.Join(s.seen, "\n")
	s.seen = nil
	return seen
}

func (s *deliveryScript) call(name string, options []string) {
	route := &configuration.Route{Name: "reserve", Attempts: 2}
	service := s.policy
	req := &work.Request{ID: id.Request(name), Method: http.MethodPost, URI: "/" + name, Path: "/" + name, Host: "h", Deadline: time.Now().Add(2 * time.Second)}
	ctx, cancel := context.WithCancel(context.Background())
	for _, o := range options {
		key, value, _ := strings.Cut(o, "=")
		switch key {
		case "safe":
			route.Name, route.Idempotent, req.Method = "read", true, http.MethodGet
		case "in":
			d, _ := time.ParseDuration(value)
			req.Deadline = time.Now().Add(d)
		case "attempts":
			fmt.Sscan(value, &route.Attempts)
		case "divided":
			route.Parts = []configuration.Part{{Service: "beds", Weight: 1}, {Service: "halls", Weight: 1}}
		case "halls":
			service = s.snapshot.Services["halls"]
		case "stream":
			req.Body = work.Body{Rest: strings.NewReader("body"), Size: 4}
		case "leaves":
			d, _ := time.ParseDuration(value)
			time.AfterFunc(d, cancel)
		}
	}
	s.answers.Go(func() {
		defer cancel()
		a := s.dispatcher.Run(ctx, req, configuration.Match{Service: service, Route: route})
		s.note(fmt.Sprintf("%s: %d %s %s after %s", name, a.Status, a.Outcome, a.Reason, a.RetryAfter.Truncate(100*time.Millisecond)))
		a.Close()
	})
}

func (s *deliveryScript) note(text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	// Tasks that are due at the same instant run in any order, which moves the
	// usual times by microseconds.
	s.seen = append(s.seen, fmt.Sprintf("%s %s", time.Since(s.started).Truncate(10*time.Millisecond), text))
}

func (s *deliveryScript) dial(_ context.Context, _, address string) (net.Conn, error) {
	s.mu.Lock()
	steps := s.steps[address]
	s.mu.Unlock()
	if len(steps) > 0 && steps[0] == "refuse" {
		s.note("-> " + address + " refuses")
		return nil, errors.New("connection refused")
	}
	near, far := net.Pipe()
	target := &scriptTarget{script: s, name: address, conn: far}
	go target.run()
	return near, nil
}

// next returns what a target does with its next request; the last step stays.
func (s *deliveryScript) next(name string) string {
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

// scriptTarget is a target's end of a connection.
type scriptTarget struct {
	script *deliveryScript
	name   string
	conn   net.Conn
}

// run answers requests. A step is an optional span of work and a word: ok, fail,
// shed, busy (shed without the header), other (another process), lose, hang,
// unsigned, forgets (answers, and drops the connection at the next request).
func (x *scriptTarget) run() {
	defer x.conn.Close()
	reader := bufio.NewReader(x.conn)
	for requests := 1; ; requests++ {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		io.Copy(io.Discard, r.Body)
		step := x.script.next(x.name)
		left, _ := time.ParseDuration(r.Header.Get("X-Left") + "ms")
		if requests > 1 && step == "forgets" {
			x.script.note(fmt.Sprintf("-> %s forgot the connection of %s", x.name, r.URL.Path))
			return
		}
		x.script.note(fmt.Sprintf("-> %s %s for %s, %s left: %s", x.name, r.URL.Path, r.Header.Get("X-Target"), left.Round(100*time.Millisecond), step))
		if span, rest, found := strings.Cut(step, " "); found {
			d, _ := time.ParseDuration(span)
			time.Sleep(d)
			step = rest
		}
		if !x.answer(step, r.Header.Get("X-Id")) {
			return
		}
	}
}

func (x *scriptTarget) answer(step, echo string) bool {
	head := ""
	switch step {
	case "ok", "forgets":
		head = "200 OK\r\nX-Signature: s"
	case "unsigned":
		head = "200 OK"
	case "fail":
		head = "500 Failed\r\nX-Signature: s"
	case "shed":
		head = "503 Full\r\nX-Not-Run: 1"
	case "busy":
		head = "503 Full"
	case "other":
		head = "421 Misdirected"
	case "hang":
		time.Sleep(longestStep / 2)
		return false
	default:
		return false
	}
	_, err := fmt.Fprintf(x.conn, "HTTP/1.1 %s\r\nX-Id: %s\r\nContent-Length: 2\r\n\r\n%s", head, echo, "ab")
	return err == nil
}
