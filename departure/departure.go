// Package departure remembers which targets are leaving, so that a daemon that
// takes over a service knows what the one before it had seen.
package departure

import (
	"cmp"
	"slices"
	"time"

	"github.com/briarrouter/briarrouter/id"
)

const (
	// spread is how long after its first sign a departure is passed on.
	spread = 10 * time.Second
	// hold is how long a departure is remembered without a new sign.
	hold = 10 * time.Minute
	// maxEntries bounds the departures that are remembered.
	maxEntries = 4096
)

// entry is one departure.
type entry struct {
	// first and last are the first and the last sign of leaving.
	first, last time.Time
}

// Table is the departures that are known, by the address of the target: a
// target that comes back under its name has another one. It is not safe for
// concurrent use.
type Table struct{ entries map[id.Address]*entry }

// New returns an empty table.
func New() *Table { return &Table{entries: make(map[id.Address]*entry)} }

// Seen records a sign of leaving and reports whether it is the first one.
func (t *Table) Seen(now time.Time, a id.Address) bool { return t.see(now, now, a) }

func (t *Table) see(now, at time.Time, a id.Address) bool {
	if e := t.entries[a]; e != nil {
		e.last = latest(e.last, at)
		return false
	}
	t.expire(now)
	if len(t.entries) >= maxEntries {
		return false
	}
	t.entries[a] = &entry{first: at, last: at}
	return true
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Leaving tells whether a target is known to leave.
func (t *Table) Leaving(now time.Time, a id.Address) bool {
	e := t.entries[a]
	return e != nil && now.Sub(e.last) < hold
}

// Forget drops a target that serves again.
func (t *Table) Forget(a id.Address) { delete(t.entries, a) }

func (t *Table) expire(now time.Time) {
	for a, e := range t.entries {
		if now.Sub(e.last) >= hold {
			delete(t.entries, a)
		}
	}
}

// Notice tells a peer of a departure.
type Notice struct {
	Address id.Address
	// Age is the time since the first sign. A span, not a time, since peers
	// share no clock.
	Age time.Duration
}

// Notices returns the departures that are still passed on, the latest first,
// at most n.
func (t *Table) Notices(now time.Time, n int) []Notice {
	var list []Notice
	for a, e := range t.entries {
		if age := now.Sub(e.first); age < spread {
			list = append(list, Notice{Address: a, Age: age})
		}
	}
	slices.SortFunc(list, func(a, b Notice) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Address, b.Address))
	})
	return list[:min(n, len(list))]
}

// Learn takes a peer's notices and returns the addresses that are new.
func (t *Table) Learn(now time.Time, notices []Notice) []id.Address {
	var fresh []id.Address
	for _, n := range notices {
		if n.Age < spread && t.see(now, now.Add(-n.Age), n.Address) {
			fresh = append(fresh, n.Address)
		}
	}
	return fresh
}

// State is the table's part of a dump.
type State struct{ Known int }

// State returns the size of the table.
func (t *Table) State() State { return State{Known: len(t.entries)} }
