package soak

import (
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/briarrouter/briarrouter/id"
	"github.com/briarrouter/briarrouter/platform/platformtest"
	"github.com/sourcegraph/conc"
)

// Trouble is what a proxy does to the connections through it.
type Trouble struct {
	// Delay is added to each piece of data, in each direction.
	Delay time.Duration
	// DropIn and DropOut swallow what goes to the process behind the proxy, or
	// comes from it. Neither side sees anything of it.
	DropIn, DropOut bool
	// Refuse resets new connections.
	Refuse bool
}

// proxy stands before one address of a process and troubles what goes through.
type proxy struct {
	listener net.Listener
	group    conc.WaitGroup

	mu sync.Mutex
	// to is where the process listens.
	to      id.Address
	trouble Trouble
	// pairs holds the connections that are open.
	pairs map[*pair]bool
}

// newProxy returns a proxy that listens on a port of its own.
func newProxy(to id.Address) (*proxy, error) {
	listener, err := platformtest.Listen("")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, to: to, pairs: make(map[*pair]bool)}
	p.group.Go(p.run)
	return p, nil
}

func (p *proxy) address() id.Address { return id.Address(p.listener.Addr().String()) }

// run takes connections until the listener is closed.
func (p *proxy) run() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		c := &pair{proxy: p, outer: conn}
		p.group.Go(c.run)
	}
}

func (p *proxy) now() Trouble {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.trouble
}

func (p *proxy) set(t Trouble) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.trouble = t
}

// reset resets a share of the open connections.
func (p *proxy) reset(random *rand.Rand, share float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.pairs {
		if random.Float64() < share {
			c.reset()
		}
	}
}

// close ends the proxy with its connections.
func (p *proxy) close() {
	p.listener.Close()
	p.mu.Lock()
	for c := range p.pairs {
		c.reset()
	}
	p.mu.Unlock()
	p.group.Wait()
}

// pair is one connection through a proxy.
type pair struct {
	proxy        *proxy
	outer, inner net.Conn
}

// reset ends both sides without the usual farewell.
func (c *pair) reset() {
	for _, conn := range []net.Conn{c.outer, c.inner} {
		if tcp, ok := conn.(*net.TCPConn); ok {
			// Without a linger time the close is a reset.
			_ = tcp.SetLinger(0)
			tcp.Close()
		}
	}
}

func (c *pair) run() {
	p := c.proxy
	if p.now().Refuse {
		c.reset()
		return
	}
	p.mu.Lock()
	to := p.to
	p.mu.Unlock()
	inner, err := net.Dial("tcp", string(to))
	if err != nil {
		c.reset()
		return
	}
	c.inner = inner
	p.mu.Lock()
	p.pairs[c] = true
	p.mu.Unlock()
	var group conc.WaitGroup
	in := flow{pair: c, from: c.outer, to: c.inner, drops: func(t Trouble) bool { return t.DropIn }}
	out := flow{pair: c, from: c.inner, to: c.outer, drops: func(t Trouble) bool { return t.DropOut }}
	group.Go(in.run)
	group.Go(out.run)
	group.Wait()
	p.mu.Lock()
	delete(p.pairs, c)
	p.mu.Unlock()
	c.outer.Close()
	c.inner.Close()
}

// flow is one direction of a pair.
type flow struct {
	pair     *pair
	from, to net.Conn
	drops    func(Trouble) bool
}

// chunk is how much is passed on at once.
const chunk = 16 << 10

// run passes data on to its end. A direction that drops data once is lost for
// good: what follows a gap must not arrive.
func (f *flow) run() {
	buffer := make([]byte, chunk)
	lost := false
	for {
		n, err := f.from.Read(buffer)
		t := f.pair.proxy.now()
		lost = lost || n > 0 && f.drops(t)
		if t.Delay > 0 {
			time.Sleep(t.Delay)
		}
		if n > 0 && !lost {
			if _, err := f.to.Write(buffer[:n]); err != nil {
				f.pair.reset()
				return
			}
		}
		if err == io.EOF {
			if tcp, ok := f.to.(*net.TCPConn); ok && !lost {
				// The other side may be gone already.
				_ = tcp.CloseWrite()
			}
			return
		}
		if err != nil {
			f.pair.reset()
			return
		}
	}
}
