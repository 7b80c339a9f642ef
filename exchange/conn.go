// Package exchange runs one HTTP/1.1 request at a time on a connection to a
// target or a peer, and reports exactly how far it got. It never sends a
// request twice and never reuses a connection after an exchange that did not
// complete.
package exchange

import (
	"bufio"
	"crypto/sha256"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/briarrouter/briarrouter/memory"
	"github.com/briarrouter/briarrouter/message"
	"github.com/briarrouter/briarrouter/unit"
)

// conn counts the bytes written to a connection, so that an exchange can tell
// whether any byte was sent, and limits the bytes read.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// written counts the bytes of the current exchange that the operating system
	// accepted.
	written atomic.Int64
	// source is what reader reads from: the connection, up to a limit.
	source message.LimitedReader
	// meter reserves memory for the header section of a response.
	meter *memory.HeaderMeter
	// idleSince is when the last exchange ended; zero on a new connection.
	idleSince time.Time
	// idleLimit is the idle timeout that the server announced, less keepAliveMargin;
	// zero if it announced none.
	idleLimit time.Duration
	// echoes holds the ids of the last requests that got a response, at most
	// maxEchoes.
	echoes []string
	// unserved holds the ids of the requests that got a response other than a
	// successful one, at most maxUnserved. Such a request may be sent again, and then
	// must not use this connection: the target may repeat its earlier response, which
	// cannot be told from one to the later attempt.
	unserved []string
}

// maxEchoes is how many request ids a connection remembers, so that late
// duplicate responses to these requests are recognized and skipped. A connection
// on which a response was skipped is closed after the exchange.
const maxEchoes = 4

// maxUnserved is after how many responses other than successful ones a connection is
// closed, so that it never forgets one of them.
const maxUnserved = 16

var errHeaderTooLarge = errors.New("response header section exceeds the size limit")

func newConn(nc net.Conn, limiter *memory.Limiter) *conn {
	meter := memory.NewHeaderMeter(nc, limiter)
	c := &conn{Conn: nc, meter: meter, source: message.LimitedReader{Source: meter, Err: errHeaderTooLarge}}
	c.reader = bufio.NewReader(&c.source)
	c.liftReadLimit()
	return c
}

// Write counts the bytes that the operating system accepted.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written.Add(int64(n))
	return n, err
}

// maxRememberedID is the length up to which ids are remembered as they are. Longer ones,
// which may be as long as a header section, are remembered by their hash.
const maxRememberedID = 64

// rememberedID returns what a connection remembers of a request id.
func rememberedID(echo string) string {
	if len(echo) <= maxRememberedID {
		return echo
	}
	sum := sha256.Sum256([]byte(echo))
	return string(sum[:])
}

// recordEcho records the id of a request that got a response.
func (c *conn) recordEcho(echo string) {
	if echo == "" {
		return
	}
	if len(c.echoes) == maxEchoes {
		c.echoes = append(c.echoes[:0], c.echoes[1:]...)
	}
	c.echoes = append(c.echoes, rememberedID(echo))
}

// recordUnserved records that a request got a response other than a successful one, and
// reports whether the connection can be used for other requests. It cannot if the
// response carried no id.
func (c *conn) recordUnserved(echo string, identified bool) bool {
	c.unserved = append(c.unserved, rememberedID(echo))
	return identified && len(c.unserved) < maxUnserved
}

// mayCarry reports whether the connection may be used for a request.
func (c *conn) mayCarry(echo string) bool {
	return echo == "" || !slices.Contains(c.unserved, rememberedID(echo))
}

func (c *conn) hasEcho(echo string) bool { return slices.Contains(c.echoes, rememberedID(echo)) }

// begin resets the count of bytes written and the read limit for a new exchange.
func (c *conn) begin(headerLimit unit.Bytes) {
	c.written.Store(0)
	c.source.Remaining = headerLimit
	c.meter.Begin(false)
}

// endHeader ends the reading of a header section. It returns the memory that is reserved
// for it.
func (c *conn) endHeader() *memory.Reservation {
	c.liftReadLimit()
	c.meter.End()
	return c.meter.Take()
}

// Close closes the connection and releases the memory of a header section that was not
// read to its end.
func (c *conn) Close() error {
	c.meter.Close()
	return c.Conn.Close()
}

// liftReadLimit removes the read limit after the header section of a response:
// the body has limits of its own.
func (c *conn) liftReadLimit() { c.source.Remaining = math.MaxInt64 }

// keepAliveMargin is how long before the end of the server's idle timeout a
// connection is no longer used: a request in transit must arrive before the
// server closes the connection.
const keepAliveMargin = time.Second

// readKeepAlive reads the idle timeout from the Keep-Alive field of a response
// (RFC 2068, 19.7.1). It returns false if the timeout is too short to use the
// connection again.
func (c *conn) readKeepAlive(h http.Header) bool {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.Atoi(value); err == nil && name == "timeout" && seconds >= 0 {
			c.idleLimit = time.Duration(seconds)*time.Second - keepAliveMargin
			return c.idleLimit > 0
		}
	}
	return true
}

// idle returns how long the connection has been idle; negative for a new one.
func (c *conn) idle() time.Duration {
	if c.idleSince.IsZero() {
		return -1
	}
	return time.Since(c.idleSince)
}

// idleWithin reports whether the connection has been idle for at most limit and,
// if idleLimit is set, at most idleLimit.
func (c *conn) idleWithin(limit time.Duration) bool {
	if c.idleLimit > 0 {
		limit = min(limit, c.idleLimit)
	}
	return time.Since(c.idleSince) <= limit
}

// interrupt makes all current and later reads and writes of the connection
// fail.
func (c *conn) interrupt() { c.SetDeadline(time.Unix(1, 0)) }

var errUnexpectedBytes = errors.New("received data on an idle connection")

// checkIdle returns an error if an idle connection was closed or received data.
// It peeks at the socket without blocking.
func (c *conn) checkIdle() error {
	if c.reader.Buffered() > 0 {
		return errUnexpectedBytes
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return err
	}
	var peekErr error
	err = raw.Read(func(fd uintptr) bool {
		peekErr = peek(int(fd))
		return true
	})
	if err != nil {
		return err
	}
	return peekErr
}

func peek(fd int) error {
	var b [1]byte
	n, _, err := syscall.Recvfrom(fd, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	switch {
	case errors.Is(err, syscall.EAGAIN), errors.Is(err, syscall.EINTR):
		return nil
	case err != nil:
		return err
	case n > 0:
		return errUnexpectedBytes
	default:
		return io.EOF
	}
}
