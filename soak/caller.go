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

// The host and path prefixes of the routes. Requests to searchPath are
// idempotent, the others are not. Each published configuration assigns reassignedPath
// to another service than the previous configuration did.
const (
	callerHost     = "soak.example"
	searchPath     = "/search/"
	reservePath    = "/reserve/"
	reassignedPath = "/moving/"
)

// caller sends requests one after the other and never retries one. It keeps its
// connection until a request fails or the daemon closes the connection.
type caller struct {
	soak   *Soak
	random *rand.Rand
	domain id.FailureDomain
	// account is the client account that the caller belongs to.
	account id.Caller
	// addresses is the last list of addresses to connect to that a daemon returned.
	// After addressesExpire, the caller asks again, and keeps this list if it gets
	// no response.
	addresses       []id.Address
	addressesExpire time.Time
	conn            *platformtest.Connection
	// process is the daemon process at the other end of conn.
	process *daemonProcess
}

const (
	// callerTimeout is how long callers wait for a response.
	callerTimeout  = 2500 * time.Millisecond
	resolveTimeout = time.Second
	dialTimeout    = time.Second
	// maxBodySize is the exclusive limit of the size of request bodies, in bytes.
	maxBodySize = 40 << 10
)

// run sends requests until the context ends.
func (c *caller) run() {
	defer c.closeConn()
	ctx := c.soak.context
	for ctx.Err() == nil {
		clock.Sleep(ctx, time.Duration(c.random.ExpFloat64()*float64(c.soak.cfg.Pause)))
		if c.conn == nil && !c.connect(ctx) {
			continue
		}
		c.sendRequest()
	}
}

func (c *caller) closeConn() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// connect connects to one of the resolved addresses and reports whether it
// succeeded.
func (c *caller) connect(ctx context.Context) bool {
	if time.Now().After(c.addressesExpire) {
		c.resolve(ctx)
	}
	if len(c.addresses) == 0 {
		return false
	}
	address := c.addresses[c.random.IntN(len(c.addresses))]
	d := c.soak.daemonByAddress[address]
	if d == nil {
		c.soak.checker.recordViolation(OwnAnswer, "callers were directed to %s, which is not the address of a daemon", address)
		return false
	}
	p := d.current()
	if p == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := platformtest.Dial(ctx, address)
	if err != nil {
		return false
	}
	c.conn, c.process = conn, p
	return true
}

// resolve asks daemons for the addresses to connect to, until one responds or
// three have failed.
func (c *caller) resolve(ctx context.Context) {
	for range 3 {
		d := c.soak.daemons[c.random.IntN(len(c.soak.daemons))]
		ctx, cancel := context.WithTimeout(ctx, resolveTimeout)
		list, ttl, err := platformtest.Resolve(ctx, d.resolveAddress, callerHost, c.domain)
		cancel()
		if err == nil {
			c.addresses, c.addressesExpire = list, time.Now().Add(ttl)
			return
		}
	}
}

// sendRequest sends one request on the connection and reports its result to the
// checker.
func (c *caller) sendRequest() {
	path := []string{searchPath, reservePath, reassignedPath}[c.random.IntN(3)]
	key := c.soak.checker.drawKey(c.random, c.account)
	call := platformtest.Call{
		Request: id.Request(fmt.Sprintf("%016x", c.random.Uint64())), Host: callerHost, Path: path,
		Idempotent: path == searchPath, Timeout: callerTimeout, Key: key.text(),
	}
	if !call.Idempotent {
		call.Body = make([]byte, c.random.IntN(maxBodySize))
	}
	c.soak.checker.requestSent(call, c.process, key)
	response, written, err := c.conn.Do(call)
	c.soak.checker.requestEnded(call, response, written, err)
	if err != nil || response.Close || written.IsZero() {
		c.closeConn()
	}
}
