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

// impairment is what a proxy does to its connections. The zero value forwards
// data unchanged.
type impairment struct {
	// delay is added to each chunk of data, in both directions.
	delay time.Duration
	// dropIn discards the data sent to the upstream address, dropOut the data that
	// comes from it. The connection stays open.
	dropIn, dropOut bool
	// refuse resets new connections.
	refuse bool
}

// proxy forwards TCP connections to one upstream address, which is that of a
// daemon, a target or the store, and can impair them.
type proxy struct {
	listener net.Listener
	group    conc.WaitGroup

	mu         sync.Mutex
	upstream   id.Address
	impairment impairment
	openConns  map[*proxiedConn]bool
}

// newProxy starts a proxy on a free port.
func newProxy(upstream id.Address) (*proxy, error) {
	listener, err := platformtest.Listen("")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, upstream: upstream, openConns: make(map[*proxiedConn]bool)}
	p.group.Go(p.run)
	return p, nil
}

func (p *proxy) address() id.Address { return id.Address(p.listener.Addr().String()) }

// run accepts connections until the listener is closed.
func (p *proxy) run() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		c := &proxiedConn{proxy: p, client: conn}
		p.group.Go(c.run)
	}
}

func (p *proxy) currentImpairment() impairment {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.impairment
}

func (p *proxy) setImpairment(i impairment) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.impairment = i
}

// reset resets each open connection with the given probability.
func (p *proxy) reset(random *rand.Rand, probability float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.openConns {
		if random.Float64() < probability {
			c.reset()
		}
	}
}

// close stops the proxy and resets its connections.
func (p *proxy) close() {
	p.listener.Close()
	p.mu.Lock()
	for c := range p.openConns {
		c.reset()
	}
	p.mu.Unlock()
	p.group.Wait()
}

// proxiedConn is a client's connection to a proxy together with the connection to
// the upstream address that it is forwarded to.
type proxiedConn struct {
	proxy *proxy
	// upstream is nil until it is dialled.
	client, upstream net.Conn
}

// reset closes both sides with a TCP RST.
func (c *proxiedConn) reset() {
	for _, conn := range []net.Conn{c.client, c.upstream} {
		if tcp, ok := conn.(*net.TCPConn); ok {
			// A linger time of 0 makes Close send RST instead of FIN.
			_ = tcp.SetLinger(0)
			tcp.Close()
		}
	}
}

func (c *proxiedConn) run() {
	p := c.proxy
	if p.currentImpairment().refuse {
		c.reset()
		return
	}
	p.mu.Lock()
	address := p.upstream
	p.mu.Unlock()
	upstream, err := net.Dial("tcp", string(address))
	if err != nil {
		c.reset()
		return
	}
	c.upstream = upstream
	p.mu.Lock()
	p.openConns[c] = true
	p.mu.Unlock()
	var group conc.WaitGroup
	in := flow{conn: c, from: c.client, to: c.upstream, drops: func(i impairment) bool { return i.dropIn }}
	out := flow{conn: c, from: c.upstream, to: c.client, drops: func(i impairment) bool { return i.dropOut }}
	group.Go(in.run)
	group.Go(out.run)
	group.Wait()
	p.mu.Lock()
	delete(p.openConns, c)
	p.mu.Unlock()
	c.client.Close()
	c.upstream.Close()
}

// flow copies the data of one direction of a connection.
type flow struct {
	conn     *proxiedConn
	from, to net.Conn
	// drops tells whether an impairment discards the data of this direction.
	drops func(impairment) bool
}

// chunkSize is the maximum number of bytes copied at once.
const chunkSize = 16 << 10

// run copies data until the end of the stream. Once data has been dropped, all
// later data of this direction is dropped too, because a TCP stream has no gaps.
func (f *flow) run() {
	buffer := make([]byte, chunkSize)
	dropping := false
	for {
		n, err := f.from.Read(buffer)
		i := f.conn.proxy.currentImpairment()
		dropping = dropping || n > 0 && f.drops(i)
		if i.delay > 0 {
			time.Sleep(i.delay)
		}
		if n > 0 && !dropping {
			if _, err := f.to.Write(buffer[:n]); err != nil {
				f.conn.reset()
				return
			}
		}
		if err == io.EOF {
			if tcp, ok := f.to.(*net.TCPConn); ok && !dropping {
				// The other side may have closed the connection already.
				_ = tcp.CloseWrite()
			}
			return
		}
		if err != nil {
			f.conn.reset()
			return
		}
	}
}
