package scripttest

import (
	"net"
	"os"
	"slices"
	"sync"
	"time"
)

// Link is a link that carries a limited rate.
type Link struct {
	// Rate is in bytes a second.
	Rate float64

	mu sync.Mutex
	// free is when the link has carried all that was sent so far.
	free time.Time
}

// reserve returns when the link will have carried the bytes.
func (l *Link) reserve(now time.Time, bytes int) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.free.Before(now) {
		l.free = now
	}
	l.free = l.free.Add(time.Duration(float64(bytes) / l.Rate * float64(time.Second)))
	return l.free
}

// LinkConn is a connection of which each write takes as long as its links need.
type LinkConn struct {
	net.Conn
	Links []*Link

	mu       sync.Mutex
	deadline time.Time
}

func (c *LinkConn) SetDeadline(t time.Time) error {
	if err := c.SetWriteDeadline(t); err != nil {
		return err
	}
	return c.Conn.SetReadDeadline(t)
}

func (c *LinkConn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	c.deadline = t
	c.mu.Unlock()
	return c.Conn.SetWriteDeadline(t)
}

// packet is how much arrives at once.
const packet = 4 << 10

func (c *LinkConn) Write(p []byte) (int, error) {
	written := 0
	for piece := range slices.Chunk(p, packet) {
		n, err := c.writePacket(piece)
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

func (c *LinkConn) writePacket(p []byte) (int, error) {
	now := time.Now()
	var done time.Time
	for _, l := range c.Links {
		if at := l.reserve(now, len(p)); at.After(done) {
			done = at
		}
	}
	c.mu.Lock()
	deadline := c.deadline
	c.mu.Unlock()
	if !deadline.IsZero() && deadline.Before(done) {
		time.Sleep(deadline.Sub(now))
		return 0, os.ErrDeadlineExceeded
	}
	time.Sleep(done.Sub(now))
	return c.Conn.Write(p)
}

// PipeListener accepts the connections that Connect makes.
type PipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func NewPipeListener() *PipeListener {
	return &PipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

// Connect returns the client's side of a new connection, over which the server sends
// through the links.
func (l *PipeListener) Connect(links ...*Link) net.Conn {
	here, there := net.Pipe()
	l.conns <- &LinkConn{Conn: there, Links: links}
	return here
}

func (l *PipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *PipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *PipeListener) Addr() net.Addr { return &net.TCPAddr{} }
