package caller

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/briarrouter/briarrouter/message"
	"github.com/briarrouter/briarrouter/socket"
	"github.com/briarrouter/briarrouter/unit"
	"github.com/briarrouter/briarrouter/work"
)

var (
	errBodyTooLarge = errors.New("body of the request is too large")
	errBodyLate     = errors.New("body of the request has not arrived at its deadline")
	errManyBodies   = errors.New("too many bodies are arriving")
	errInterrupted  = errors.New("body of the request is no longer read")
)

// readBody buffers the whole body if it is small and memory is available, and
// streams it otherwise. If a chunked body turns out to be too large for the
// buffer, its start is buffered and the rest is streamed. release returns the
// reserved memory; it is never nil.
func (x *transaction) readBody(req *work.Request) (release func(), err error) {
	release = func() {}
	c, s, r := x.connection, x.connection.server, x.request
	size := unit.Bytes(r.ContentLength)
	if size > x.limits.Body {
		return release, errBodyTooLarge
	}
	if size == 0 || r.Body == http.NoBody {
		return release, nil
	}
	c.progress.enter(receivingBody)
	if !c.hasArrived(size) && !s.admitBody(c) {
		return release, errManyBodies
	}
	if x.awaitsContinue {
		if _, err := io.WriteString(c.conn, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return release, err
		}
	}
	x.body = &body{connection: c, request: r, number: c.input.beginBody(), remaining: x.limits.Body}
	x.body.deadline = x.bodyDeadline(req)
	req.Body, release, err = message.BufferBody(x.body, size, message.BufferConfig{
		Limit: s.cfg.Limits.BodyBuffer, Memory: s.cfg.Memory, OnRefusal: func() { s.yieldStillBody() }, OnBuffer: c.widen,
	})
	x.body.deadline = time.Time{}
	if err == nil && req.Body.Replayable() {
		x.body = nil
	}
	return release, err
}

// bodyDeadline moves the deadline of a request that its route limits, since the time in
// which its body arrives is part of the time that its caller waits, and returns it.
func (x *transaction) bodyDeadline(req *work.Request) time.Time {
	s := x.connection.server
	if s.configurations == nil || s.configurations.Current() == nil {
		return req.Deadline
	}
	m, ok := s.configurations.Current().Match(req.Host, req.Method, req.Path)
	if !ok {
		return req.Deadline
	}
	end := x.arrivedAt.Add(m.Route.Timeout)
	if req.Deadline.IsZero() || m.Route.TimeoutIsLimit && end.Before(req.Deadline) {
		req.Deadline = end
	}
	return req.Deadline
}

// wideWindow is how much more of a body than of other bytes the operating system may
// receive ahead. Without it, callers that are far away could not send at the speed of their
// link.
const wideWindow = 128 * unit.KiB

// widen lets the operating system receive more of a body of a size at a time, or of a
// streamed one (-1), if memory is available. endBody reverts it.
func (c *connection) widen(size unit.Bytes) {
	least := c.server.cfg.Buffers.Receive
	window := wideWindow
	if size >= 0 {
		window = min(window, size)
	}
	if least == 0 || window <= least || c.window > 0 || !c.server.cfg.Memory.TryAcquireWindow(window) {
		return
	}
	c.window = window
	socket.SetReceiveBuffer(c.conn, least+window)
}

// endBody marks that the body of the request is not read any more.
func (c *connection) endBody() {
	c.input.endBody()
	c.server.dismissBody(c)
	if c.window > 0 {
		c.server.cfg.Memory.ReleaseWindow(c.window)
		c.window = 0
		socket.SetReceiveBuffer(c.conn, c.server.cfg.Buffers.Receive)
	}
}

// hasArrived reports whether a body of a size has been received whole.
func (c *connection) hasArrived(size unit.Bytes) bool {
	return size >= 0 && unit.Bytes(c.unparsed()+c.input.buffered()) >= size
}

// body reads the body of a request. It limits the size and sets a deadline for each read,
// so that a caller that stops sending cannot hold the connection open indefinitely.
type body struct {
	connection *connection
	request    *http.Request
	// number is that of the body on its connection.
	number    uint64
	remaining unit.Bytes
	// deadline bounds all reads; zero for no bound.
	deadline time.Time
	atEOF    bool
}

// Read drops the trailers that net/http parsed at the end, since they are not passed on.
func (b *body) Read(p []byte) (int, error) {
	timeout := b.connection.server.timing.Load().SlowCaller
	if !b.deadline.IsZero() {
		left := time.Until(b.deadline)
		if left <= 0 {
			return 0, errBodyLate
		}
		timeout = min(timeout, left)
	}
	b.connection.setReadDeadline(timeout)
	n, err := b.request.Body.Read(p)
	b.remaining -= unit.Bytes(n)
	if b.remaining < 0 {
		return 0, errBodyTooLarge
	}
	if err != nil {
		b.connection.setReadDeadline(0)
	}
	switch {
	case err == io.EOF:
		b.atEOF = true
		b.request.Trailer = nil
		b.connection.server.dismissBody(b.connection)
	case errors.Is(err, os.ErrDeadlineExceeded) && !b.deadline.IsZero() && !time.Now().Before(b.deadline):
		err = errBodyLate
	}
	return n, err
}

// Interrupt ends a Read in progress, and fails later ones. It may be called at any time,
// also after the request has ended.
func (b *body) Interrupt() { b.connection.input.interruptBody(b.number) }

// WaitingSince returns since when a Read waits for the caller; false if none does.
func (b *body) WaitingSince() (time.Time, bool) { return b.connection.input.waitsSince() }

func (x *transaction) refuseBody(err error) {
	switch {
	case errors.Is(err, errBodyTooLarge):
		x.refuse(http.StatusRequestEntityTooLarge, work.RequestTooLarge, err)
	case errors.Is(err, errBodyLate):
		x.refuse(http.StatusRequestTimeout, work.DeadlinePassed, err)
	case errors.Is(err, errManyBodies), errors.Is(err, errYielded):
		x.refuse(http.StatusServiceUnavailable, work.BodyLimit, err)
	case errors.Is(err, os.ErrDeadlineExceeded):
		x.refuse(http.StatusRequestTimeout, work.BadRequest, err)
	default:
		x.refuse(http.StatusBadRequest, work.BadRequest, err)
	}
}
