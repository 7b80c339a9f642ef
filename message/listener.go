package message

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/briarrouter/briarrouter/memory"
	"github.com/briarrouter/briarrouter/socket"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
)

// limitedListener bounds the open connections and meters the header sections on them.
// While all places are taken and a connection waits, the one that has waited longest for
// its client yields its place.
type limitedListener struct {
	net.Listener
	cfg ServerConfig
	// places holds an element for each open connection; nil for no bound.
	places chan struct{}
	yields tally.Counter
	// closed is closed when the listener is.
	closed    chan struct{}
	closeOnce sync.Once

	mu sync.Mutex
	// connections is the set of open connections, guarded by mu.
	connections map[*limitedConn]bool
}

func newListener(l net.Listener, cfg ServerConfig) net.Listener {
	limited := &limitedListener{Listener: l, cfg: cfg, closed: make(chan struct{}), connections: make(map[*limitedConn]bool)}
	scope := cfg.Scope
	if scope == nil {
		scope = tally.NoopScope
	}
	limited.yields = scope.Tagged(map[string]string{"server": cfg.Name}).Counter("server_connections_yielded")
	limited.cfg.Log = cfg.Log.Sample(&zerolog.BurstSampler{Burst: 1, Period: yieldLogPeriod})
	if cfg.Connections > 0 {
		limited.places = make(chan struct{}, cfg.Connections)
	}
	return limited
}

const (
	// placePoll is the interval at which a listener whose places are all taken looks for
	// connections that wait.
	placePoll = 5 * time.Millisecond
	// yieldLogPeriod bounds the log lines about connections that yielded.
	yieldLogPeriod = time.Second
)

func (l *limitedListener) Accept() (net.Conn, error) {
	if !l.acquirePlace() {
		return nil, net.ErrClosed
	}
	nc, err := l.Listener.Accept()
	if err != nil {
		l.releasePlace()
		return nil, err
	}
	c := &limitedConn{Conn: nc, listener: l}
	c.activeAt.Store(time.Now().UnixNano())
	if l.cfg.Memory != nil {
		c.meter = memory.NewHeaderMeter(nc, l.cfg.Memory)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.connections[c] = true
	return c, nil
}

// acquirePlace waits for a place and returns false if the listener is closed first.
func (l *limitedListener) acquirePlace() bool {
	if l.places == nil {
		return true
	}
	select {
	case l.places <- struct{}{}:
		return true
	default:
	}
	ticker := time.NewTicker(placePoll)
	defer ticker.Stop()
	for {
		if socket.HasInput(l.Listener) {
			l.closeLongestWaiting(time.Now())
		}
		select {
		case l.places <- struct{}{}:
			return true
		case <-l.closed:
			return false
		case <-ticker.C:
		}
	}
}

func (l *limitedListener) releasePlace() {
	if l.places != nil {
		<-l.places
	}
}

// closeLongestWaiting closes the connection that has waited longest for its client, if
// there is one.
func (l *limitedListener) closeLongestWaiting(now time.Time) {
	if c := l.longestWaiting(now); c != nil {
		c.Close()
		l.yields.Inc(1)
		l.cfg.Log.Info().Str("Server", l.cfg.Name).Str("Client", c.RemoteAddr().String()).
			Msg("all connections are taken; the one that waited longest for its client is closed")
	}
}

func (l *limitedListener) longestWaiting(now time.Time) *limitedConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	var longest *limitedConn
	var since time.Time
	for c := range l.connections {
		if at, ok := c.waitsSince(now); ok && (longest == nil || at.Before(since)) {
			longest, since = c, at
		}
	}
	return longest
}

func (l *limitedListener) remove(c *limitedConn) {
	l.mu.Lock()
	delete(l.connections, c)
	l.mu.Unlock()
	l.releasePlace()
}

func (l *limitedListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// limitedConn is a connection of a limitedListener. Times are in nanoseconds since 1970.
type limitedConn struct {
	net.Conn
	listener *limitedListener
	// meter is nil if header sections are not metered.
	meter *memory.HeaderMeter
	// handling is set while a request is handled.
	handling atomic.Bool
	// activeAt is when the connection was accepted, last received something or last ended a
	// request.
	activeAt atomic.Int64
	// bodySince and writeSince are since when a handler waits for a body, and for the client
	// to take a response; zero if it does not.
	bodySince, writeSince atomic.Int64
	closeOnce             sync.Once
}

const (
	// minHeadWait is how long a connection without a request in progress has waited at
	// least when it yields, so that a header section which has just been read is handled.
	minHeadWait = 5 * time.Millisecond
	// minTransferWait is the same for a body or a response, which may pause for a round trip.
	minTransferWait = 20 * time.Millisecond
)

// waitsSince returns since when the connection waits for its client; false if it does not,
// or has not for long enough to yield.
func (c *limitedConn) waitsSince(now time.Time) (time.Time, bool) {
	if since := max(c.bodySince.Load(), c.writeSince.Load()); since != 0 {
		at := time.Unix(0, since)
		return at, now.Sub(at) >= minTransferWait
	}
	at := time.Unix(0, c.activeAt.Load())
	return at, !c.handling.Load() && now.Sub(at) >= minHeadWait && !socket.HasInput(c.Conn)
}

func (c *limitedConn) Read(p []byte) (n int, err error) {
	if c.meter == nil {
		n, err = c.Conn.Read(p)
	} else {
		n, err = c.meter.Read(p)
	}
	if n > 0 {
		c.activeAt.Store(time.Now().UnixNano())
	}
	return n, err
}

func (c *limitedConn) Write(p []byte) (int, error) {
	c.writeSince.Store(time.Now().UnixNano())
	defer c.writeSince.Store(0)
	return c.Conn.Write(p)
}

// CloseWrite closes the sending side, so that net/http can let the client read a refusal
// before it closes the connection.
func (c *limitedConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

func (c *limitedConn) Close() error {
	c.closeOnce.Do(func() {
		if c.meter != nil {
			c.meter.Close()
		}
		c.listener.remove(c)
	})
	return c.Conn.Close()
}

// beginRequest and endRequest mark the time in which a request is handled.
func (c *limitedConn) beginRequest() {
	if c.meter != nil {
		c.meter.End()
	}
	c.handling.Store(true)
}

func (c *limitedConn) endRequest() {
	c.activeAt.Store(time.Now().UnixNano())
	c.handling.Store(false)
}

type connKey struct{}

// connContext and connState are hooks of http.Server that pass the connection to the
// handler and meter each header section.
func connContext(ctx context.Context, nc net.Conn) context.Context {
	if c, ok := nc.(*limitedConn); ok {
		return context.WithValue(ctx, connKey{}, c)
	}
	return ctx
}

func connState(nc net.Conn, state http.ConnState) {
	if c, ok := nc.(*limitedConn); ok && c.meter != nil && (state == http.StateNew || state == http.StateIdle) {
		c.meter.Begin(state == http.StateIdle)
	}
}

// connectionOf returns the connection of a request; nil if it is not one of a Server.
func connectionOf(ctx context.Context) *limitedConn {
	c, _ := ctx.Value(connKey{}).(*limitedConn)
	return c
}

// waitingBody is a request body that marks the time in which it is awaited.
type waitingBody struct {
	io.ReadCloser
	conn *limitedConn
}

func (b waitingBody) Read(p []byte) (int, error) {
	b.conn.bodySince.Store(time.Now().UnixNano())
	defer b.conn.bodySince.Store(0)
	return b.ReadCloser.Read(p)
}
