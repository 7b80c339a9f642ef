package caller

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/briarrouter/briarrouter/id"
	"github.com/briarrouter/briarrouter/outcome"
	"github.com/briarrouter/briarrouter/unit"
	"github.com/briarrouter/briarrouter/work"
	"golang.org/x/net/http/httpguts"
)

// connection is one connection of a caller. Its task reads a request, has it
// answered and writes the answer, one request after the other. net/http's
// server is not used here: while a request that was sent ahead lies in its
// buffer it does not see the caller leave, and its stop closes connections on
// which a request may just be arriving.
type connection struct {
	server *Server
	conn   net.Conn
	inbox  *inbox
	head   *headReader
	reader *bufio.Reader
	writer *bufio.Writer
	// ctx ends when the caller leaves.
	ctx    context.Context
	cancel context.CancelFunc
}

const (
	// readBuffer and writeBuffer hold a usual head; answers beyond it go to the
	// connection in parts.
	readBuffer  = 4 << 10
	writeBuffer = 8 << 10
	// lingerTime is how long the end of the caller's side is awaited after the
	// last answer. A connection that is closed while bytes arrive is reset, and
	// the reset may overtake the answer.
	lingerTime = 500 * time.Millisecond
)

func newConnection(s *Server, nc net.Conn) *connection {
	c := &connection{server: s, conn: nc}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.inbox = newInbox(nc, c.cancel)
	c.head = &headReader{inbox: c.inbox, left: -1}
	c.reader = bufio.NewReaderSize(c.head, readBuffer)
	c.writer = bufio.NewWriterSize(&pacedConn{nc, s.timing.Load().SlowCaller}, writeBuffer)
	return c
}

// pacedConn writes to a caller that may pause only for a while.
type pacedConn struct {
	conn  net.Conn
	pause time.Duration
}

func (p *pacedConn) Write(b []byte) (int, error) {
	if err := p.conn.SetWriteDeadline(time.Now().Add(p.pause)); err != nil {
		return 0, err
	}
	return p.conn.Write(b)
}

// run serves the connection to its end.
func (c *connection) run() {
	c.server.group.Go(c.inbox.loop)
	defer c.server.forget(c)
	defer c.end()
	for c.serveOne() {
	}
}

func (c *connection) end() {
	c.cancel()
	c.conn.Close()
}

// linger ends the daemon's side in order and awaits the end of the other one.
func (c *connection) linger() {
	if half, ok := c.conn.(interface{ CloseWrite() error }); ok && half.CloseWrite() == nil {
		c.setReadDeadline(lingerTime)
		c.inbox.awaitEnd()
	}
}

// setReadDeadline bounds the wait for the next bytes; zero ends the bound.
func (c *connection) setReadDeadline(d time.Duration) {
	var at time.Time
	if d > 0 {
		at = time.Now().Add(d)
	}
	if err := c.conn.SetReadDeadline(at); err != nil {
		c.cancel()
	}
}

// serveOne serves one request and tells whether the connection goes on.
func (c *connection) serveOne() bool {
	limits := c.server.limits()
	if c.reader.Buffered() == 0 {
		c.setReadDeadline(limits.IdleTimeout)
		if err := c.inbox.awaitFirst(); err != nil {
			return false
		}
	}
	c.setReadDeadline(limits.HeadTimeout)
	c.head.left = int(limits.Header)
	r, err := http.ReadRequest(c.reader)
	c.head.left = -1
	if err != nil {
		c.refuseHead(err)
		return false
	}
	x := &transaction{connection: c, request: r, limits: limits}
	return x.run()
}

// refuseHead answers a request whose head cannot be read. A connection that
// ends between two requests, or within a head, gets no answer.
func (c *connection) refuseHead(err error) {
	x := &transaction{connection: c, request: &http.Request{Method: http.MethodGet, ProtoMajor: 1, ProtoMinor: 1}}
	switch {
	case errors.Is(err, errHeadTooLarge):
		x.refuse(http.StatusRequestHeaderFieldsTooLarge, work.BadRequest, err)
	case c.inbox.timedOut():
		x.refuse(http.StatusRequestTimeout, work.BadRequest, os.ErrDeadlineExceeded)
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), c.ctx.Err() != nil:
		return
	default:
		x.refuse(http.StatusBadRequest, work.BadRequest, err)
	}
	c.linger()
}

// transaction is one request on a connection and its answer.
type transaction struct {
	connection *connection
	request    *http.Request
	limits     limits
	// body is the caller's body where it is streamed; nil where it was read.
	body *endReader
	// id names the request in the log.
	id id.Request
}

// run answers the request and tells whether the connection goes on.
func (x *transaction) run() bool {
	c, s := x.connection, x.connection.server
	if answer, ok := s.addresses(x.request); ok {
		x.id = id.NewRequest()
		return x.write(answer) && !x.ended()
	}
	req, err := s.dialect.Decode(x.request, time.Now())
	if err != nil {
		x.refuse(http.StatusBadRequest, work.BadRequest, err)
		c.linger()
		return false
	}
	x.id = req.ID
	release, err := x.readBody(req)
	defer release()
	if err != nil {
		x.refuseBody(err)
		c.linger()
		return false
	}
	c.setReadDeadline(0)
	started := time.Now()
	answer := s.handler.Handle(c.ctx, req)
	s.logAnswer(req, answer, time.Since(started), c.ctx.Err() != nil)
	if !x.write(answer) {
		return false
	}
	if x.ended() {
		c.linger()
		return false
	}
	return true
}

// ended tells whether the connection ends with this answer.
func (x *transaction) ended() bool {
	return x.request.Close || !x.request.ProtoAtLeast(1, 1) || x.connection.server.draining.Load() || x.body != nil && !x.body.ended
}

var errTooLarge = errors.New("body of the request is too large")

// readBody takes the body whole if it is small and there is memory, else as a
// stream. Release gives the memory back.
func (x *transaction) readBody(req *work.Request) (release func(), err error) {
	release = func() {}
	c, s, r := x.connection, x.connection.server, x.request
	size := unit.Bytes(r.ContentLength)
	if size > x.limits.Body {
		return release, errTooLarge
	}
	if size == 0 || r.Body == http.NoBody {
		return release, nil
	}
	if httpguts.HeaderValuesContainsToken(r.Header["Expect"], "100-continue") {
		if _, err := io.WriteString(c.conn, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return release, err
		}
	}
	x.body = &endReader{Reader: &pacedBody{connection: c, reader: r.Body, left: x.limits.Body}}
	take := s.cfg.Limits.BodyBuffer
	if size >= 0 {
		take = size
	}
	if size > s.cfg.Limits.BodyBuffer || !s.cfg.Memory.TryTake(take) {
		req.Body = work.Body{Rest: x.body, Size: size}
		return release, nil
	}
	release = func() { s.cfg.Memory.Release(take) }
	held, err := io.ReadAll(io.LimitReader(x.body, int64(take)))
	if err != nil {
		return release, err
	}
	if size >= 0 || unit.Bytes(len(held)) < take {
		x.body = nil
		req.Body = work.Body{Held: held, Size: unit.Bytes(len(held))}
		return release, nil
	}
	req.Body = work.Body{Held: held, Rest: x.body, Size: size}
	return release, nil
}

// pacedBody reads a body within its limit from a caller that may pause only for
// a while.
type pacedBody struct {
	connection *connection
	reader     io.Reader
	left       unit.Bytes
}

func (b *pacedBody) Read(p []byte) (int, error) {
	b.connection.setReadDeadline(b.connection.server.timing.Load().SlowCaller)
	n, err := b.reader.Read(p)
	b.left -= unit.Bytes(n)
	if b.left < 0 {
		return 0, errTooLarge
	}
	if err != nil {
		b.connection.setReadDeadline(0)
	}
	return n, err
}

func (x *transaction) refuseBody(err error) {
	switch {
	case errors.Is(err, errTooLarge):
		x.refuse(http.StatusRequestEntityTooLarge, work.RequestTooLarge, err)
	case errors.Is(err, os.ErrDeadlineExceeded):
		x.refuse(http.StatusRequestTimeout, work.BadRequest, err)
	default:
		x.refuse(http.StatusBadRequest, work.BadRequest, err)
	}
}

// refuse answers a request of which nothing was done, and ends the connection.
// Where the request has a key, an earlier arrival with the key may have run.
func (x *transaction) refuse(status int, reason work.Reason, err error) {
	known := outcome.NotRun
	if len(x.request.Header.Values(KeyField)) > 0 {
		known = outcome.Unknown
	}
	answer := work.Refuse(known, status, reason)
	answer.Held = append(answer.Held, err.Error()+"\n"...)
	answer.Size = unit.Bytes(len(answer.Held))
	if x.id == "" {
		x.id = id.NewRequest()
	}
	x.connection.server.cfg.Log.Info().Str("Request", string(x.id)).Int("Status", status).Str("Reason", string(reason)).
		AnErr("Cause", err).Msg("request cannot be read")
	x.request.Close = true
	x.write(answer)
}

// write writes an answer and closes it. It returns false where the connection
// cannot go on: an answer that is cut must not look complete.
func (x *transaction) write(a work.Answer) bool {
	defer a.Close()
	c := x.connection
	resp := &http.Response{
		StatusCode: a.Status, ProtoMajor: 1, ProtoMinor: 1, Request: x.request,
		Header: c.server.dialect.Encode(x.id, a), ContentLength: int64(a.Size), Close: x.ended(),
	}
	resp.Body = io.NopCloser(io.MultiReader(strings.NewReader(string(a.Held)), restOf(a)))
	if a.Size == 0 || x.request.Method == http.MethodHead {
		resp.Body = http.NoBody
	}
	if a.Size < 0 {
		resp.TransferEncoding = []string{"chunked"}
	}
	err := resp.Write(c.writer)
	if err == nil {
		err = c.writer.Flush()
	}
	if err != nil {
		c.server.cfg.Log.Info().Str("Request", string(x.id)).Int("Status", a.Status).Bool("CallerGone", c.ctx.Err() != nil).
			AnErr("Cause", err).Msg("answer was not written whole")
	}
	return err == nil
}

func restOf(a work.Answer) io.Reader {
	if a.Rest == nil {
		return http.NoBody
	}
	return a.Rest
}
