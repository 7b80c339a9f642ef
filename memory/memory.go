// Package memory bounds the memory that bodies take.
package memory

import (
	"sync/atomic"

	"github.com/briarrouter/briarrouter/unit"
)

// Gate counts the bytes of bodies that are held and refuses more than its
// limit. Whoever is refused streams the body instead of holding it.
type Gate struct {
	limit unit.Bytes
	// held is between 0 and limit.
	held atomic.Int64
	// refusals counts the calls of TryTake that returned false.
	refusals atomic.Int64
}

// New returns a gate with the given limit.
func New(limit unit.Bytes) *Gate { return &Gate{limit: limit} }

// TryTake takes n bytes if the limit allows it.
func (g *Gate) TryTake(n unit.Bytes) bool {
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

// Release gives n bytes back.
func (g *Gate) Release(n unit.Bytes) {
	if g.held.Add(-int64(n)) < 0 {
		panic("memory: more released than taken")
	}
}

// State is the gate's part of a dump.
type State struct {
	Limit    unit.Bytes
	Held     unit.Bytes
	Refusals int64
}

// State returns what is held now.
func (g *Gate) State() State {
	return State{Limit: g.limit, Held: unit.Bytes(g.held.Load()), Refusals: g.refusals.Load()}
}
