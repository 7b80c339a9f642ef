package caller

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/briarrouter/briarrouter/configuration"
	"github.com/briarrouter/briarrouter/departure"
	"github.com/briarrouter/briarrouter/id"
	"github.com/briarrouter/briarrouter/memory"
	"github.com/briarrouter/briarrouter/outcome"
	"github.com/briarrouter/briarrouter/roster"
	"github.com/briarrouter/briarrouter/settings"
	"github.com/briarrouter/briarrouter/socket"
	"github.com/briarrouter/briarrouter/unit"
	"github.com/briarrouter/briarrouter/work"
	"github.com/rs/zerolog"
	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// TestEndings brings connections into every state between a request and its answer, lets
// each event happen there and records what the caller gets. Its golden file says for each
// pair whether a request that was read ended without an answer.
func TestEndings(t *testing.T) {
	var lines []string
	for _, event := range endingEvents {
		for _, state := range endingStates {
			if !event.appliesTo(state) {
				continue
			}
			t.Run(event.name+"/"+state.name, func(t *testing.T) {
				lines = append(lines, fmt.Sprintf("%-28s | %-44s | %s", event.name, state.name, runEnding(t, state, event)))
			})
		}
	}
	goldie.New(t).Assert(t, "endings", []byte(strings.Join(lines, "\n")+"\n"))
}

// endingState is a state of a connection.
type endingState struct {
	name string
	// kinds holds the properties that events ask for.
	kinds string
	// gated is where the server's side of the connection is held up; empty if nowhere.
	gated string
	// slots is how many connections the server accepts; zero stands for many.
	slots int
	// window is the receive buffer of the caller; zero stands for the default.
	window int
	// silent is set if the caller sends nothing.
	silent bool
	// enter brings the connection into the state.
	enter func(e *ending)
	// finish is what the caller and the target do after the event.
	finish func(e *ending)
}

// endingEvent is something that may end a connection.
type endingEvent struct {
	name string
	// kind limits the event to states with this property; empty for all states. States
	// with the property except are left out, since there speed decides.
	kind, except string
	limits       configuration.Limits
	slow         time.Duration
	// served limits the event to connections that the server has begun to serve and that
	// are not held up.
	served bool
	happen func(e *ending)
}

func (v endingEvent) appliesTo(s endingState) bool {
	if v.except != "" && strings.Contains(s.kinds, v.except) {
		return false
	}
	if v.served && (s.gated != "" || s.slots > 0) {
		return false
	}
	return v.kind == "" || strings.Contains(s.kinds, v.kind)
}

const (
	// answerSize is the size of answers that fit the buffers of a connection.
	answerSize = 32 << 10
	// hugeSize is the size of answers that do not.
	hugeSize = 32 << 20
	// smallWindow is the receive buffer of callers that get their answers late.
	smallWindow = 4 << 10
	// endingTimeout bounds the waits of the cases.
	endingTimeout = 5 * time.Second
)

var endingStates = []endingState{
	{
		name: "idle", kinds: "idle",
		enter:  func(e *ending) { e.exchange("/ok"); e.awaitIdle() },
		finish: func(e *ending) { e.sendIfOpen("/ok") },
	}, {
		name: "accepted, not registered", gated: "accept",
		enter: func(e *ending) { e.send("/ok"); e.gate.await(e.t) },
	}, {
		name: "accepted, not registered, no request", gated: "accept", silent: true,
		enter: func(e *ending) { e.gate.await(e.t) },
	}, {
		name: "not accepted", slots: 1,
		enter:  func(e *ending) { e.send("/ok") },
		finish: func(e *ending) { e.probe.Close() },
	}, {
		name: "request in the kernel, not read", gated: "before read",
		enter: func(e *ending) { e.gate.await(e.t); e.send("/ok"); e.accepted().awaitReadable(e.t) },
	}, {
		name: "request read, not seen by its task", gated: "after read",
		enter: func(e *ending) { e.send("/ok"); e.gate.await(e.t) },
	}, {
		name: "head arriving", kinds: "head",
		enter:  func(e *ending) { e.write("GET /ok HTTP/1.1\r\nHo"); e.awaitRead() },
		finish: func(e *ending) { e.write("st: a\r\n\r\n"); e.sentWhole() },
	}, {
		name: "small body arriving", kinds: "body",
		enter: func(e *ending) {
			e.write("POST /ok HTTP/1.1\r\nHost: a\r\nContent-Length: 8\r\n\r\n1234")
			e.awaitRead()
		},
		finish: func(e *ending) { e.write("5678"); e.sentWhole() },
	}, {
		name: "large body arriving", kinds: "body",
		enter: func(e *ending) {
			e.write(fmt.Sprintf("POST /ok HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", uploadSize) + strings.Repeat("0", uploadSize/2))
			e.awaitRead()
			e.awaitHandling()
		},
		finish: func(e *ending) { e.write(strings.Repeat("0", uploadSize/2)); e.sentWhole() },
	}, {
		name: "chunked body arriving", kinds: "body",
		enter: func(e *ending) {
			e.write("POST /ok HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n4\r\n1234\r\n")
			e.awaitRead()
		},
		finish: func(e *ending) { e.write("0\r\n\r\n"); e.sentWhole() },
	}, {
		name: "waits for a slot", kinds: "handled",
		enter: func(e *ending) { e.send("/wait"); e.awaitHandling() },
	}, {
		name: "waits for a slot, body not read", kinds: "handled",
		enter: func(e *ending) {
			e.write(fmt.Sprintf("POST /wait HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", uploadSize) + strings.Repeat("0", receiveBufferSize+receiveChunkSize))
			e.awaitHandling()
		},
		finish: func(e *ending) {
			e.write(strings.Repeat("0", uploadSize-receiveBufferSize-receiveChunkSize))
			e.sentWhole()
		},
	}, {
		name: "passed on", kinds: "handled",
		enter: func(e *ending) { e.send("/run"); e.awaitHandling() },
	}, {
		name: "passed on, with a key", kinds: "handled",
		enter: func(e *ending) { e.send("/keyed"); e.awaitHandling() },
	}, {
		name: "passed on, another behind it", kinds: "handled",
		enter: func(e *ending) { e.send("/run"); e.awaitHandling(); e.send("/ok"); e.awaitRead() },
	}, {
		name: "answer being streamed",
		enter: func(e *ending) {
			e.send("/stream")
			e.awaitHandling()
			e.awaitAnswer()
		},
	}, {
		name: "answer being streamed, then another request", kinds: "next",
		enter: func(e *ending) {
			e.send("/stream")
			e.awaitHandling()
			e.awaitAnswer()
		},
		finish: func(e *ending) {
			e.release()
			if e.receive() && !e.last.Close {
				e.send("/ok")
				e.eventually("the request is read or refused", func() bool {
					return e.accepted().read.Load() == e.sent || awaitEnding(e.accepted().closed, 0)
				})
			}
		},
	}, {
		name: "answer being written, caller does not read", kinds: "unread", window: smallWindow,
		enter: func(e *ending) { e.send("/huge"); e.awaitAnswer() },
	}, {
		name: "answer written, not read", window: smallWindow,
		enter: func(e *ending) { e.send("/ok"); e.awaitAnswer(); e.awaitIdle() },
	}, {
		name: "lingering, answer not read", window: smallWindow,
		enter: func(e *ending) { e.send("/ok", "Connection: close"); e.accepted().awaitEnd(e.t) },
	}, {
		name: "lingering, answer not read, bytes behind it", kinds: "late", window: smallWindow,
		enter:  func(e *ending) { e.send("/ok", "Connection: close"); e.accepted().awaitEnd(e.t) },
		finish: func(e *ending) { e.writeAnyway("GET /ok HTTP/1.1\r\n"); e.awaitClosedOr(lingerTime / 5) },
	}, {
		name: "addresses told and closed, bytes behind it", kinds: "late", window: smallWindow,
		enter:  func(e *ending) { e.send(AddressesPath, "Connection: close"); e.accepted().awaitEnd(e.t) },
		finish: func(e *ending) { e.writeAnyway("GET /ok HTTP/1.1\r\n"); e.awaitClosedOr(lingerTime / 5) },
	}, {
		name: "addresses asked with a body", kinds: "addresses",
		enter: func(e *ending) {
			const inner = "GET /ok HTTP/1.1\r\nHost: a\r\n\r\n"
			e.write(fmt.Sprintf("GET %s HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", AddressesPath, len(inner), inner))
			e.sentWhole()
			e.addresses++
			e.awaitAnswer()
			e.awaitsRequest()
		},
	},
}

var endingEvents = []endingEvent{
	{name: "none", happen: func(*ending) {}},
	{name: "SIGTERM", happen: func(e *ending) { e.stop(time.Hour) }},
	{name: "hold over", except: "next", happen: func(e *ending) { e.endHold() }},
	{name: "cut", except: "unread", happen: func(e *ending) { e.endHold(); e.cut() }},
	{name: "cut, connections closed", except: "late", served: true, happen: func(e *ending) { e.endHold(); e.cut(); e.awaitConnectionsClosed() }},
	{name: "half close by the caller", served: true, happen: func(e *ending) { e.conn.CloseWrite(); e.awaitCancelled() }},
	{name: "close by the caller", served: true, happen: func(e *ending) { e.conn.Close(); e.closed = true; e.awaitCancelled() }},
	{name: "reset by the caller", served: true, happen: func(e *ending) {
		e.conn.SetLinger(0)
		e.conn.Close()
		e.closed = true
		e.awaitCancelled()
	}},
	{name: "panic of the handler", kind: "handled", happen: func(e *ending) { close(e.fail) }},
	{name: "idle timeout", kind: "idle", limits: configuration.Limits{IdleTimeout: 50 * time.Millisecond}, happen: func(e *ending) { e.awaitClosedOr(time.Second) }},
	{name: "header timeout", kind: "head", limits: configuration.Limits{HeaderTimeout: 50 * time.Millisecond}, happen: func(e *ending) { e.accepted().awaitEnd(e.t) }},
	{name: "body timeout", kind: "body", slow: 50 * time.Millisecond, happen: func(e *ending) { e.accepted().awaitEnd(e.t) }},
	{name: "write timeout", kind: "unread", slow: 50 * time.Millisecond, happen: func(e *ending) { e.unread = true; e.accepted().awaitEnd(e.t) }},
	{name: "memory used up", kind: "body", happen: func(e *ending) { e.memory.TryAcquire(bufferLimit - e.memory.State().Held) }},
	{name: "memory used up", kind: "handled", happen: func(e *ending) { e.memory.TryAcquire(bufferLimit - e.memory.State().Held) }},
	{name: "limit of bodies raised", kind: "idle", limits: configuration.Limits{Body: 4}, happen: func(e *ending) {
		e.limits.Store(&configuration.Limits{Body: 64})
		e.body = "01234567"
	}},
	{name: "limit of bodies lowered", kind: "idle", happen: func(e *ending) {
		e.limits.Store(&configuration.Limits{Body: 4})
		e.body = "01234567"
	}},
	{name: "limit of bodies lowered", kind: "body", happen: func(e *ending) {
		e.eventually("a body is read", func() bool { return e.server.states().inProgress() == 1 })
		e.limits.Store(&configuration.Limits{Body: 4})
	}},
}

// ending is one connection of one server.
type ending struct {
	t      *testing.T
	server *Server
	memory *memory.Limiter
	limits atomic.Pointer[configuration.Limits]
	state  endingState
	// conn is the caller's side of the connection, probe an idle connection beside it.
	conn, probe *net.TCPConn
	reader      *bufio.Reader
	// gate holds up the server's side of the connection.
	gate *gate
	// accepts receives the server's sides of the connections in the order of arrival.
	accepts chan *endingConn
	side    *endingConn
	// body is the body of the requests that sendIfOpen sends.
	body string

	// handling receives the path of each request that waits in the handler.
	handling chan string
	// proceed lets the requests in the handler continue, fail lets them panic.
	proceed, fail chan struct{}
	released      sync.Once
	passedOn      atomic.Int32

	// sent counts the bytes that the caller sent, ends where its whole requests end.
	// refused is set once the connection was closed before all were sent.
	sent    int64
	ends    []int64
	refused bool
	// addresses counts the requests that are for no target, made the answers that the
	// target has made whole.
	addresses int
	made      atomic.Int32
	// tooLate is set once the end of the stop has closed the connection; answers that are
	// made later do not count.
	tooLate atomic.Bool
	// unread is set if the server waits for the caller to read.
	unread bool
	// left is set once the caller has closed its sending side, closed once it has closed
	// the connection, holdOver once the server has begun to close idle connections.
	left, closed, holdOver bool
	last                   *http.Response
	answers                []string
	complete               int

	// stopCtx ends the stop in progress; its deadline lies far ahead.
	stopCtx stopContext
	// cutNow cuts the requests in progress; nil once it was used.
	cutNow context.CancelFunc
	// stopped receives what Stop panicked with, or nil; nil before a stop.
	stopped chan any
}

func runEnding(t *testing.T, state endingState, event endingEvent) string {
	e := &ending{
		t: t, state: state, memory: memory.New(bufferLimit), handling: make(chan string, 4), proceed: make(chan struct{}), fail: make(chan struct{}),
		accepts: make(chan *endingConn, 4), gate: &gate{reached: make(chan struct{}), opened: make(chan struct{})},
	}
	e.limits.Store(&event.limits)
	e.stopCtx.Context, e.cutNow = context.WithCancel(t.Context())
	e.stopCtx.end = time.Now().Add(time.Hour)
	slow, slots := slowCaller, 16
	if event.slow > 0 {
		slow = event.slow
	}
	if state.slots > 0 {
		slots = state.slots
	}
	e.server = New(Config{
		Limits: settings.Limits{RequestHeader: 8 * unit.KiB, RequestBody: 64 * unit.MiB, BodyBuffer: 4 * unit.KiB, CallerConnections: slots},
		Timing: settings.Timing{SlowCaller: slow, Hold: time.Hour},
		Memory: e.memory, Log: zerolog.Nop(),
	})
	e.server.dialect = stubDialect{}
	e.server.handler, e.server.membership, e.server.configurations = e, e, e
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	e.server.listener = &endingListener{TCPListener: listener.(*net.TCPListener), ending: e}
	e.server.group.Go(e.server.run)
	e.probe = e.dial(0)
	defer e.probe.Close()
	<-e.accepts
	e.conn = e.dial(state.window)
	defer e.conn.Close()
	e.reader = bufio.NewReader(e.conn)

	state.enter(e)
	event.happen(e)
	e.gate.open()
	if state.finish != nil {
		state.finish(e)
	}
	e.release()
	for e.receive() {
	}
	result := e.result()
	if !state.silent {
		e.conn.Close()
	}
	e.probe.Close()
	if stop := e.awaitStopped(); stop != "" {
		result += " | " + stop
	}
	return result
}

// result describes what the caller got and judges it by the rule on lost requests.
func (e *ending) result() string {
	got := strings.Join(e.answers, ", ")
	if got == "" {
		got = "nothing"
	}
	return fmt.Sprintf("%s | sent whole %d, passed on %d | %s", got, len(e.ends), e.passedOn.Load(), e.verdict())
}

func (e *ending) verdict() string {
	passedOn, made := int(e.passedOn.Load()), int(e.made.Load())
	cut := e.cutNow == nil
	switch {
	case passedOn > len(e.ends)-e.addresses+e.partial():
		return "UNASKED"
	case e.left:
		return "kept: the caller has left"
	case cut && passedOn > made && e.state.kinds == "unread", e.unread:
		return "kept: the caller does not read"
	case cut && passedOn > made:
		return "cut: excused while its target works"
	case e.complete >= len(e.ends):
		return "kept"
	case made > e.complete:
		return "LOST: the answer was made"
	case passedOn > e.complete:
		return "LOST: passed on"
	case e.bytesRead() < e.ends[e.complete]:
		return "kept: not read"
	case e.last != nil && e.last.Close:
		return "kept: behind the last answer"
	default:
		return "LOST: read"
	}
}

// partial returns 1 if a request may have been passed on before it was sent whole.
func (e *ending) partial() int {
	if len(e.ends) == 0 || e.sent > e.ends[len(e.ends)-1] {
		return 1
	}
	return 0
}

// stopContext is a context whose deadline is not what ends it.
type stopContext struct {
	context.Context
	end time.Time
}

func (c stopContext) Deadline() (time.Time, bool) { return c.end, true }

// stop begins a stop and waits until it has begun.
func (e *ending) stop(hold time.Duration) {
	e.server.SetTiming(settings.Timing{SlowCaller: slowCaller, Hold: hold})
	e.stopped = make(chan any, 1)
	go func() {
		defer func() { e.stopped <- recover() }()
		if err := e.server.Stop(e.stopCtx); err != nil {
			panic(err)
		}
	}()
	e.eventually("a stop", e.server.draining.Load)
}

// endHold stops the server, without a hold time, until it waits for its connections.
func (e *ending) endHold() {
	e.stop(0)
	e.holdOver = true
	e.probe.SetReadDeadline(time.Now().Add(endingTimeout))
	_, err := e.probe.Read(make([]byte, 1))
	require.ErrorIs(e.t, err, io.EOF)
	// Idle connections are ended under the lock.
	e.server.connectionCount()
	c := e.connection()
	if c == nil {
		return
	}
	c.input.mu.Lock()
	ended := c.input.err != nil
	c.input.mu.Unlock()
	if ended || e.state.kinds == "idle" {
		e.accepted().awaitClosed(e.t)
	}
}

func (e *ending) cut() {
	e.cutNow()
	e.cutNow = nil
	if c := e.connection(); c != nil {
		require.True(e.t, awaitEnding(c.ctx.Done(), endingTimeout))
	}
}

func (e *ending) awaitConnectionsClosed() {
	e.accepted().awaitClosed(e.t)
	e.tooLate.Store(true)
}

// awaitStopped stops the server, unless it is being stopped, and says what is wrong with
// the stop: connections that are served in their turn need no cut.
func (e *ending) awaitStopped() string {
	if e.stopped == nil {
		e.stop(0)
		e.holdOver = true
	}
	const wait = 2 * time.Second
	if e.cutNow != nil && !e.holdOver {
		e.cutNow()
	}
	select {
	case failure := <-e.stopped:
		if failure != nil {
			return "the stop panics"
		}
		return ""
	case <-time.After(wait):
	}
	verdict := "the stop lasts until the cut"
	if e.cutNow != nil {
		e.cutNow()
	}
	select {
	case <-e.stopped:
	case <-time.After(time.Second):
		verdict = "the stop does not end"
	}
	e.conn.Close()
	return verdict
}

func (e *ending) eventually(what string, condition func() bool) {
	require.Eventually(e.t, condition, endingTimeout, time.Millisecond, what)
}

// Handle stands for the router and a target.
func (e *ending) Handle(ctx context.Context, req *work.Request) work.Response {
	if req.Path == "/wait" {
		e.handling <- req.Path
		if !e.awaitRelease(ctx) {
			return work.Refuse(outcome.NotRun, http.StatusServiceUnavailable, work.DeadlinePassed)
		}
	}
	if ctx.Err() != nil {
		return work.Refuse(outcome.NotRun, http.StatusServiceUnavailable, work.DeadlinePassed)
	}
	e.passedOn.Add(1)
	if req.Body.Rest != nil {
		if req.Path != "/wait" {
			e.handling <- req.Path
		}
		// A sender of a body ends when the body does.
		if _, err := io.Copy(io.Discard, req.Body.Rest); err != nil {
			return work.Refuse(outcome.Unknown, http.StatusBadGateway, work.TargetFailed)
		}
	}
	cancelled := work.Refuse(outcome.Unknown, http.StatusGatewayTimeout, work.CallerGone)
	response := work.Response{Outcome: outcome.Ran, Status: http.StatusOK}
	switch req.Path {
	case "/run":
		e.handling <- req.Path
		if !e.awaitRelease(ctx) {
			return cancelled
		}
	case "/keyed":
		e.handling <- req.Path
		e.awaitRelease(context.WithoutCancel(ctx))
	case "/stream":
		e.handling <- req.Path
		response.Buffered, response.Size, response.Rest = make([]byte, 2*writeBufferSize), -1, &endingStream{ctx, e}
		return response
	case "/huge":
		response.Size, response.Rest = hugeSize, io.NopCloser(io.LimitReader(endlessReader{}, hugeSize))
		return response
	}
	if ctx.Err() != nil && req.Path != "/keyed" {
		return cancelled
	}
	if !e.tooLate.Load() {
		e.made.Add(1)
	}
	response.Buffered, response.Size = make([]byte, answerSize), answerSize
	return response
}

// awaitRelease waits until the caller's part is over and reports whether the request may
// go on.
func (e *ending) awaitRelease(ctx context.Context) bool {
	select {
	case <-e.proceed:
	case <-e.fail:
	case <-ctx.Done():
	}
	// The release follows an event at once, so that both can be there.
	if awaitEnding(e.fail, 0) {
		panic("fault of the handler")
	}
	return ctx.Err() == nil
}

// endingStream is the rest of an answer, which ends when the target does.
type endingStream struct {
	ctx    context.Context
	ending *ending
}

func (s *endingStream) Read([]byte) (int, error) {
	if !s.ending.awaitRelease(s.ctx) {
		return 0, context.Canceled
	}
	s.ending.made.Add(1)
	return 0, io.EOF
}

func (*endingStream) Close() error { return nil }

func (*ending) KeyPrefix() string     { return "" }
func (*ending) Leave(*departure.Plan) {}
func (e *ending) Current() *configuration.Snapshot {
	return &configuration.Snapshot{Limits: *e.limits.Load()}
}

// Addresses returns an address that makes the answer as large as any other.
func (*ending) Addresses(id.Service, int) []roster.Member {
	return []roster.Member{{Host: id.Host(strings.Repeat("a", answerSize))}}
}

// release lets all requests in the handler go on.
func (e *ending) release() { e.released.Do(func() { close(e.proceed) }) }

func (e *ending) dial(window int) *net.TCPConn {
	d := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		if window == 0 {
			return nil
		}
		return c.Control(func(fd uintptr) { unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, window) })
	}}
	conn, err := d.Dial("tcp", e.server.listener.Addr().String())
	require.NoError(e.t, err)
	return conn.(*net.TCPConn)
}

// write sends bytes of the caller, unless either side has closed the connection.
func (e *ending) write(text string) bool {
	if e.left || e.side != nil && awaitEnding(e.side.closed, 0) {
		e.refused = true
		return false
	}
	return e.writeAnyway(text)
}

func (e *ending) writeAnyway(text string) bool {
	n, err := io.WriteString(e.conn, text)
	e.sent += int64(n)
	return err == nil
}

// sentWhole records that the request that was written last is whole.
func (e *ending) sentWhole() {
	if !e.refused {
		e.ends = append(e.ends, e.sent)
	}
}

func (e *ending) send(path string, fields ...string) {
	method, body := http.MethodGet, ""
	if e.body != "" {
		method, body = http.MethodPost, e.body
		fields = append(fields, fmt.Sprintf("Content-Length: %d", len(body)))
	}
	head := strings.Join(append([]string{method + " " + path + " HTTP/1.1", "Host: a"}, fields...), "\r\n")
	if e.write(head + "\r\n\r\n" + body) {
		e.ends = append(e.ends, e.sent)
	}
}

// sendIfOpen sends a request unless the server has closed the connection.
func (e *ending) sendIfOpen(path string) {
	raw, err := e.conn.SyscallConn()
	if err != nil {
		return
	}
	closed := false
	if raw.Control(func(fd uintptr) { closed = socket.IsClosedByPeer(int(fd)) }) == nil && !closed {
		e.send(path)
	}
}

func (e *ending) exchange(path string) {
	e.send(path)
	require.True(e.t, e.receive())
}

// receive reads the next answer and reports whether another may follow.
func (e *ending) receive() bool {
	if e.closed {
		return false
	}
	if e.complete == len(e.ends) && e.last != nil && !e.last.Close && !e.left && !e.holdOver && e.awaitsRequest() {
		e.answers = append(e.answers, "open")
		return false
	}
	wait := endingTimeout
	if e.state.silent {
		wait = lingerTime
	}
	e.conn.SetReadDeadline(time.Now().Add(wait))
	resp, err := http.ReadResponse(e.reader, nil)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		text := fmt.Sprintf("%d %s", resp.StatusCode, resp.Header.Get("X-Outcome"))
		if resp.Close {
			text += " close"
		}
		if err != nil {
			text += ", cut"
		} else {
			e.last = resp
			e.complete++
		}
		e.answers = append(e.answers, text)
		if err == nil {
			return true
		}
	}
	e.answers = append(e.answers, describeEnd(err))
	// No caller reads on behind the end of a connection.
	e.closed = true
	return false
}

func describeEnd(err error) string {
	switch {
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return "closed"
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		return "reset"
	case errors.Is(err, os.ErrDeadlineExceeded):
		return "open"
	default:
		return err.Error()
	}
}

// awaitsRequest waits until the server awaits the next request or closes its side of the
// connection, and reports whether it awaits a request.
func (e *ending) awaitsRequest() bool {
	ended := false
	e.eventually("a connection that is idle or closed", func() bool {
		ended = awaitEnding(e.accepted().ended, 0)
		c := e.connection()
		return ended || c != nil && c.input.awaits()
	})
	return !ended
}

// awaits reports whether the server waits for the first byte of a request.
func (b *receiveBuffer) awaits() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.awaitingRequest && len(b.data) == 0
}

// accepted returns the server's side of the connection.
func (e *ending) accepted() *endingConn {
	if e.side == nil {
		select {
		case e.side = <-e.accepts:
		case <-time.After(endingTimeout):
			e.t.Fatal("the connection was not accepted")
		}
	}
	return e.side
}

// connection returns the server's connection, or nil if it has none.
func (e *ending) connection() *connection {
	side := e.side
	if side == nil && (e.state.gated == "accept" || e.state.slots > 0) {
		return nil
	}
	side = e.accepted()
	e.server.mu.Lock()
	defer e.server.mu.Unlock()
	for c := range e.server.connections {
		if c.conn == side {
			return c
		}
	}
	return nil
}

func (e *ending) bytesRead() int64 {
	if e.side == nil {
		return 0
	}
	return e.side.read.Load()
}

// awaitRead waits until the server has read all that was sent.
func (e *ending) awaitRead() {
	e.eventually("the server reads all", func() bool { return e.accepted().read.Load() == e.sent })
}

func (e *ending) awaitHandling() {
	select {
	case <-e.handling:
	case <-time.After(endingTimeout):
		e.t.Fatal("no request has reached the handler")
	}
}

// awaitAnswer waits for the first byte of an answer.
func (e *ending) awaitAnswer() {
	e.conn.SetReadDeadline(time.Now().Add(endingTimeout))
	_, err := e.reader.Peek(1)
	require.NoError(e.t, err)
}

// awaitIdle waits until the connection waits for a request.
func (e *ending) awaitIdle() {
	input := e.connection().input
	e.eventually("an idle connection", input.awaits)
}

// awaitCancelled waits until the server has seen that the caller has left.
func (e *ending) awaitCancelled() {
	e.left = true
	if c := e.connection(); c != nil && e.state.gated == "" {
		require.True(e.t, awaitEnding(c.ctx.Done(), endingTimeout))
	}
}

// awaitClosedOr waits until the server has closed the connection, at most for d.
func (e *ending) awaitClosedOr(d time.Duration) {
	awaitEnding(e.accepted().closed, d)
}

// gate holds up a task until it is opened.
type gate struct {
	reached, opened chan struct{}
	reach, unlock   sync.Once
}

func (g *gate) pass() {
	g.reach.Do(func() { close(g.reached) })
	<-g.opened
}

func (g *gate) await(t *testing.T) {
	select {
	case <-g.reached:
	case <-time.After(endingTimeout):
		t.Fatal("the gate was not reached")
	}
}

func (g *gate) open() { g.unlock.Do(func() { close(g.opened) }) }

// endingListener accepts connections for one case.
type endingListener struct {
	*net.TCPListener
	ending   *ending
	accepted int
}

func (l *endingListener) Accept() (net.Conn, error) {
	conn, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	c := &endingConn{TCPConn: conn, ended: make(chan struct{}), closed: make(chan struct{})}
	l.accepted++
	if l.accepted > 1 && l.ending.state.gated != "" {
		c.gate, c.gated = l.ending.gate, l.ending.state.gated
	}
	l.ending.accepts <- c
	if c.gated == "accept" {
		c.gate.pass()
	}
	return c, nil
}

// endingConn is the server's side of a connection.
type endingConn struct {
	*net.TCPConn
	gate  *gate
	gated string
	read  atomic.Int64
	// ended is closed when the sending side is closed, closed when both are.
	ended, closed chan struct{}
	end, close    sync.Once
}

func (c *endingConn) Read(p []byte) (int, error) {
	if c.gated == "before read" {
		c.gate.pass()
	}
	n, err := c.TCPConn.Read(p)
	c.read.Add(int64(n))
	if c.gated == "after read" {
		c.gate.pass()
	}
	return n, err
}

func (c *endingConn) CloseWrite() error {
	err := c.TCPConn.CloseWrite()
	c.end.Do(func() { close(c.ended) })
	return err
}

func (c *endingConn) Close() error {
	err := c.TCPConn.Close()
	c.end.Do(func() { close(c.ended) })
	c.close.Do(func() { close(c.closed) })
	return err
}

func (c *endingConn) awaitEnd(t *testing.T) { require.True(t, awaitEnding(c.ended, endingTimeout)) }

func (c *endingConn) awaitClosed(t *testing.T) {
	require.True(t, awaitEnding(c.closed, endingTimeout))
}

// awaitEnding waits until a channel is closed, at most for d, and reports whether it is.
func awaitEnding(ended <-chan struct{}, d time.Duration) bool {
	select {
	case <-ended:
		return true
	default:
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ended:
		return true
	case <-timer.C:
		return false
	}
}

// awaitReadable waits until bytes have arrived, without reading them.
func (c *endingConn) awaitReadable(t *testing.T) {
	raw, err := c.SyscallConn()
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		readable := false
		err := raw.Control(func(fd uintptr) {
			fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
			n, _ := unix.Poll(fds, 0)
			readable = n > 0
		})
		return err == nil && readable
	}, endingTimeout, time.Millisecond)
}
