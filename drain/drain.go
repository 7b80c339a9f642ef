// Package drain tracks the draining targets. Daemons tell each other of the drain
// notices that they receive, so that a daemon that takes over a service knows of the
// targets whose notices its predecessor received.
package drain

import (
	"cmp"
	"slices"
	"time"

	"github.com/briarrouter/briarrouter/id"
)

const (
	// noticeTime is how long peers are told of a draining target, from its first
	// drain notice.
	noticeTime = 10 * time.Second
	// drainTime is how long a target counts as draining after its last drain
	// notice.
	drainTime = 10 * time.Minute
	// maxEntries is the maximum number of targets in a Table.
	maxEntries = 4096
)

type entry struct {
	// first and last are the times of the first and the last drain notice.
	first, last time.Time
}

// Table holds the draining targets. They are identified by address rather than by
// name, because a target that comes back under its name has another address. It is
// not safe for concurrent use.
type Table struct{ entries map[id.Address]*entry }

func New() *Table { return &Table{entries: make(map[id.Address]*entry)} }

// RecordNotice records a drain notice of a target and reports whether this added
// the target. A full table ignores new targets.
func (t *Table) RecordNotice(now time.Time, a id.Address) bool { return t.record(now, now, a) }

func (t *Table) record(now, at time.Time, a id.Address) bool {
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

func (t *Table) Draining(now time.Time, a id.Address) bool {
	e := t.entries[a]
	return e != nil && now.Sub(e.last) < drainTime
}

// Forget removes a target that is no longer draining.
func (t *Table) Forget(a id.Address) { delete(t.entries, a) }

func (t *Table) expire(now time.Time) {
	for a, e := range t.entries {
		if now.Sub(e.last) >= drainTime {
			delete(t.entries, a)
		}
	}
}

// Notice is the message to a peer about a draining target.
type Notice struct {
	Address id.Address
	// Age is the time since the first drain notice. It is not a point in time
	// because the clocks of peers are not synchronized.
	Age time.Duration
}

// Notices returns notices about at most n targets whose first drain notice came
// within the last noticeTime, the latest first.
func (t *Table) Notices(now time.Time, n int) []Notice {
	var list []Notice
	for a, e := range t.entries {
		if age := now.Sub(e.first); age < noticeTime {
			list = append(list, Notice{Address: a, Age: age})
		}
	}
	slices.SortFunc(list, func(a, b Notice) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Address, b.Address))
	})
	return list[:min(n, len(list))]
}

// Learn adds the targets of a peer's notices and returns the addresses that are new
// here. Notices older than noticeTime are ignored.
func (t *Table) Learn(now time.Time, notices []Notice) []id.Address {
	var added []id.Address
	for _, n := range notices {
		if n.Age < noticeTime && t.record(now, now.Add(-n.Age), n.Address) {
			added = append(added, n.Address)
		}
	}
	return added
}

// State holds the size of a Table in a dump.
type State struct{ Known int }

func (t *Table) State() State { return State{Known: len(t.entries)} }
