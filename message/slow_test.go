package message

import (
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/briarrouter/briarrouter/memory"
	"github.com/briarrouter/briarrouter/outcome"
	"github.com/briarrouter/briarrouter/work"
	"github.com/stretchr/testify/require"
)

// oneConn is a listener with a single connection.
type oneConn struct {
	conn   chan net.Conn
	closed chan struct{}
}

func (l oneConn) Accept() (net.Conn, error) {
	select {
	case c := <-l.conn:
		return c, nil
	case <-l.closed:
		return nil, errors.New("closed")
	}
}

func (l oneConn) Close() error   { close(l.closed); return nil }
func (l oneConn) Addr() net.Addr { return &net.TCPAddr{} }

// serveOne serves one connection with the handler and returns its far end.
func serveOne(t *testing.T, h http.HandlerFunc) net.Conn {
	near, far := net.Pipe()
	l := oneConn{conn: make(chan net.Conn, 1), closed: make(chan struct{})}
	l.conn <- near
	server := &http.Server{Handler: h}
	go server.Serve(l)
	t.Cleanup(func() {
		far.Close()
		server.Close()
	})
	return far
}

// endless is an answer without an end that counts what is taken of it.
type endless struct{ taken int }

func (e *endless) Read(p []byte) (int, error) {
	e.taken += len(p)
	return len(p), nil
}

func (e *endless) Close() error { return nil }

// TestSlowReader lets a caller read nothing of a long answer: the daemon takes
// little of it and gives up after the pause.
func TestSlowReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		answer, ended := &endless{}, make(chan time.Duration, 1)
		started := time.Now()
		far := serveOne(t, func(w http.ResponseWriter, _ *http.Request) {
			defer func() {
				ended <- time.Since(started)
				panic(recover())
			}()
			WriteAnswer(w, "1", work.Answer{Outcome: outcome.Ran, Status: http.StatusOK, Rest: answer, Size: -1}, 10*time.Second)
		})
		io.WriteString(far, "GET / HTTP/1.1\r\nHost: d\r\n\r\n")
		require.Equal(t, 10*time.Second, <-ended)
		require.LessOrEqual(t, answer.taken, 2*copyBuffer)
	})
}

// TestSlowSender lets a caller stop within its body: the request ends after
// the pause and its memory is given back.
func TestSlowSender(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate, ended := memory.New(1000), make(chan time.Duration, 1)
		started := time.Now()
		far := serveOne(t, func(w http.ResponseWriter, r *http.Request) {
			_, release, err := ReadBody(w, r, BodyConfig{Limit: 1000, Buffer: 1000, Memory: gate, Pause: 10 * time.Second})
			release()
			if err != nil {
				ended <- time.Since(started)
			}
		})
		io.WriteString(far, "POST / HTTP/1.1\r\nHost: d\r\nContent-Length: 100\r\n\r\nhalf")
		require.Equal(t, 10*time.Second, <-ended)
		require.Zero(t, gate.State().Held)
	})
}
