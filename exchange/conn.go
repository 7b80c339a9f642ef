// Package exchange runs one HTTP request at a time on a connection to a target
// or to a peer, and says exactly how far it came. It never sends a request
// twice and never reuses a connection whose last exchange is in doubt.
package exchange

import (
	"bufio"
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

	"github.com/briarrouter/briarrouter/unit"
)

// conn is one connection. It counts what is written and bounds what is read,
// so that the caller of an exchange knows whether a byte left.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// written counts the bytes that the current exchange handed over.
	written atomic.Int64
	// readLimit is how many bytes may still be read.
	readLimit int64
	// idleSince is when the last exchange ended; zero on a new connection.
	idleSince time.Time
	// idleLimit is how long the other side said that it keeps the connection
	// idle; zero where it did not say.
	idleLimit time.Duration
	// echoes holds the ids of the last requests that were answered, at most
	// maxEchoes.
	echoes []string
}

// maxEchoes is how many earlier requests of a connection may be answered once
// more; each answer that is skipped closes the connection at the end.
const maxEchoes = 4

var errHeadTooLarge = errors.New("head of the answer is too large")

func newConn(nc net.Conn) *conn {
	c := &conn{Conn: nc, readLimit: math.MaxInt64}
	c.reader = bufio.NewReader(limited{c})
	return c
}

// limited reads from a connection within its limit.
type limited struct{ conn *conn }

func (l limited) Read(p []byte) (int, error) {
	c := l.conn
	if c.readLimit <= 0 {
		return 0, errHeadTooLarge
	}
	if int64(len(p)) > c.readLimit {
		p = p[:c.readLimit]
	}
	n, err := c.Conn.Read(p)
	c.readLimit -= int64(n)
	return n, err
}

// Write counts the bytes that the kernel took.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written.Add(int64(n))
	return n, err
}

// answered notes that the request with the id was answered.
func (c *conn) answered(echo string) {
	if echo == "" {
		return
	}
	if len(c.echoes) == maxEchoes {
		c.echoes = append(c.echoes[:0], c.echoes[1:]...)
	}
	c.echoes = append(c.echoes, echo)
}

func (c *conn) answeredBefore(echo string) bool { return slices.Contains(c.echoes, echo) }

// begin prepares the connection for an exchange.
func (c *conn) begin(headLimit unit.Bytes) {
	c.written.Store(0)
	c.readLimit = int64(headLimit)
}

// headDone lifts the limit: the body has limits of its own.
func (c *conn) headDone() { c.readLimit = math.MaxInt64 }

// keepMargin is how much sooner than the other side a connection is given up:
// a request on its way must arrive before the other side closes.
const keepMargin = time.Second

// keep takes the time from the Keep-Alive field of an answer (RFC 2068, 19.7.1).
func (c *conn) keep(h http.Header) {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.Atoi(value); err == nil && name == "timeout" && seconds >= 0 {
			c.idleLimit = max(0, time.Duration(seconds)*time.Second-keepMargin)
		}
	}
}

// idle returns how long the connection has been idle; negative for a new one.
func (c *conn) idle() time.Duration {
	if c.idleSince.IsZero() {
		return -1
	}
	return time.Since(c.idleSince)
}

// fresh tells whether the connection was idle for no longer than the limit and
// than the other side allows.
func (c *conn) fresh(limit time.Duration) bool {
	if c.idleLimit > 0 {
		limit = min(limit, c.idleLimit)
	}
	return time.Since(c.idleSince) <= limit
}

// interrupt makes every read and write of the connection fail now.
func (c *conn) interrupt() { c.SetDeadline(time.Unix(1, 0)) }

var errUnexpectedBytes = errors.New("bytes arrived outside of an exchange")

// alive tells whether an idle connection is still open and silent. It asks the
// operating system without waiting.
func (c *conn) alive() error {
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
