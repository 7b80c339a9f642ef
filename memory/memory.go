// Package memory limits the memory that callers, peers and targets make a process use:
// bodies, bytes that were received and not read yet, and header sections.
package memory

import (
	"fmt"
	"sync/atomic"

	"github.com/briarrouter/briarrouter/unit"
	"github.com/uber-go/tally/v4"
)

// Kind is what reserved memory holds.
type Kind int

const (
	// Buffers holds bodies of responses, and bytes that were received and not read yet.
	Buffers Kind = iota
	// Bodies holds the bodies of requests that are buffered for a retry.
	Bodies
	// Streams holds what is between the connections of streamed bodies. It has a limit of
	// its own, so that bodies for which no buffer is left can be streamed.
	Streams
	// Windows holds what the operating system may receive of bodies beyond what it may for
	// each connection. It has a limit of its own, too: garbage of what was buffered may
	// still fill the memory that is reserved.
	Windows
	// Headers holds header sections that are being received, or that belong to requests
	// and responses in progress.
	Headers
	kindCount
)

var kindNames = [kindCount]string{"buffers", "bodies", "streams", "windows", "headers"}

func (k Kind) String() string { return kindNames[k] }

// Limiter limits the total size of the memory reserved for all kinds. A caller of
// TryAcquire that is refused streams the body instead of buffering it. A Limiter is safe
// for concurrent use.
type Limiter struct {
	limit unit.Bytes
	// reserved is the number of bytes reserved, between 0 and limit.
	reserved atomic.Int64
	kinds    [kindCount]kindCounts
}

// kindCounts holds the counts of one kind.
type kindCounts struct {
	// reserved is the number of bytes reserved.
	reserved atomic.Int64
	// refusals counts the reservations that the limit did not allow.
	refusals atomic.Int64
	metrics  atomic.Pointer[kindMetrics]
}

type kindMetrics struct {
	held     tally.Gauge
	refusals tally.Counter
}

func New(limit unit.Bytes) *Limiter { return &Limiter{limit: limit} }

// Report makes the limiter report the bytes held and the refusals of each kind as
// metrics.
func (l *Limiter) Report(scope tally.Scope) {
	for k := range l.kinds {
		tagged := scope.Tagged(map[string]string{"kind": Kind(k).String()})
		l.kinds[k].metrics.Store(&kindMetrics{held: tagged.Gauge("memory_held_bytes"), refusals: tagged.Counter("memory_refusals")})
	}
}

// TryAcquire reserves n bytes for buffers and reports whether the limit allowed it. It
// does not block.
func (l *Limiter) TryAcquire(n unit.Bytes) bool { return l.tryAcquire(Buffers, n) }

// Release gives back n bytes reserved with TryAcquire. It panics if more is released
// than was reserved.
func (l *Limiter) Release(n unit.Bytes) { l.release(Buffers, n) }

// TryAcquireBody reserves n bytes for the body of a request and reports whether the limit
// allowed it. It does not block.
func (l *Limiter) TryAcquireBody(n unit.Bytes) bool { return l.tryAcquire(Bodies, n) }

// ReleaseBody gives back n bytes reserved with TryAcquireBody.
func (l *Limiter) ReleaseBody(n unit.Bytes) { l.release(Bodies, n) }

// bodyShare is the part of the limit, in percent, that bodies of requests may take, so that
// others can still be streamed.
const bodyShare = 75

// TryAcquireStream reserves the memory for another streamed body and reports whether the
// limit allowed it. It does not block.
func (l *Limiter) TryAcquireStream() bool { return l.tryAcquireApart(Streams, StreamSize) }

// TryAcquireWindow reserves n bytes that the operating system may receive of a body and
// reports whether the limit allowed it. It does not block.
func (l *Limiter) TryAcquireWindow(n unit.Bytes) bool { return l.tryAcquireApart(Windows, n) }

// ReleaseWindow gives back n bytes reserved with TryAcquireWindow.
func (l *Limiter) ReleaseWindow(n unit.Bytes) { l.kinds[Windows].add(-n) }

// tryAcquireApart reserves n bytes of a kind with a limit of its own. Reservations at the
// same time may exceed it by little.
func (l *Limiter) tryAcquireApart(k Kind, n unit.Bytes) bool {
	if l.kinds[k].reserved.Load()+int64(n) > int64(l.limitOf(k)) {
		l.kinds[k].refuse()
		return false
	}
	l.kinds[k].add(n)
	return true
}

// ReleaseStream gives back what was reserved with TryAcquireStream.
func (l *Limiter) ReleaseStream() { l.kinds[Streams].add(-StreamSize) }

const (
	// StreamSize is what a streamed body takes: the buffers between its connections, and two
	// tasks.
	StreamSize = 48 * unit.KiB
	// apartShare is the share of the limit, as a divisor, that streamed bodies may take in
	// addition to it, but minStreams of them at least, and as much for windows.
	apartShare = 8
	minStreams = 16
)

// headerShare is the share of the limit, as a divisor, that header sections may take, so
// that clients cannot use up the memory for bodies with them.
const headerShare = 2

// HeaderLimit returns the total size that may be reserved for header sections. Reservations
// at the same time may exceed it by little, within the limit of all kinds.
func (l *Limiter) HeaderLimit() unit.Bytes { return l.limit / headerShare }

// limitOf returns the total size that may be reserved for a kind.
func (l *Limiter) limitOf(k Kind) unit.Bytes {
	switch k {
	case Headers:
		return l.HeaderLimit()
	case Bodies:
		return l.limit * bodyShare / 100
	case Streams, Windows:
		return max(l.limit/apartShare, minStreams*StreamSize)
	default:
		return l.limit
	}
}

func (l *Limiter) tryAcquire(k Kind, n unit.Bytes) bool {
	if l.kinds[k].reserved.Load()+int64(n) > int64(l.limitOf(k)) {
		l.kinds[k].refuse()
		return false
	}
	for {
		reserved := l.reserved.Load()
		if reserved+int64(n) > int64(l.limit) {
			l.kinds[k].refuse()
			return false
		}
		if l.reserved.CompareAndSwap(reserved, reserved+int64(n)) {
			l.kinds[k].add(n)
			return true
		}
	}
}

func (l *Limiter) release(k Kind, n unit.Bytes) {
	l.kinds[k].add(-n)
	if l.reserved.Add(-int64(n)) < 0 {
		panic(fmt.Sprintf("memory: released %s, more than was reserved", n))
	}
}

func (c *kindCounts) add(n unit.Bytes) {
	held := c.reserved.Add(int64(n))
	if m := c.metrics.Load(); m != nil {
		m.held.Update(float64(held))
	}
}

func (c *kindCounts) refuse() {
	c.refusals.Add(1)
	if m := c.metrics.Load(); m != nil {
		m.refusals.Inc(1)
	}
}

// State is the state of a Limiter in a dump.
type State struct {
	Limit unit.Bytes
	// Held is the number of bytes reserved.
	Held     unit.Bytes
	Refusals int64
}

func (l *Limiter) State() State {
	s := State{Limit: l.limit, Held: unit.Bytes(l.reserved.Load())}
	for k := range l.kinds {
		s.Refusals += l.kinds[k].refusals.Load()
	}
	return s
}
