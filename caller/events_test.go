package caller

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/briarrouter/briarrouter/outcome"
	"github.com/briarrouter/briarrouter/scripttest"
	"github.com/briarrouter/briarrouter/work"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
)

// logLines holds the lines of a log. It is safe for concurrent use.
type logLines struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *logLines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

// take returns the lines since the last call, in alphabetical order, since tasks that
// act at the same time log in any order.
func (l *logLines) take() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	lines := slices.Sorted(strings.Lines(l.text.String()))
	l.text.Reset()
	return lines
}

// sampler writes all lines or, when it is exhausted, only warnings.
type sampler struct{ exhausted atomic.Bool }

func (s *sampler) Sample(level zerolog.Level) bool {
	return level >= zerolog.WarnLevel || !s.exhausted.Load()
}

// TestEvents runs scripts in the manner of TestConnections and shows the lines of the log.
// The word open opens another connection, open-unread one whose caller does not
// read; metrics shows the counters; exhausted exhausts the limit on lines about requests.
func TestEvents(t *testing.T) {
	scripttest.Run(t, ".events", func(t *testing.T) func([]string) string {
		log, limit, scope := &logLines{}, &sampler{}, tally.NewTestScope("", nil)
		s := newConnectionScript(t, zerolog.New(log).Sample(limit))
		s.server.scope = scope
		return func(words []string) string {
			switch words[0] {
			case "metrics":
				return showCounters(scope.Snapshot())
			case "exhausted":
				limit.exhausted.Store(true)
			default:
				s.execute(words)
			}
			return strings.Join(log.take(), "")
		}
	})
}

func showCounters(snapshot tally.Snapshot) string {
	var lines []string
	for _, c := range snapshot.Counters() {
		lines = append(lines, fmt.Sprintf("%s %v %d\n", c.Name(), c.Tags(), c.Value()))
	}
	slices.Sort(lines)
	return strings.Join(lines, "")
}

// TestResetOfUnreadConnectionIsLogged guards against a stop that resets connections, and
// with them responses, without a line in the log.
func TestResetOfUnreadConnectionIsLogged(t *testing.T) {
	log := &logLines{}
	proceed := make(chan struct{})
	l := newLoopbackServer(t, slowCaller, func(_ context.Context, _ *work.Request) work.Response {
		<-proceed
		return work.Refuse(outcome.NotRun, http.StatusServiceUnavailable, work.Overloaded)
	})
	l.server.log, l.server.cfg.Log = zerolog.New(log), zerolog.New(log)
	conn := l.dial(t)
	defer conn.Close()
	require.NoError(t, sendUpload(conn, receiveBufferSize+2*receiveChunkSize))
	c := onlyConnection(t, l.server)
	require.Eventually(t, func() bool { return c.input.notReceived() > 0 }, 10*time.Second, time.Millisecond)
	time.AfterFunc(time.Second, func() { close(proceed) })
	ctx, cancel := context.WithTimeout(t.Context(), lastResponseTime)
	defer cancel()
	require.NoError(t, l.server.Stop(ctx))
	_, err := bufio.NewReader(conn).ReadByte()
	require.Error(t, err)
	lines := strings.Join(log.take(), "")
	require.Contains(t, lines, `{"level":"warn","LastRequest":"/upload","State":"handling","Ending":"closed-by-force"`)
	require.Contains(t, lines, `"ClosedByForce":1`)
	require.Contains(t, lines, `"Resets":1`)
}

// onlyConnection waits for the only connection of a server to be handled.
func onlyConnection(t *testing.T, s *Server) *connection {
	var only *connection
	require.Eventually(t, func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		for c := range s.connections {
			only = c
		}
		return only != nil && only.progress.current() == handling
	}, 10*time.Second, time.Millisecond)
	return only
}
