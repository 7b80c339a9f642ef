package statement

import (
	"cmp"
	"slices"
	"time"

	"github.com/briarrouter/briarrouter/unit"
)

// LeavingNotice is the message to a peer about a target that said that it is leaving. A
// daemon that begins to send to the target's service then knows of it.
type LeavingNotice struct {
	Process Process
	// Age is the time since the target is known to have said so first. It is not a point
	// in time because the clocks of peers are not synchronized.
	Age time.Duration
}

// leavingNoticeTime is how long peers are told of a target that is leaving.
const leavingNoticeTime = 10 * time.Second

// LimitNotice is the message to a peer about a target's limit. It refreshes the limit at
// daemons that send the target nothing, and spares the others the request by which
// they would learn of it.
type LimitNotice struct {
	Process Process
	Limit   unit.PerSecond
	// Age is the time since the target was last known to name the limit.
	Age time.Duration
}

// LeavingNotices returns notices of at most n targets that are leaving, the latest
// first.
func (t *Table) LeavingNotices(now time.Time, n int) []LeavingNotice {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []LeavingNotice
	for p, r := range t.records {
		if age := now.Sub(r.leavingSince); r.leaving(now) && age < leavingNoticeTime {
			list = insertLatest(list, LeavingNotice{Process: p, Age: age}, n)
		}
	}
	return list
}

// LearnLeaving applies the notices of a peer. Notices older than leavingNoticeTime are
// ignored.
func (t *Table) LearnLeaving(now time.Time, notices []LeavingNotice) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, n := range notices {
		if n.Age >= 0 && n.Age < leavingNoticeTime {
			t.setLeaving(now, now.Add(-n.Age), n.Process)
		}
	}
}

// LimitNotices returns notices of at most n limits that are in force, the latest first.
func (t *Table) LimitNotices(now time.Time, n int) []LimitNotice {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []LimitNotice
	for p, r := range t.records {
		if r.limited(now) {
			list = insertLatest(list, LimitNotice{Process: p, Limit: r.limit, Age: now.Sub(r.limitNamedAt)}, n)
		}
	}
	return list
}

// LearnLimits applies the notices of a peer. A notice from before the end of a limit
// that this daemon heard of, or older than what it knows, is ignored.
func (t *Table) LearnLimits(now time.Time, notices []LimitNotice) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, n := range notices {
		namedAt := now.Add(-n.Age)
		r := t.records[n.Process]
		known := r != nil && (!namedAt.After(r.limitEndedAt) || !namedAt.After(r.limitNamedAt))
		if n.Limit >= 0 && n.Age >= 0 && n.Age < limitTTL && !known {
			t.setLimit(now, namedAt, n.Process, n.Limit)
		}
	}
}

// notice is a LeavingNotice or a LimitNotice.
type notice[T any] interface{ compare(other T) int }

func (n LeavingNotice) compare(other LeavingNotice) int {
	return cmp.Or(cmp.Compare(n.Age, other.Age), n.Process.compare(other.Process))
}

func (n LimitNotice) compare(other LimitNotice) int {
	return cmp.Or(cmp.Compare(n.Age, other.Age), n.Process.compare(other.Process))
}

// insertLatest inserts a notice into a sorted list of at most n notices, the latest
// first, and drops the last one of a longer list. A fleet in need has thousands of
// notices, of which a message takes a few.
func insertLatest[T notice[T]](list []T, added T, n int) []T {
	if len(list) >= n && added.compare(list[len(list)-1]) >= 0 {
		return list
	}
	i, _ := slices.BinarySearchFunc(list, added, func(a, b T) int { return a.compare(b) })
	list = slices.Insert(list, i, added)
	return list[:min(n, len(list))]
}

func (p Process) compare(other Process) int {
	return cmp.Or(cmp.Compare(p.Target, other.Target), cmp.Compare(p.Address, other.Address), cmp.Compare(p.Incarnation, other.Incarnation))
}
