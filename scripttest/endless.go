package scripttest

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"
)

// EndlessServer answers the first request of each connection with a response
// without an end.
type EndlessServer struct {
	// Start begins the response, Repeated follows it until the client closes.
	Start, Repeated string
	sent            atomic.Int64
}

// endlessBlock is the least number of bytes that are written at once.
const endlessBlock = 512

// Dial connects to the server, whatever the address.
func (s *EndlessServer) Dial(context.Context, string, string) (net.Conn, error) {
	clientConn, serverConn := net.Pipe()
	c := &endlessConn{Conn: serverConn, server: s}
	go c.run()
	return clientConn, nil
}

// Sent returns the number of bytes that clients have read.
func (s *EndlessServer) Sent() int64 { return s.sent.Load() }

type endlessConn struct {
	net.Conn
	server *EndlessServer
}

func (c *endlessConn) run() {
	defer c.Close()
	req, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	io.Copy(io.Discard, req.Body)
	writeEndless(c, c.server.Start, c.server.Repeated, &c.server.sent)
}

// writeEndless writes start and then repeated until the reader closes the connection,
// and adds the number of bytes that were read to sent.
func writeEndless(conn net.Conn, start, repeated string, sent *atomic.Int64) {
	block := strings.Repeat(repeated, 1+endlessBlock/len(repeated))
	var err error
	for text := start + block; err == nil; text = block {
		var n int
		n, err = io.WriteString(conn, text)
		sent.Add(int64(n))
	}
}

// EndlessResponse is a response without an end, for an EndlessServer.
type EndlessResponse struct{ Name, Start, Repeated string }

// EndlessResponses lists responses whose head or body has no end.
var EndlessResponses = []EndlessResponse{
	{"bytes that are no response", "", "\x00"},
	{"header section without an end", "HTTP/1.1 200 OK\r\n", "X-Field: 1\r\n"},
	{"chunked body without an end", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "400\r\n" + strings.Repeat("0", 1024) + "\r\n"},
	{"body without an end", "HTTP/1.1 200 OK\r\n\r\n", "0"},
	{"body of a failure without an end", "HTTP/1.1 500 Internal Server Error\r\n\r\n", "0"},
}

// EndlessTranscript passes a server of each response to the function do, in a
// testing/synctest bubble, and returns the responses' names with the results. It
// checks that the clients of a server read at most maxSent bytes.
func EndlessTranscript(t *testing.T, responses []EndlessResponse, maxSent int64, do func(t *testing.T, server *EndlessServer) string) string {
	var b strings.Builder
	for _, r := range responses {
		synctest.Test(t, func(t *testing.T) {
			server := &EndlessServer{Start: r.Start, Repeated: r.Repeated}
			fmt.Fprintf(&b, "%s\n%s", r.Name, do(t, server))
			synctest.Wait()
			require.LessOrEqual(t, server.Sent(), maxSent, r.Name)
		})
	}
	return b.String()
}

// ServerReadAhead is how many bytes a server of package net/http may read beyond its
// limits.
const ServerReadAhead int64 = 8 << 10

// httpServer is a server of HTTP.
type httpServer interface {
	Serve(net.Listener) error
	Close() error
}

// SendEndless sends a request to the server, in a testing/synctest bubble: start, and
// then repeated until the server closes the connection. It returns the first line of
// the response and the number of bytes sent.
func SendEndless(t *testing.T, server httpServer, start, repeated string) (response string, sent int64) {
	synctest.Test(t, func(t *testing.T) {
		conn, serverConn := net.Pipe()
		go server.Serve(&connListener{conn: serverConn, closed: make(chan struct{})})
		defer server.Close()
		c := &endlessClient{Conn: conn, statusLine: make(chan string, 1)}
		go c.run()
		var written atomic.Int64
		writeEndless(conn, start, repeated, &written)
		response, sent = <-c.statusLine, written.Load()
	})
	return response, sent
}

// endlessClient reads the response while the request is being sent, until the server
// closes the connection.
type endlessClient struct {
	net.Conn
	// statusLine receives the line; it is empty if the server closed without one.
	statusLine chan string
}

func (c *endlessClient) run() {
	defer c.Close()
	reader := bufio.NewReader(c)
	// A line cut short by an error is no status line that a test expects.
	line, _ := reader.ReadString('\n')
	c.statusLine <- strings.TrimSpace(line)
	io.Copy(io.Discard, reader)
}

// connListener accepts one connection.
type connListener struct {
	conn   net.Conn
	closed chan struct{}
	once   sync.Once
}

func (l *connListener) Accept() (net.Conn, error) {
	if conn := l.conn; conn != nil {
		l.conn = nil
		return conn, nil
	}
	<-l.closed
	return nil, net.ErrClosed
}

func (l *connListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *connListener) Addr() net.Addr { return &net.TCPAddr{} }
