package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/briarrouter/briarrouter/clock"
	"github.com/briarrouter/briarrouter/id"
	"github.com/briarrouter/briarrouter/platform/platformtest"
)

// habit is how a caller uses its addresses and connections. The zero value follows the
// responses of the daemons.
type habit struct {
	// staleList keeps a list of addresses three times too long, keepConn a connection
	// to an address that is no longer listed, and newConn none for a second request.
	staleList, keepConn, newConn bool
	// rare multiplies the pauses; values below 1 count as 1.
	rare float64
	// pipelined is the maximum number of idempotent requests sent at once; 0 for
	// callers that do not pipeline.
	pipelined int
	// path is the path of all requests; empty for callers that send all kinds.
	path string
	// bodyTime is the exclusive limit of the time in which a body is sent, readTime
	// that in which a response is read.
	bodyTime, readTime time.Duration
}

var habits = []habit{
	{},
	{newConn: true, staleList: true},
	{staleList: true},
	{keepConn: true, staleList: true, rare: 4},
	{pipelined: 4, keepConn: true, staleList: true},
	{path: uploadPath, staleList: true, bodyTime: 3500 * time.Millisecond, rare: 3},
	{path: exportPath, staleList: true, readTime: slowReadTime, rare: 3},
	{newConn: true},
}

const (
	staleFactor = 3
	// slowReadTime bounds the time in which a slow caller reads a response.
	slowReadTime = 4 * time.Second
	// slowReadBuffer is the receive buffer of callers that read slowly.
	slowReadBuffer = 64 << 10
	readPieceSize  = 4 << 10
)

// plannedCaller sends requests with a habit while planned work happens, and never
// retries one.
type plannedCaller struct {
	soak   *Soak
	random *rand.Rand
	domain id.FailureDomain
	habit  habit
	// addresses holds the addresses that a daemon returned last.
	addresses       []id.Address
	addressesExpire time.Time
	// conn is nil between connections; daemon and process are at its other end.
	conn    *platformtest.Connection
	daemon  *daemon
	process *daemonProcess
}

// run sends requests until the context ends.
func (c *plannedCaller) run() {
	defer c.closeConn()
	ctx := c.soak.context
	for ctx.Err() == nil {
		clock.Sleep(ctx, time.Duration(c.random.ExpFloat64()*max(1, c.habit.rare)*float64(c.soak.cfg.Pause)))
		c.refreshAddresses(ctx)
		if c.conn == nil && (len(c.addresses) == 0 || !c.connect(ctx, c.soak.daemonByAddress[c.addresses[c.random.IntN(len(c.addresses))]])) {
			continue
		}
		c.sendRequests()
		if c.habit.newConn {
			c.closeConn()
		}
	}
}

func (c *plannedCaller) closeConn() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// refreshAddresses asks for addresses when those known have expired. It closes a
// connection to an address that is no longer listed, unless the habit keeps it.
func (c *plannedCaller) refreshAddresses(ctx context.Context) {
	if time.Now().Before(c.addressesExpire) {
		return
	}
	for range 3 {
		d := c.soak.daemons[c.random.IntN(len(c.soak.daemons))]
		ctx, cancel := context.WithTimeout(ctx, resolveTimeout)
		list, ttl, err := platformtest.Resolve(ctx, d.resolveAddress, callerHost, c.domain)
		cancel()
		if err != nil {
			continue
		}
		if c.habit.staleList {
			ttl *= staleFactor
		}
		c.addresses, c.addressesExpire = list, time.Now().Add(ttl)
		if c.conn != nil && !c.habit.keepConn && !slices.Contains(list, c.daemon.callerAddress) {
			c.closeConn()
		}
		return
	}
}

// connect connects to a daemon and reports whether it succeeded, and whether the process
// at the other end is known.
func (c *plannedCaller) connect(ctx context.Context, d *daemon) bool {
	if d == nil {
		c.soak.checker.recordViolation(OwnAnswer, "callers were directed to an address that is not that of a daemon")
		return false
	}
	p := d.current()
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := platformtest.Dial(ctx, d.callerAddress)
	if err != nil {
		return false
	}
	if p == nil || d.current() != p {
		conn.Close()
		return false
	}
	if c.habit.readTime > 0 {
		err = conn.SetReadBuffer(slowReadBuffer)
	}
	c.conn, c.daemon, c.process = conn, d, p
	return err == nil
}

// drawCall draws a request of the habit; all are idempotent if only these may be sent.
func (c *plannedCaller) drawCall(idempotent bool) platformtest.Call {
	k := drawKind(c.random)
	switch {
	case c.habit.path != "":
		k = findKind(c.habit.path)
	case idempotent:
		k = &requestKinds[c.random.IntN(idempotentKinds-1)]
	}
	call := platformtest.Call{
		Request: id.Request(fmt.Sprintf("%016x", c.random.Uint64())), Host: callerHost, Path: k.path, Idempotent: k.idempotent, Timeout: k.deadline,
	}
	if k.variants > 0 {
		call.Path = k.variantPath(c.random.IntN(k.variants))
	}
	if k.body > 0 {
		call.Body, call.Chunked = make([]byte, k.body+c.random.IntN(k.body)), c.random.IntN(2) == 0
	}
	if c.habit.bodyTime > 0 {
		call.BodyTime = time.Duration(c.random.Int64N(int64(c.habit.bodyTime)))
	}
	if c.habit.readTime > 0 {
		call.ReadPause = time.Duration(c.random.Int64N(int64(c.habit.readTime))) / time.Duration(k.padding/readPieceSize)
	}
	return call
}

// sendRequests sends a request, or some at once, and reports the results to the checker.
func (c *plannedCaller) sendRequests() {
	if c.habit.pipelined > 0 {
		c.pipeline(1 + c.random.IntN(c.habit.pipelined))
		return
	}
	c.sendRequest(c.drawCall(false))
}

func (c *plannedCaller) sendRequest(call platformtest.Call) {
	c.soak.checker.requestSent(call, c.process, accountKey{})
	response, written, err := c.conn.Do(call)
	c.soak.checker.requestEnded(call, response, written, err)
	if err != nil || response.Close || written.IsZero() {
		c.closeConn()
	}
}

var errClosedBefore = errors.New("the connection ended with the response before it")

// pipeline sends requests without waiting for the responses.
func (c *plannedCaller) pipeline(n int) {
	checker := c.soak.checker
	var calls []platformtest.Call
	var sent, written []time.Time
	for i := range n {
		call := c.drawCall(true)
		sent = append(sent, time.Now())
		checker.requestSent(call, c.process, accountKey{})
		if i > 0 {
			checker.requestBehind(call)
		}
		var at time.Time
		if c.conn.Send(call) == nil {
			at = time.Now()
		}
		calls, written = append(calls, call), append(written, at)
	}
	var broken error
	for i, call := range calls {
		if broken != nil {
			checker.requestEnded(call, platformtest.Response{}, written[i], broken)
			continue
		}
		response, err := c.conn.Receive(call, sent[i].Add(call.Timeout))
		checker.requestEnded(call, response, written[i], err)
		if broken = err; err == nil && response.Close {
			broken = errClosedBefore
		}
	}
	if broken != nil {
		c.closeConn()
	}
}
