// Package memory limits the memory used to buffer request and response bodies.
package memory

import (
	"fmt"
	"sync/atomic"

	"github.com/briarrouter/briarrouter/unit"
)

// Limiter limits the total size of the buffered bodies. A caller of TryAcquire that
// is refused streams the body instead of buffering it. A Limiter is safe for
// concurrent use.
type Limiter struct {
	limit unit.Bytes
	// reserved is the number of bytes reserved, between 0 and limit.
	reserved atomic.Int64
	// refusals counts the calls of TryAcquire that returned false.
	refusals atomic.Int64
}

func New(limit unit.Bytes) *Limiter { return &Limiter{limit: limit} }

// TryAcquire reserves n bytes and reports whether the limit allowed it. It does not
// block.
func (l *Limiter) TryAcquire(n unit.Bytes) bool {
	for {
		reserved := l.reserved.Load()
		if reserved+int64(n) > int64(l.limit) {
			l.refusals.Add(1)
			return false
		}
		if l.reserved.CompareAndSwap(reserved, reserved+int64(n)) {
			return true
		}
	}
}

// Release gives back n bytes reserved with TryAcquire. It panics if more is released
// than was reserved.
func (l *Limiter) Release(n unit.Bytes) {
	if l.reserved.Add(-int64(n)) < 0 {
		panic(fmt.Sprintf("memory: released %s, more than was reserved", n))
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
	return State{Limit: l.limit, Held: unit.Bytes(l.reserved.Load()), Refusals: l.refusals.Load()}
}
