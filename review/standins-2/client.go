package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// reply is what a client got for a request.
type reply struct {
	status    int
	attempt   string
	signature string
	body      string
	// err is set if the connection ended without a complete answer.
	err error
}

func (r reply) String() string {
	if r.err != nil {
		return "no complete answer: " + r.err.Error()
	}
	return fmt.Sprintf("%d, attempt id %q, signature %q, %d bytes", r.status, r.attempt, r.signature, len(r.body))
}

// clientConn is a connection of a client, kept for many requests.
type clientConn struct {
	net.Conn
	reader *bufio.Reader
}

func dial(address string) (*clientConn, error) {
	nc, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &clientConn{nc, bufio.NewReader(nc)}, nil
}

// do sends a request and reads its answer. It reports whether the connection can be kept.
func (c *clientConn) do(method, host, path, attempt, body string, deadline time.Duration) (reply, bool) {
	c.SetDeadline(time.Now().Add(deadline))
	length := ""
	if method != http.MethodGet {
		length = fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	_, err := fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: %s\r\nBriarrouter-Attempt-Id: %s\r\nBriarrouter-Deadline-Ms: %d\r\n%s\r\n%s",
		method, path, host, attempt, deadline.Milliseconds(), length, body)
	if err != nil {
		return reply{err: err}, false
	}
	return c.read(method)
}

func (c *clientConn) read(method string) (reply, bool) {
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return reply{err: err}, false
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return reply{err: err}, false
	}
	return reply{
		status: resp.StatusCode, attempt: resp.Header.Get("Briarrouter-Attempt-Id"),
		signature: resp.Header.Get("Briarrouter-Response-Signature"), body: string(data),
	}, !resp.Close
}
