package publication

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/briarrouter/briarrouter/id"
	"github.com/briarrouter/briarrouter/scripttest"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"
)

// watchValue watches a value of a platform for a minute and returns the number of calls, and the log.
func watchValue(t *testing.T, handle func(call int, w http.ResponseWriter)) (calls int, log string) {
	t.Helper()
	listener := scripttest.NewPipeListener()
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		calls++
		handle(calls, w)
	})}
	var group conc.WaitGroup
	group.Go(func() { server.Serve(listener) })
	transport := &http.Transport{DialContext: func(context.Context, string, string) (net.Conn, error) { return listener.Connect(), nil }}
	var lines bytes.Buffer
	_ = &lines
	client := newClient([]id.Address{"platform"}, zerolog.New(&lines), transport)
	ctx, cancel := context.WithCancel(t.Context())
	client.Watch(ctx, &group, IndexKey, func(context.Context, []byte) error { return nil })
	time.Sleep(time.Minute)
	cancel()
	transport.CloseIdleConnections()
	server.Shutdown(context.Background())
	group.Wait()
	return calls, lines.String()
}

// TestValueWithoutEntityTag guards against a platform that is polled without a pause because it sends no entity tag.
func TestValueWithoutEntityTag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		calls, _ := watchValue(t, func(int, http.ResponseWriter) {})
		require.LessOrEqual(t, calls, 1+int(time.Minute/maxRetryDelay))
	})
}

// TestFailedPollsAreLogged guards against an outage of the platform that leaves no trace in the log.
func TestFailedPollsAreLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, log := watchValue(t, func(call int, w http.ResponseWriter) {
			if call < 4 {
				w.WriteHeader(http.StatusInternalServerError)
				return
			}
			// Without a change, the platform holds a poll.
			if call > 4 {
				time.Sleep(20 * time.Second)
			}
			w.Header().Set("ETag", "1")
		})
		require.Equal(t, 1, strings.Count(log, "platform does not answer"), log)
		require.Equal(t, 1, strings.Count(log, `"Failures":3`), log)
		require.Contains(t, log, "platform answers again")
	})
}
