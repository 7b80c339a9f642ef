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

// Config makes a Pool.
type Config struct {
	Address id.Address
	// Connections bounds the open connections; at least 1.
	Connections int
	// DialTimeout bounds the making of a connection.
	DialTimeout time.Duration
	// IdleLimit is how long an idle connection is kept.
	IdleLimit time.Duration
	// HeadLimit bounds the head of an answer.
	HeadLimit unit.Bytes
	// AnswerBuffer is the largest answer that is held whole.
	AnswerBuffer unit.Bytes
	// Memory counts what is held.
	Memory *memory.Gate
	// Dial makes a connection; net.Dialer's where it is nil.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Pool is the connections to one address.
type Pool struct {
	cfg Config

	mu sync.Mutex
	// idle holds the connections without an exchange, the last used last.
	idle []*conn
	// open counts idle connections and those in an exchange; at most
	// Connections.
	open   int
	closed bool
	dials  int64
}

// New returns a pool without connections.
func New(cfg Config) *Pool {
	if cfg.Dial == nil {
		cfg.Dial = (&net.Dialer{Timeout: cfg.DialTimeout}).DialContext
	}
	return &Pool{cfg: cfg}
}

var errPoolFull = errors.New("every connection to the address is taken")

// take returns an idle connection that was used within maxIdle, or a new one. A
// connection that was idle for longer stays for those who mind less.
func (p *Pool) take(ctx context.Context, maxIdle time.Duration) (*conn, error) {
	for {
		c, err := p.takeIdle()
		switch {
		case err != nil:
			return nil, err
		case c == nil:
			return p.dial(ctx)
		case c.alive() != nil || !c.fresh(p.cfg.IdleLimit):
			p.discard(c)
		case c.fresh(maxIdle):
			return c, nil
		case p.giveBack(c):
			return p.dial(ctx)
		default:
			p.discard(c)
		}
	}
}

// giveBack puts a connection back that was not used, and takes the right to dial
// another one. It returns false where there is no such right.
func (p *Pool) giveBack(c *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open >= p.cfg.Connections || p.closed {
		return false
	}
	p.idle = append(p.idle, c)
	p.open++
	return true
}

// takeIdle returns an idle connection, or nil with the right to dial one.
func (p *Pool) takeIdle() (*conn, error) {
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

func (p *Pool) dial(ctx context.Context) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, p.cfg.DialTimeout)
	defer cancel()
	nc, err := p.cfg.Dial(ctx, "tcp", string(p.cfg.Address))
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.open--
		return nil, err
	}
	p.dials++
	return newConn(nc), nil
}

// put makes a connection available again after an exchange that ended well.
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
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

// Trim closes connections that were idle for longer than IdleLimit.
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

// Close closes the idle connections; those in an exchange close at its end.
func (p *Pool) Close() {
	p.mu.Lock()
	idle := p.idle
	p.idle, p.closed = nil, true
	p.mu.Unlock()
	for _, c := range idle {
		p.discard(c)
	}
}

// State is a pool's part of a dump.
type State struct {
	Open  int
	Idle  int
	Dials int64
}

// State returns the number of connections.
func (p *Pool) State() State {
	p.mu.Lock()
	defer p.mu.Unlock()
	return State{Open: p.open, Idle: len(p.idle), Dials: p.dials}
}
