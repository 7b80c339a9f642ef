package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/briarrouter/briarrouter/clock"
	"github.com/briarrouter/briarrouter/id"
	"github.com/briarrouter/briarrouter/platform/platformtest"
)

// The routes that callers use. The moving one goes to another service with each
// configuration.
const (
	callerHost = "soak.example"
	safePath   = "/search/"
	unsafePath = "/reserve/"
	movingPath = "/moving/"
)

// caller is one caller. It asks where to connect, keeps its connection for as
// long as it works, and never repeats a request.
type caller struct {
	soak   *Soak
	random *rand.Rand
	domain id.FailureDomain
	// addresses is the last answer about addresses, of use until the given time.
	addresses []id.Address
	until     time.Time
	conn      *platformtest.Connection
	// to is the run of the daemon behind conn.
	to *daemonRun
}

const (
	// callerDeadline is how long callers wait.
	callerDeadline = 2500 * time.Millisecond
	// resolveTime bounds the question where to connect, dialTime a connection.
	resolveTime = time.Second
	dialTime    = time.Second
	// bodySize bounds the bodies that callers send.
	bodySize = 40 << 10
)

// run sends requests until the context ends.
func (c *caller) run() {
	defer c.hangUp()
	ctx := c.soak.context
	for ctx.Err() == nil {
		clock.Sleep(ctx, time.Duration(c.random.ExpFloat64()*float64(c.soak.cfg.Pause)))
		if c.conn == nil && !c.connect(ctx) {
			continue
		}
		c.ask()
	}
}

func (c *caller) hangUp() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// connect connects to one of the addresses that callers shall use.
func (c *caller) connect(ctx context.Context) bool {
	if time.Now().After(c.until) {
		c.resolve(ctx)
	}
	if len(c.addresses) == 0 {
		return false
	}
	address := c.addresses[c.random.IntN(len(c.addresses))]
	d := c.soak.byCallers[address]
	if d == nil {
		c.soak.promises.note(OwnAnswer, "callers are told to use %s, where no daemon is", address)
		return false
	}
	r := d.current()
	if r == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, dialTime)
	defer cancel()
	conn, err := platformtest.Dial(ctx, address)
	if err != nil {
		return false
	}
	c.conn, c.to = conn, r
	return true
}

// resolve asks up to three daemons where to connect.
func (c *caller) resolve(ctx context.Context) {
	for range 3 {
		d := c.soak.daemons[c.random.IntN(len(c.soak.daemons))]
		ctx, cancel := context.WithTimeout(ctx, resolveTime)
		list, ttl, err := platformtest.Resolve(ctx, d.resolve, callerHost, c.domain)
		cancel()
		if err == nil {
			c.addresses, c.until = list, time.Now().Add(ttl)
			return
		}
	}
}

// ask sends one request on the connection.
func (c *caller) ask() {
	path := []string{safePath, unsafePath, movingPath}[c.random.IntN(3)]
	call := platformtest.Call{
		Request: id.Request(fmt.Sprintf("%016x", c.random.Uint64())), Host: callerHost, Path: path,
		Idempotent: path == safePath, Deadline: callerDeadline,
	}
	if !call.Idempotent {
		call.Body = make([]byte, c.random.IntN(bodySize))
	}
	c.soak.promises.sends(call, c.to)
	reply, written, err := c.conn.Do(call)
	c.soak.promises.ended(call, reply, written, err)
	if err != nil || reply.Last {
		c.hangUp()
	}
}
