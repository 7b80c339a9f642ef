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

// TestConnections sends requests on one connection to a server whose handler
// takes its time and says what it saw.
func TestConnections(t *testing.T) {
	scripttest.Run(t, ".script", func(t *testing.T) func([]string) string {
		s := &connectionScript{started: time.Now()}
		s.server = New(Config{
			Limits:  settings.Limits{RequestHeader: 200, RequestBody: 100, BodyBuffer: 20},
			Timing:  settings.Timing{SlowCaller: 10 * time.Second, Hold: 2 * time.Second, LeaveMargin: time.Second},
			Memory:  memory.New(1000),
			Log:     zerolog.Nop(),
			Dialect: plain{},
		})
		s.server.handler, s.server.member, s.server.policies = s, s, s
		s.server.listener = &noListener{}
		s.open()
		t.Cleanup(func() {
			s.far.Close()
			s.stops.Wait()
			s.server.group.Wait()
		})
		return s.execute
	})
}

type noListener struct{ net.Listener }

func (noListener) Close() error { return nil }

// plain is a dialect without fields.
type plain struct{}

func (plain) Decode(r *http.Request, _ time.Time) (*work.Request, error) {
	if r.URL.Path == "/wrong" {
		return nil, errors.New("wrong path")
	}
	return &work.Request{ID: id.Request(r.URL.Path), Method: r.Method, Path: r.URL.Path, Host: r.Host}, nil
}

func (plain) Encode(_ id.Request, a work.Answer) http.Header {
	return http.Header{"X-Outcome": {string(a.Outcome)}}
}

type connectionScript struct {
	server  *Server
	started time.Time
	far     net.Conn

	stops conc.WaitGroup

	mu    sync.Mutex
	calls []string
	got   strings.Builder
	ended bool
}

func (s *connectionScript) open() {
	near, far := net.Pipe()
	s.far = far
	s.server.serve(near)
	go s.read(far)
}

// read notes what the server sends.
func (s *connectionScript) read(far net.Conn) {
	reader := bufio.NewReader(far)
	for {
		line, err := reader.ReadString('\n')
		s.mu.Lock()
		s.got.WriteString(strings.TrimRight(line, "\r\n") + "|")
		s.ended = err != nil
		s.mu.Unlock()
		if err != nil {
			return
		}
	}
}

func (s *connectionScript) execute(w []string) string {
	switch w[0] {
	case "send":
		text := strings.ReplaceAll(strings.Join(w[1:], " "), "~", "\r\n")
		go io.WriteString(s.far, text)
	case "wait":
		d, _ := time.ParseDuration(w[1])
		time.Sleep(d)
	case "leave":
		s.far.Close()
	case "stop":
		s.stops.Go(func() { s.server.Stop(context.Background()) })
	}
	synctest.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	sort.Strings(s.calls)
	result := fmt.Sprintf("%s calls %v got %q ended %t", time.Since(s.started), s.calls, s.got.String(), s.ended)
	s.calls = nil
	s.got.Reset()
	return result
}

// Handle answers after the time that the path names. The answer of /cut breaks
// off, that of /stream has no length.
func (s *connectionScript) Handle(ctx context.Context, req *work.Request) work.Answer {
	rest := ""
	if req.Body.Rest != nil {
		data, err := io.ReadAll(req.Body.Rest)
		rest = fmt.Sprintf("+%d", len(data))
		if err != nil {
			rest += " " + err.Error()
		}
	}
	s.note(fmt.Sprintf("%s begins %d%s", req.Path, len(req.Body.Held), rest))
	if d, err := time.ParseDuration(strings.TrimPrefix(req.Path, "/")); err == nil {
		timer := time.NewTimer(d)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
			s.note(req.Path + " caller is gone")
		}
	}
	text := req.Path[1:]
	a := work.Answer{Outcome: outcome.Ran, Status: http.StatusOK, Held: []byte(text), Size: unit.Bytes(len(text))}
	switch req.Path {
	case "/cut":
		a.Size, a.Rest = 100, io.NopCloser(io.MultiReader(strings.NewReader("half"), failing{}))
	case "/stream":
		a.Size, a.Rest = -1, io.NopCloser(strings.NewReader(" and more"))
	case "/broken":
		a.Size, a.Rest = -1, io.NopCloser(failing{})
	}
	return a
}

type failing struct{}

func (failing) Read([]byte) (int, error) { return 0, errors.New("answer was cut") }

func (s *connectionScript) note(text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls = append(s.calls, text)
}

func (s *connectionScript) KeyPrefix() string { return "" }

func (s *connectionScript) Addresses(id.Service, int) []roster.Member { return nil }

func (s *connectionScript) Leave() { s.note("leaves") }

func (s *connectionScript) Current() *configuration.Snapshot {
	return &configuration.Snapshot{Limits: configuration.Limits{HeadTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}}
}
