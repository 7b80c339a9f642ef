// Package memory limits the memory used to buffer request and response bodies.
package memory

import (
	"sync/atomic"

	"github.com/briarrouter/briarrouter/unit"
)

// Limiter limits the total size of the buffered bodies. A caller of TryTake that is
// refused streams the body instead of buffering it. A Gate is safe for concurrent
// use.
type Limiter struct {
	limit unit.Bytes
	// held is the number of bytes reserved, between 0 and limit.
	held atomic.Int64
	// refusals counts the calls of TryTake that returned false.
	refusals atomic.Int64
}

func New(limit unit.Bytes) *Limiter { return &Limiter{limit: limit} }

// TryAcquire reserves n bytes and reports whether the limit allowed it. It does not
// block.
func (g *Limiter) TryAcquire(n unit.Bytes) bool {
	for {
		held := g.held.Load()
		if held+int64(n) > int64(g.limit) {
			g.refusals.Add(1)
			return false
		}
		if g.held.CompareAndSwap(held, held+int64(n)) {
			return true
		}
	}
}

// Release returns n bytes reserved with TryTake. It panics if more is released than
// was reserved.
func (g *Limiter) Release(n unit.Bytes) {
	if g.held.Add(-int64(n)) < 0 {
		panic("memory: released more bytes than were reserved")
	}
}

// State is the gate's part of a dump.
type State struct {
	Limit    unit.Bytes
	Held     unit.Bytes
	Refusals int64
}

func (g *Limiter) State() State {
	return State{Limit: g.limit, Held: unit.Bytes(g.held.Load()), Refusals: g.refusals.Load()}
}
