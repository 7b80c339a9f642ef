package caller

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/briarrouter/briarrouter/configuration"
	"github.com/briarrouter/briarrouter/departure"
	"github.com/briarrouter/briarrouter/id"
	"github.com/briarrouter/briarrouter/memory"
	"github.com/briarrouter/briarrouter/outcome"
	"github.com/briarrouter/briarrouter/roster"
	"github.com/briarrouter/briarrouter/scripttest"
	"github.com/briarrouter/briarrouter/settings"
	"github.com/briarrouter/briarrouter/unit"
	"github.com/briarrouter/briarrouter/work"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"
)

// TestConnections runs scripts on one connection to a server whose handler
// takes the time given in the path and records its calls.
func TestConnections(t *testing.T) {
	scripttest.Run(t, ".script", func(t *testing.T) func([]string) string {
		return newConnectionScript(t, zerolog.Nop()).execute
	})
}

func newConnectionScript(t *testing.T, log zerolog.Logger) *connectionScript {
	s := &connectionScript{started: time.Now()}
	s.server = New(Config{
		Limits:  settings.Limits{RequestHeader: 200, RequestBody: 100, BodyBuffer: 20, CallerConnections: 16},
		Timing:  settings.Timing{SlowCaller: 10 * time.Second, Hold: 2 * time.Second, LeaveMargin: time.Second},
		Memory:  memory.New(1000),
		Log:     log,
		Dialect: stubDialect{},
	})
	s.server.handler, s.server.membership, s.server.configurations = s, s, s
	s.server.listener = &stubListener{}
	s.open()
	t.Cleanup(func() {
		for _, client := range s.clients {
			client.Close()
		}
		s.stops.Wait()
		s.server.group.Wait()
	})
	return s
}

type stubListener struct{ net.Listener }

func (stubListener) Close() error { return nil }

// stubDialect rejects the path /wrong and ignores the header fields of
// requests.
type stubDialect struct{}

func (stubDialect) Decode(r *http.Request, arrivedAt time.Time) (*work.Request, error) {
	if r.URL.Path == "/wrong" {
		return nil, errors.New("wrong path")
	}
	return &work.Request{ID: id.Request(r.URL.Path), Method: r.Method, Path: r.URL.Path, Host: r.Host, Deadline: arrivedAt.Add(callerTimeout)}, nil
}

func (stubDialect) Encode(_ id.Request, response work.Response) http.Header {
	return http.Header{"X-Outcome": {string(response.Outcome)}}
}

// callerTimeout is how long the callers of stubDialect wait.
const callerTimeout = time.Minute

type connectionScript struct {
	server  *Server
	started time.Time
	// client is the connection that the script uses, the last one of clients.
	client  net.Conn
	clients []net.Conn

	stops conc.WaitGroup

	mu       sync.Mutex
	calls    []string
	received strings.Builder
	closed   bool
}

// open opens another connection and records what the server sends.
func (s *connectionScript) open() { go s.read(s.openUnread()) }

// openUnread opens another connection. What the server sends is not read.
func (s *connectionScript) openUnread() net.Conn {
	serverConn, clientConn := net.Pipe()
	s.client, s.clients = clientConn, append(s.clients, clientConn)
	s.server.acquireSlot()
	s.server.serve(serverConn)
	return clientConn
}

// read records what the server sends.
func (s *connectionScript) read(clientConn net.Conn) {
	reader := bufio.NewReader(clientConn)
	for {
		line, err := reader.ReadString('\n')
		s.mu.Lock()
		s.received.WriteString(strings.TrimRight(line, "\r\n") + "|")
		s.closed = err != nil
		s.mu.Unlock()
		if err != nil {
			return
		}
	}
}

func (s *connectionScript) execute(w []string) string {
	switch w[0] {
	case "open":
		s.open()
	case "open-unread":
		s.openUnread()
	case "send":
		text := strings.ReplaceAll(strings.Join(w[1:], " "), "~", "\r\n")
		go io.WriteString(s.client, text)
	case "wait":
		d, _ := time.ParseDuration(w[1])
		time.Sleep(d)
	case "disconnect":
		s.client.Close()
	case "stop":
		ctx, cancel := context.Background(), func() {}
		if len(w) > 1 {
			d, _ := time.ParseDuration(w[1])
			ctx, cancel = context.WithTimeout(ctx, d)
		}
		s.stops.Go(func() {
			defer cancel()
			s.server.Stop(ctx)
		})
	}
	synctest.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	sort.Strings(s.calls)
	result := fmt.Sprintf("%s calls %v got %q closed %t", time.Since(s.started), s.calls, s.received.String(), s.closed)
	s.calls = nil
	s.received.Reset()
	return result
}

// Handle responds after the duration that the path gives, as if a target had taken
// it. The response to /cut is truncated, the one to /stream has no length, the body of
// the one to /broken fails at once, /deaf does not end when it is cancelled, and /starved
// is rejected 250 ms after that.
func (s *connectionScript) Handle(ctx context.Context, req *work.Request) work.Response {
	rest := ""
	if req.Body.Rest != nil {
		data, err := io.ReadAll(req.Body.Rest)
		rest = fmt.Sprintf("+%d", len(data))
		if err != nil {
			rest += " " + err.Error()
		}
	}
	s.recordCall(fmt.Sprintf("%s started %d%s", req.Path, len(req.Body.Buffered), rest))
	if d, err := time.ParseDuration(strings.TrimPrefix(req.Path, "/")); err == nil {
		req.Progress.PassOn()
		timer := time.NewTimer(d)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
			s.recordCall(req.Path + " cancelled")
			return work.Refuse(outcome.Unknown, http.StatusGatewayTimeout, work.CallerGone)
		}
	}
	text := req.Path[1:]
	response := work.Response{Outcome: outcome.Ran, Status: http.StatusOK, Buffered: []byte(text), Size: unit.Bytes(len(text))}
	switch req.Path {
	case "/departure":
		if p := req.Departure; p != nil {
			s.recordCall(fmt.Sprintf("held until %s, cut off at %s", p.HeldUntil.Sub(s.started), p.CutAt.Sub(s.started)))
		}
	case "/deadline":
		s.recordCall(fmt.Sprintf("arrived at %s", req.Deadline.Add(-callerTimeout).Sub(s.started)))
	case "/cut":
		response.Size, response.Rest = 100, io.NopCloser(io.MultiReader(strings.NewReader("half"), failingReader{}))
	case "/stream":
		response.Size, response.Rest = -1, io.NopCloser(strings.NewReader(" and more"))
	case "/deaf":
		time.Sleep(time.Minute)
	case "/starved":
		<-ctx.Done()
		time.Sleep(250 * time.Millisecond)
		return work.Refuse(outcome.NotRun, http.StatusServiceUnavailable, work.Leaving)
	case "/broken":
		response.Size, response.Rest = -1, io.NopCloser(failingReader{})
	}
	return response
}

type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, errors.New("response truncated") }

func (s *connectionScript) recordCall(text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls = append(s.calls, text)
}

func (s *connectionScript) KeyPrefix() string { return "" }

func (s *connectionScript) Addresses(id.Service, int) []roster.Member { return nil }

func (s *connectionScript) Leave(*departure.Plan) { s.recordCall("Leave") }

func (s *connectionScript) Current() *configuration.Snapshot {
	return &configuration.Snapshot{Limits: configuration.Limits{HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}}
}
