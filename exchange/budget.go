package exchange

import (
	"sync"
	"sync/atomic"
)

// Budget bounds the open connections of several pools together. When it is used up, idle
// connections of any of the pools make room for new ones. A Budget is safe for concurrent
// use; nil stands for no bound.
type Budget struct {
	limit int64
	open  atomic.Int64

	mu sync.Mutex
	// pools is the set of open pools, guarded by mu.
	pools map[*Pool]bool
}

func NewBudget(limit int) *Budget {
	return &Budget{limit: int64(limit), pools: make(map[*Pool]bool)}
}

func (b *Budget) add(p *Pool) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pools[p] = true
}

func (b *Budget) remove(p *Pool) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.pools, p)
}

// acquire reserves a connection and reports whether there was room.
func (b *Budget) acquire() bool {
	return b == nil || b.tryAcquire() || b.discardIdle() && b.tryAcquire()
}

func (b *Budget) tryAcquire() bool {
	if b.open.Add(1) <= b.limit {
		return true
	}
	b.open.Add(-1)
	return false
}

func (b *Budget) release() {
	if b != nil {
		b.open.Add(-1)
	}
}

// discardIdle closes an idle connection of some pool and reports whether there was one.
func (b *Budget) discardIdle() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for p := range b.pools {
		if p.discardIdle() {
			return true
		}
	}
	return false
}
