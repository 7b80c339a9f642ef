package caller

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/briarrouter/briarrouter/departure"
	"github.com/briarrouter/briarrouter/id"
	"github.com/briarrouter/briarrouter/memory"
	"github.com/briarrouter/briarrouter/unit"
	"github.com/briarrouter/briarrouter/work"
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
	// section is the memory reserved for the header section that is being received or
	// that belongs to the request in progress.
	section *memory.Reservation
	// sectionSince is since when the rest of a header section is awaited, in nanoseconds
	// since 1970; zero if none is.
	sectionSince atomic.Int64
	// parsing is set while the connection's task holds Server.parsing.
	parsing bool
	// idleSince is since when the connection has been idle, in nanoseconds since 1970; zero
	// if it is not idle.
	idleSince atomic.Int64
	// used is set once a request was read.
	used atomic.Bool
	// receivesBody is set while the connection counts in Server.bodies.
	receivesBody atomic.Bool
	// yielded is set once the connection ends because its caller stands still.
	yielded atomic.Bool
	// window is how much more the operating system may receive for the body of the request;
	// zero if no more. Only the connection's task uses it.
	window unit.Bytes
	// progress changes where the connection's task goes from one step to the next.
	progress progress
	// lastRequest is the last request that was read, as it is logged; empty before one was.
	// Only the connection's task uses it.
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
	c.section = memory.NewReservation(s.cfg.Memory)
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
	// waitingSince is since when Write waits, in nanoseconds since 1970; zero if it does not.
	waitingSince atomic.Int64
}

// waitsSince returns since when a Write is in progress; false if none is.
func (w *timeoutWriter) waitsSince() (time.Time, bool) {
	at := w.waitingSince.Load()
	return time.Unix(0, at), at != 0
}

func (w *timeoutWriter) Write(b []byte) (int, error) {
	w.waitingSince.Store(time.Now().UnixNano())
	defer w.waitingSince.Store(0)
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
	defer c.section.Close()
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
	if c.yielded.Load() {
		return
	}
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
	if c.unparsed() == 0 {
		c.progress.enter(idle)
		c.idleSince.Store(time.Now().UnixNano())
		c.setReadDeadline(c.server.limits().IdleTimeout)
		err := c.input.awaitFirstByte()
		c.idleSince.Store(0)
		if err != nil {
			c.progress.finish(endingOf(err))
			return false
		}
	}
	c.progress.enter(receivingHead)
	limits := c.server.limits()
	c.setReadDeadline(limits.HeaderTimeout)
	defer c.endParsing()
	r, err := c.readRequest(limits)
	if err != nil {
		c.endParsing()
		c.refuseHeader(err)
		return false
	}
	x := &transaction{connection: c, request: r, limits: limits, arrivedAt: c.input.arrivedAt(c.unparsed())}
	defer c.section.Resize(0)
	defer c.endBody()
	return x.run()
}

// refuseHeader rejects a request whose header section cannot be read. A
// connection that ends between two requests or within a header section gets no
// response.
func (c *connection) refuseHeader(err error) {
	x := &transaction{connection: c, request: &http.Request{Method: http.MethodGet, ProtoMajor: 1, ProtoMinor: 1}}
	switch {
	case errors.Is(err, memory.ErrNoMemory), errors.Is(err, errYielded):
		// The part that has not arrived may hold a key.
		x.hasKey = c.server.cfg.Dialect == nil
		x.refuse(http.StatusServiceUnavailable, work.MemoryLimit, err)
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

// isLeaving reports whether a stop closes the connection after the response that is about
// to be written. As long as connections are accepted, requests that have arrived behind it
// are answered first.
func (c *connection) isLeaving() bool {
	s := c.server
	if !s.draining.Load() {
		return false
	}
	return !s.isAccepting() || c.ctx.Err() != nil || c.hasReadAll()
}
