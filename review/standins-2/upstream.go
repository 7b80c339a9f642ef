package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http/httputil"
	"net/textproto"
	"strconv"
	"strings"
	"time"
)

// arrival is a request as it reached an upstream.
type arrival struct {
	upstream string
	at       time.Time
	method   string
	target   string
	attempt  string
	body     []byte
}

// upstream is a stand-in of an upstream. It serves one request at a time on a connection.
type upstream struct {
	id, service, zone string
	slots             int
	listener          net.Listener
	// handle is called for each request that was read whole. It writes the response and
	// reports whether the connection stays open.
	handle func(u *upstream, c *upstreamConn, a arrival) bool
}

// upstreamConn is a connection to an upstream.
type upstreamConn struct {
	net.Conn
	reader *bufio.Reader
	// late holds bytes that the handler sends with the next request.
	late string
}

func newUpstream(id, service, zone string, slots int, handle func(*upstream, *upstreamConn, arrival) bool) *upstream {
	u := &upstream{id: id, service: service, zone: zone, slots: slots, listener: listen(), handle: handle}
	go u.run()
	return u
}

func (u *upstream) address() string { return u.listener.Addr().String() }

func (u *upstream) run() {
	for {
		nc, err := u.listener.Accept()
		if err != nil {
			return
		}
		go u.serve(&upstreamConn{Conn: nc, reader: bufio.NewReader(nc)})
	}
}

func (u *upstream) serve(c *upstreamConn) {
	defer c.Close()
	for {
		a, expected, ok := readRequest(c.reader)
		if !ok {
			return
		}
		a.upstream, a.at = u.id, time.Now()
		if expected != "" && expected != u.id {
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nBriarrouter-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", u.id)
			continue
		}
		if !u.handle(u, c, a) {
			return
		}
	}
}

// readRequest reads a request with its body. It takes the request line as it is.
func readRequest(r *bufio.Reader) (a arrival, expected string, ok bool) {
	tp := textproto.NewReader(r)
	line, err := tp.ReadLine()
	if err != nil {
		return a, "", false
	}
	fields := strings.Split(line, " ")
	if len(fields) != 3 {
		return a, "", false
	}
	a.method, a.target = fields[0], fields[1]
	header, err := tp.ReadMIMEHeader()
	if err != nil {
		return a, "", false
	}
	a.attempt = header.Get("Briarrouter-Attempt-Id")
	var body io.Reader = strings.NewReader("")
	if header.Get("Transfer-Encoding") == "chunked" {
		body = httputil.NewChunkedReader(r)
	} else if n, err := strconv.ParseInt(header.Get("Content-Length"), 10, 64); err == nil {
		body = io.LimitReader(r, n)
	}
	if a.body, err = io.ReadAll(body); err != nil {
		return a, "", false
	}
	if header.Get("Transfer-Encoding") == "chunked" {
		if _, err := tp.ReadMIMEHeader(); err != nil {
			return a, "", false
		}
	}
	return a, header.Get("Briarrouter-Expect-Instance"), true
}

// answer writes a complete answer with a signature.
func (c *upstreamConn) answer(a arrival, body string) {
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nBriarrouter-Attempt-Id: %s\r\nBriarrouter-Response-Signature: %s\r\nContent-Length: %d\r\n\r\n%s", a.attempt, signature(body), len(body), body)
}

func signature(body string) string { return fmt.Sprintf("s%d.%x", len(body), sum(body)) }

func sum(s string) uint32 {
	h := uint32(2166136261)
	for i := range len(s) {
		h = (h ^ uint32(s[i])) * 16777619
	}
	return h
}
