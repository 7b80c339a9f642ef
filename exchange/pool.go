package exchange

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/briarrouter/briarrouter/id"
	"github.com/briarrouter/briarrouter/memory"
	"github.com/briarrouter/briarrouter/unit"
)

// Config configures a Pool.
type Config struct {
	Address id.Address
	// Connections limits the open connections. It must be at least 1.
	Connections int
	// DialTimeout bounds the dialing of a connection.
	DialTimeout time.Duration
	// IdleLimit is how long an idle connection is kept.
	IdleLimit time.Duration
	// HeaderLimit limits the header section of a response.
	HeaderLimit unit.Bytes
	// ResponseBuffer is the largest response body that is buffered whole.
	ResponseBuffer unit.Bytes
	// Memory limits the bytes of buffered bodies.
	Memory *memory.Limiter
	// Budget bounds the connections of several pools together; nil for no bound.
	Budget *Budget
	// Dial opens a connection; nil stands for net.Dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Pool is a pool of connections to one address. It is safe for concurrent use.
type Pool struct {
	cfg Config

	mu sync.Mutex
	// idle holds the connections without an exchange, the most recently used
	// last.
	idle []*conn
	// open counts the connections that are being dialed, in an exchange or idle;
	// it never exceeds Connections.
	open   int
	closed bool
	dials  int64
}

// New returns an empty pool.
func New(cfg Config) *Pool {
	if cfg.Dial == nil {
		cfg.Dial = (&net.Dialer{Timeout: cfg.DialTimeout}).DialContext
	}
	p := &Pool{cfg: cfg}
	cfg.Budget.add(p)
	return p
}

var errPoolFull = errors.New("connection pool is full or closed")

// acquire returns an idle connection that was used within maxIdle and may carry the
// request with the id echo, or a new one. Another connection stays in the pool for
// other calls; if the pool is full, it is closed to make room.
func (p *Pool) acquire(ctx context.Context, maxIdle time.Duration, echo string) (*conn, error) {
	for {
		c, err := p.acquireIdle()
		switch {
		case err != nil:
			return nil, err
		case c == nil:
			return p.dial(ctx)
		case c.checkIdle() != nil || !c.idleWithin(p.cfg.IdleLimit):
			p.discard(c)
		case c.idleWithin(maxIdle) && c.mayCarry(echo):
			return c, nil
		case p.returnUnused(c):
			return p.dial(ctx)
		default:
			p.discard(c)
		}
	}
}

// returnUnused returns an unused connection to the pool and reserves room for a
// new one. It returns false if the pool is full or closed; the connection then
// stays with the caller.
func (p *Pool) returnUnused(c *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open >= p.cfg.Connections || p.closed {
		return false
	}
	p.idle = append(p.idle, c)
	p.open++
	return true
}

// acquireIdle returns an idle connection. If there is none, it reserves room for
// a new one and returns nil.
func (p *Pool) acquireIdle() (*conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := len(p.idle); n > 0 {
		c := p.idle[n-1]
		p.idle = p.idle[:n-1]
		return c, nil
	}
	if p.open >= p.cfg.Connections || p.closed {
		return nil, errPoolFull
	}
	p.open++
	return nil, nil
}

// dial opens a connection, for which the pool has room.
func (p *Pool) dial(ctx context.Context) (*conn, error) {
	if !p.cfg.Budget.acquire() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.open--
		return nil, errPoolFull
	}
	ctx, cancel := context.WithTimeout(ctx, p.cfg.DialTimeout)
	defer cancel()
	nc, err := p.cfg.Dial(ctx, "tcp", string(p.cfg.Address))
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.cfg.Budget.release()
		p.open--
		return nil, err
	}
	p.dials++
	return newConn(nc, p.cfg.Memory), nil
}

// put returns a connection that can be used for another exchange to the pool.
func (p *Pool) put(c *conn) {
	c.idleSince = time.Now()
	p.mu.Lock()
	if !p.closed {
		p.idle = append(p.idle, c)
		p.mu.Unlock()
		return
	}
	p.mu.Unlock()
	p.discard(c)
}

func (p *Pool) discard(c *conn) {
	c.Close()
	p.cfg.Budget.release()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

// discardIdle closes the connection that has been idle longest and reports whether there
// was one.
func (p *Pool) discardIdle() bool {
	p.mu.Lock()
	if len(p.idle) == 0 {
		p.mu.Unlock()
		return false
	}
	c := p.idle[0]
	p.idle = p.idle[1:]
	p.mu.Unlock()
	p.discard(c)
	return true
}

// Trim closes connections that have been idle for longer than IdleLimit.
func (p *Pool) Trim(now time.Time) {
	p.mu.Lock()
	var kept, old []*conn
	for _, c := range p.idle {
		if now.Sub(c.idleSince) > p.cfg.IdleLimit {
			old = append(old, c)
			continue
		}
		kept = append(kept, c)
	}
	p.idle = kept
	p.mu.Unlock()
	for _, c := range old {
		p.discard(c)
	}
}

// Close closes the idle connections. The others are closed at the end of their
// exchange.
func (p *Pool) Close() {
	p.mu.Lock()
	idle := p.idle
	p.idle, p.closed = nil, true
	p.mu.Unlock()
	for _, c := range idle {
		p.discard(c)
	}
	p.cfg.Budget.remove(p)
}

// State is a pool's part of a dump.
type State struct {
	Open int
	Idle int
	// Dials counts the connections that were established.
	Dials int64
}

func (p *Pool) State() State {
	p.mu.Lock()
	defer p.mu.Unlock()
	return State{Open: p.open, Idle: len(p.idle), Dials: p.dials}
}
