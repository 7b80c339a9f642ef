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

// singleConnListener returns one connection from Accept and then blocks until it
// is closed.
type singleConnListener struct {
	conn   chan net.Conn
	closed chan struct{}
}

func (l singleConnListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conn:
		return c, nil
	case <-l.closed:
		return nil, errors.New("closed")
	}
}

func (l singleConnListener) Close() error   { close(l.closed); return nil }
func (l singleConnListener) Addr() net.Addr { return &net.TCPAddr{} }

// serveConn serves one connection with the handler and returns the client's
// end.
func serveConn(t *testing.T, h http.HandlerFunc) net.Conn {
	serverConn, clientConn := net.Pipe()
	l := singleConnListener{conn: make(chan net.Conn, 1), closed: make(chan struct{})}
	l.conn <- serverConn
	server := &http.Server{Handler: h}
	go server.Serve(l)
	t.Cleanup(func() {
		clientConn.Close()
		server.Close()
	})
	return clientConn
}

// endlessBody is a response body without an end that counts the bytes read from
// it.
type endlessBody struct{ bytesRead int }

func (e *endlessBody) Read(p []byte) (int, error) {
	e.bytesRead += len(p)
	return len(p), nil
}

func (e *endlessBody) Close() error { return nil }

// TestSlowReader has a client read nothing of an endless response:
// WriteResponse takes at most two copy buffers from the body and aborts the
// connection after the timeout.
func TestSlowReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		body, elapsed := &endlessBody{}, make(chan time.Duration, 1)
		started := time.Now()
		clientConn := serveConn(t, func(w http.ResponseWriter, _ *http.Request) {
			defer func() {
				elapsed <- time.Since(started)
				panic(recover())
			}()
			WriteResponse(w, "1", work.Response{Outcome: outcome.Ran, Status: http.StatusOK, Rest: body, Size: -1}, 10*time.Second)
		})
		io.WriteString(clientConn, "GET / HTTP/1.1\r\nHost: d\r\n\r\n")
		require.Equal(t, 10*time.Second, <-elapsed)
		require.LessOrEqual(t, body.bytesRead, 2*copyBufferSize)
	})
}

// TestSlowSender has a client stop sending within a body: ReadBody fails after
// the timeout, and its memory is released.
func TestSlowSender(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bodyMemory, elapsed := memory.New(1000), make(chan time.Duration, 1)
		started := time.Now()
		clientConn := serveConn(t, func(w http.ResponseWriter, r *http.Request) {
			_, release, err := ReadBody(w, r, BodyConfig{Limit: 1000, Buffer: 1000, Memory: bodyMemory, ReadTimeout: 10 * time.Second})
			release()
			if err != nil {
				elapsed <- time.Since(started)
			}
		})
		io.WriteString(clientConn, "POST / HTTP/1.1\r\nHost: d\r\nContent-Length: 100\r\n\r\nhalf")
		require.Equal(t, 10*time.Second, <-elapsed)
		require.Zero(t, bodyMemory.State().Held)
	})
}
