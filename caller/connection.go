package caller

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"strings"
	"time"

	"github.com/briarrouter/briarrouter/departure"
	"github.com/briarrouter/briarrouter/id"
	"github.com/briarrouter/briarrouter/outcome"
	"github.com/briarrouter/briarrouter/unit"
	"github.com/briarrouter/briarrouter/work"
	"golang.org/x/net/http/httpguts"
)

// connection is one keep-alive connection of a caller. Its task reads a
// request, has it handled and writes the response, one request after the other.
// net/http's server is not used because it does not detect a disconnect while a
// pipelined request is in its buffer, and because its shutdown closes
// connections on which a request may be arriving.
type connection struct {
	server *Server
	conn   net.Conn
	// origin is empty if the connection has no IP address.
	origin id.Origin
	input  *receiveBuffer
	header *headerReader
	reader *bufio.Reader
	writer *bufio.Writer
	// output is what writer writes to.
	output *timeoutWriter
	// progress changes where the connection's task goes from one step to the next.
	progress progress
	// lastRequest is the last request that was read; empty before one was. Only the
	// connection's task uses it.
	lastRequest id.Request
	// ctx is cancelled when the caller disconnects, and with the cause
	// departure.ErrCutOff at the end of a stop.
	ctx         context.Context
	cancelCause context.CancelCauseFunc
}

func (c *connection) cancel() { c.cancelCause(nil) }

// disconnected cancels the requests of a connection that has ended.
func (c *connection) disconnected() {
	c.progress.finish(endingOf(c.input.cause()))
	c.cancel()
}

// callerGone reports whether the caller disconnected.
func (c *connection) callerGone() bool {
	return c.ctx.Err() != nil && !c.isCutOff()
}

// isCutOff reports whether the end of a stop has cancelled the requests.
func (c *connection) isCutOff() bool { return errors.Is(context.Cause(c.ctx), departure.ErrCutOff) }

const (
	// Buffers of these sizes hold a typical header section. A response that is
	// larger than writeBufferSize is written to the connection in parts.
	readBufferSize  = 4 << 10
	writeBufferSize = 8 << 10
	// lingerTime is how long the server waits for the caller to close its side
	// after the last response. Closing a connection while bytes arrive resets
	// it, and the reset may overtake the response.
	lingerTime = 500 * time.Millisecond
)

func newConnection(s *Server, nc net.Conn) *connection {
	c := &connection{server: s, conn: nc}
	if address, ok := nc.RemoteAddr().(*net.TCPAddr); ok {
		c.origin = id.Origin(address.IP.String())
	}
	c.ctx, c.cancelCause = context.WithCancelCause(context.Background())
	c.input = newReceiveBuffer(nc, s.cfg.Memory, c.disconnected)
	c.header = &headerReader{input: c.input, remaining: -1}
	c.reader = bufio.NewReaderSize(c.header, readBufferSize)
	c.output = &timeoutWriter{conn: nc, timeout: s.timing.Load().SlowCaller}
	c.writer = bufio.NewWriterSize(c.output, writeBufferSize)
	return c
}

// timeoutWriter sets a deadline for each write, so that a caller that stops
// reading cannot hold the connection open indefinitely.
type timeoutWriter struct {
	conn    net.Conn
	timeout time.Duration
	// written counts the bytes that the operating system accepted.
	written unit.Bytes
}

func (w *timeoutWriter) Write(b []byte) (int, error) {
	if err := w.conn.SetWriteDeadline(time.Now().Add(w.timeout)); err != nil {
		return 0, err
	}
	n, err := w.conn.Write(b)
	w.written += unit.Bytes(n)
	return n, err
}

// run serves requests until the connection ends.
func (c *connection) run() {
	c.server.group.Go(c.input.loop)
	defer c.server.remove(c)
	defer c.server.recordEnd(c)
	defer c.close()
	for c.serveRequest() {
	}
}

func (c *connection) close() {
	c.cancel()
	c.input.close()
}

// linger closes the write side and waits for the caller to close its side.
func (c *connection) linger() {
	if half, ok := c.conn.(interface{ CloseWrite() error }); ok && half.CloseWrite() == nil {
		c.progress.enter(lingering)
		c.setReadDeadline(lingerTime)
		c.input.discardUntilClosed()
	}
}

// setReadDeadline limits the wait for the next bytes; zero removes the limit.
func (c *connection) setReadDeadline(d time.Duration) {
	var at time.Time
	if d > 0 {
		at = time.Now().Add(d)
	}
	if err := c.input.setDeadline(at); err != nil {
		c.cancel()
	}
}

// serveRequest serves one request and reports whether the connection is kept
// open.
func (c *connection) serveRequest() bool {
	if c.reader.Buffered() == 0 {
		c.progress.enter(idle)
		c.setReadDeadline(c.server.limits().IdleTimeout)
		if err := c.input.awaitFirstByte(); err != nil {
			c.progress.finish(endingOf(err))
			return false
		}
	}
	c.progress.enter(receivingHead)
	limits := c.server.limits()
	c.setReadDeadline(limits.HeaderTimeout)
	c.header.remaining = int(limits.Header)
	r, err := http.ReadRequest(c.reader)
	c.header.remaining = -1
	if err != nil {
		c.refuseHeader(err)
		return false
	}
	x := &transaction{connection: c, request: r, limits: limits, arrivedAt: c.input.arrivedAt(c.reader.Buffered())}
	return x.run()
}

// refuseHeader rejects a request whose header section cannot be read. A
// connection that ends between two requests or within a header section gets no
// response.
func (c *connection) refuseHeader(err error) {
	x := &transaction{connection: c, request: &http.Request{Method: http.MethodGet, ProtoMajor: 1, ProtoMinor: 1}}
	switch {
	case errors.Is(err, errHeaderTooLarge):
		x.refuse(http.StatusRequestHeaderFieldsTooLarge, work.BadRequest, err)
	case c.input.timedOut():
		x.refuse(http.StatusRequestTimeout, work.BadRequest, os.ErrDeadlineExceeded)
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), c.ctx.Err() != nil:
		return
	default:
		x.refuse(http.StatusBadRequest, work.BadRequest, err)
	}
	c.linger()
}

// transaction is one request and its response.
type transaction struct {
	connection *connection
	request    *http.Request
	limits     limits
	// arrivedAt is when the header section had arrived. A pipelined request has waited
	// since then for the requests before it.
	arrivedAt time.Time
	// body is the request body while it has not been read whole; nil if it has
	// been buffered whole or is empty.
	body *eofReader
	id   id.Request
	// read is set when the request has been read, apart from a body that is streamed.
	read bool
	// closes is set once a response announces that it is the last one of the connection.
	closes bool
}

// run handles the request and reports whether the connection is kept open.
func (x *transaction) run() bool {
	c, s := x.connection, x.connection.server
	if response, ok := s.addressResponse(x.request); ok {
		x.id = id.NewRequest()
		x.beRead()
		// A body is not read, and must not be taken for the next request.
		x.request.Close = x.request.Close || x.request.Body != http.NoBody
		return x.finish(response)
	}
	req, err := s.dialect.Decode(x.request, x.arrivedAt)
	if err != nil {
		x.refuse(http.StatusBadRequest, work.BadRequest, err)
		c.linger()
		return false
	}
	x.id, req.Origin = req.ID, c.origin
	release, err := x.readBody(req)
	defer release()
	if err != nil {
		x.refuseBody(err)
		c.linger()
		return false
	}
	c.setReadDeadline(0)
	x.beRead()
	req.Departure, req.Progress = s.departure.Load(), c.progress.handle()
	started := time.Now()
	response := x.handle(req)
	if response.Reason == work.CallerGone && !c.callerGone() {
		response = work.Refuse(response.Outcome, response.Status, work.Leaving)
	}
	x.logResponse(req, response, time.Since(started))
	return x.finish(response)
}

// handle passes the request to the handler. If that panics, it is unknown whether the
// request ran.
func (x *transaction) handle(req *work.Request) (response work.Response) {
	defer func() {
		if cause := recover(); cause != nil {
			x.connection.server.log.Error().Str("Request", string(req.ID)).Interface("Cause", cause).Bytes("Stack", debug.Stack()).
				Msg("handling a request panicked")
			response = work.Refuse(outcome.Unknown, http.StatusBadGateway, work.InternalError)
		}
	}()
	return x.connection.server.handler.Handle(x.connection.ctx, req)
}

// finish writes a response and reports whether the connection is kept open.
func (x *transaction) finish(response work.Response) bool {
	if !x.write(response) {
		return false
	}
	if x.closes {
		x.connection.linger()
	}
	return !x.closes
}

// beRead records that the request has been read.
func (x *transaction) beRead() { x.read, x.connection.lastRequest = true, x.id }

// closesConnection reports whether the connection is to be closed after this
// response. It is closed if a streamed body was not read to its end, because
// the unread bytes would precede the next request.
func (x *transaction) closesConnection() bool {
	return x.request.Close || !x.request.ProtoAtLeast(1, 1) || x.body != nil && !x.body.atEOF || x.connection.isLeaving()
}

// isLeaving reports whether a stop closes the connection after the response that is about
// to be written. As long as connections are accepted, requests that have arrived behind it
// are answered first.
func (c *connection) isLeaving() bool {
	s := c.server
	if !s.draining.Load() {
		return false
	}
	return !s.isAccepting() || c.ctx.Err() != nil || c.reader.Buffered() == 0 && !c.input.hasUnread()
}

var errBodyTooLarge = errors.New("body of the request is too large")

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
	if httpguts.HeaderValuesContainsToken(r.Header["Expect"], "100-continue") {
		if _, err := io.WriteString(c.conn, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return release, err
		}
	}
	x.body = &eofReader{Reader: &bodyReader{connection: c, reader: r.Body, remaining: x.limits.Body}}
	reserved := s.cfg.Limits.BodyBuffer
	if size >= 0 {
		reserved = size
	}
	if size > s.cfg.Limits.BodyBuffer || !s.cfg.Memory.TryAcquire(reserved) {
		req.Body = work.Body{Rest: x.body, Size: size}
		return release, nil
	}
	release = func() { s.cfg.Memory.Release(reserved) }
	buffered, err := io.ReadAll(io.LimitReader(x.body, int64(reserved)))
	if err != nil {
		return release, err
	}
	if size >= 0 || unit.Bytes(len(buffered)) < reserved {
		x.body = nil
		req.Body = work.Body{Buffered: buffered, Size: unit.Bytes(len(buffered))}
		return release, nil
	}
	req.Body = work.Body{Buffered: buffered, Rest: x.body, Size: size}
	return release, nil
}

// bodyReader limits the size of a body and sets a deadline for each read, so
// that a caller that stops sending cannot hold the connection open
// indefinitely.
type bodyReader struct {
	connection *connection
	reader     io.Reader
	remaining  unit.Bytes
}

func (b *bodyReader) Read(p []byte) (int, error) {
	b.connection.setReadDeadline(b.connection.server.timing.Load().SlowCaller)
	n, err := b.reader.Read(p)
	b.remaining -= unit.Bytes(n)
	if b.remaining < 0 {
		return 0, errBodyTooLarge
	}
	if err != nil {
		b.connection.setReadDeadline(0)
	}
	return n, err
}

func (x *transaction) refuseBody(err error) {
	switch {
	case errors.Is(err, errBodyTooLarge):
		x.refuse(http.StatusRequestEntityTooLarge, work.RequestTooLarge, err)
	case errors.Is(err, os.ErrDeadlineExceeded):
		x.refuse(http.StatusRequestTimeout, work.BadRequest, err)
	default:
		x.refuse(http.StatusBadRequest, work.BadRequest, err)
	}
}

// refuse rejects a request before any attempt. The response announces that the
// connection will be closed; closing it is left to the calling function. If the
// request carries an idempotency key, the outcome is unknown, because an earlier
// request with the key may have run.
func (x *transaction) refuse(status int, reason work.Reason, err error) {
	result := outcome.NotRun
	if len(x.request.Header.Values(KeyField)) > 0 {
		result = outcome.Unknown
	}
	response := work.Refuse(result, status, reason)
	response.Buffered = append(response.Buffered, err.Error()+"\n"...)
	response.Size = unit.Bytes(len(response.Buffered))
	if x.id == "" {
		x.id = id.NewRequest()
	}
	x.connection.server.cfg.Log.Info().Str("Request", string(x.id)).Int("Status", status).Str("Reason", string(reason)).
		AnErr("Cause", err).Msg("request cannot be read")
	x.request.Close = true
	x.connection.progress.finish(refused)
	x.write(response)
}

// write writes and closes a response. It returns false if writing failed; the
// connection must then be closed, so that the truncated response does not look
// complete.
func (x *transaction) write(response work.Response) bool {
	defer response.Close()
	c := x.connection
	c.progress.enter(writing)
	c.output.written = 0
	// Decided once: a caller that is not told may send its next request on the connection.
	x.closes = x.closesConnection()
	resp := &http.Response{
		StatusCode: response.Status, ProtoMajor: 1, ProtoMinor: 1, Request: x.request,
		Header: c.server.dialect.Encode(x.id, response), ContentLength: int64(response.Size), Close: x.closes,
	}
	resp.Body = io.NopCloser(io.MultiReader(strings.NewReader(string(response.Buffered)), remainder(response)))
	if response.Size == 0 || x.request.Method == http.MethodHead {
		resp.Body = http.NoBody
	}
	if response.Size < 0 {
		resp.TransferEncoding = []string{"chunked"}
	}
	err := resp.Write(c.writer)
	if err == nil {
		err = c.writer.Flush()
	}
	switch {
	case err != nil:
		c.progress.finish(responseFailed)
	case x.closes:
		c.progress.finish(lastResponse)
	}
	x.recordAnswer(response, err)
	return err == nil
}

func remainder(response work.Response) io.Reader {
	if response.Rest == nil {
		return http.NoBody
	}
	return response.Rest
}
