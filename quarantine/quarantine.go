// Package quarantine detects requests that crash the targets that run them. A
// request is suspect once a connection to a target has broken while the request was
// running there, and is quarantined once this has happened with two different
// targets. A crash with a suspect that is quarantined later does not count against
// the target. Requests are identified by their fingerprints.
package quarantine

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/briarrouter/briarrouter/id"
	"github.com/briarrouter/briarrouter/work"
	lru "github.com/hashicorp/golang-lru/v2"
)

// PropagationTime is the time that the notice of a quarantine may take to reach
// the standbys of a service. A daemon waits this long before it gives the caller
// or another daemon the chance to retry the request.
const PropagationTime = 250 * time.Millisecond

const (
	// maxCrashedTargets is the number of different targets after whose crashes a
	// request is quarantined, so that it does not run on a third one.
	maxCrashedTargets = 2
	// quarantineTime is the duration of a quarantine after the last arrival of
	// the request.
	quarantineTime = 10 * time.Minute
	// suspicionTime is how long a suspicion, a crash and the completion of a
	// request are remembered.
	suspicionTime = 2 * time.Minute
	// crashWindow is the interval within which all broken connections of a target
	// count as one crash.
	crashWindow = time.Second
	// maxEntries limits the suspect and quarantined requests together, and also the
	// completed ones.
	maxEntries = 4096
	// maxCrashes limits the crashes that are not yet explained by a quarantined
	// request.
	maxCrashes = 256
)

// entry is a suspect or quarantined request.
type entry struct {
	// targets lists the different targets that crashed while they ran the
	// request; at most maxCrashedTargets.
	targets []id.Target
	// last is when the request last crashed a target or arrived while quarantined. If
	// neither has happened here, it is when a peer's notice of the quarantine came.
	// Suspicions expire and entries are evicted by this time.
	last time.Time
	// until is the end of the quarantine; zero for a suspect request.
	until time.Time
}

// crash is the loss of one or more connections to a target.
type crash struct {
	target id.Target
	at     time.Time
	// suspects lists the requests that ran on these connections, except those that
	// had completed recently or have completed since.
	suspects []work.Fingerprint
}

// Table holds the suspect and quarantined requests and the crashes that are not yet
// explained. It is not safe for concurrent use.
type Table struct {
	entries map[work.Fingerprint]*entry
	crashes []crash
	// completed holds the time at which each request last completed. A request that
	// completed recently does not become suspect: when connections to several targets
	// are reset at once, a request that many callers send may be running on several of
	// them without being the cause.
	completed *lru.Cache[work.Fingerprint, time.Time]
}

func New() *Table {
	completed, err := lru.New[work.Fingerprint, time.Time](maxEntries)
	if err != nil {
		panic(fmt.Sprintf("quarantine: cannot create the cache of completed requests: %v", err))
	}
	return &Table{entries: make(map[work.Fingerprint]*entry), completed: completed}
}

// Quarantined reports whether the request is quarantined and must not run. It
// extends the quarantine.
func (t *Table) Quarantined(now time.Time, f work.Fingerprint) bool {
	e := t.entries[f]
	if e == nil || !now.Before(e.until) {
		return false
	}
	e.last, e.until = now, now.Add(quarantineTime)
	return true
}

// Suspect reports whether the request is suspect or quarantined. A target should not
// run two such requests at once.
func (t *Table) Suspect(f work.Fingerprint) bool { return t.entries[f] != nil }

// RecordCrash records that a connection to a target broke while the request was
// running on it, and reports whether this quarantined the request.
func (t *Table) RecordCrash(now time.Time, f work.Fingerprint, target id.Target) bool {
	if t.completedRecently(now, f) {
		t.addCrash(now, target)
		return false
	}
	t.addCrash(now, target, f)
	e := t.entries[f]
	if e == nil {
		t.evictIfFull()
		e = &entry{}
		t.entries[f] = e
	}
	e.last = now
	if !slices.Contains(e.targets, target) && len(e.targets) < maxCrashedTargets {
		e.targets = append(e.targets, target)
	}
	if len(e.targets) < maxCrashedTargets || !e.until.IsZero() {
		return false
	}
	e.until = now.Add(quarantineTime)
	t.dropExplainedCrashes(f)
	return true
}

// completedRecently reports whether the request completed within suspicionTime.
func (t *Table) completedRecently(now time.Time, f work.Fingerprint) bool {
	at, ok := t.completed.Peek(f)
	return ok && now.Sub(at) < suspicionTime
}

// addCrash records that a connection to a target was lost while the suspects were
// running on it.
func (t *Table) addCrash(now time.Time, target id.Target, suspects ...work.Fingerprint) {
	for i := range t.crashes {
		c := &t.crashes[i]
		if c.target == target && now.Sub(c.at) < crashWindow {
			c.suspects = append(c.suspects, suspects...)
			return
		}
	}
	if len(t.crashes) >= maxCrashes {
		t.crashes = t.crashes[1:]
	}
	t.crashes = append(t.crashes, crash{target: target, at: now, suspects: suspects})
}

// dropExplainedCrashes removes the crashes that have the request as a suspect.
func (t *Table) dropExplainedCrashes(f work.Fingerprint) {
	t.crashes = slices.DeleteFunc(t.crashes, func(c crash) bool { return slices.Contains(c.suspects, f) })
}

// RecordCompletion records that the request completed, so it does not crash
// targets. This also ends a quarantine: an identical request that was still
// running when the quarantine began has completed.
func (t *Table) RecordCompletion(now time.Time, f work.Fingerprint) {
	t.completed.Add(f, now)
	if t.entries[f] == nil {
		return
	}
	delete(t.entries, f)
	for i := range t.crashes {
		c := &t.crashes[i]
		c.suspects = slices.DeleteFunc(c.suspects, func(s work.Fingerprint) bool { return s == f })
	}
}

// Expire removes old entries and crashes. It returns the targets of crashes that
// are older than crashWindow and have no suspects; such a crash counts against the
// target itself.
func (t *Table) Expire(now time.Time) []id.Target {
	for f, e := range t.entries {
		if e.until.IsZero() && now.Sub(e.last) >= suspicionTime || !e.until.IsZero() && !now.Before(e.until) {
			delete(t.entries, f)
		}
	}
	var unexplainedTargets []id.Target
	t.crashes = slices.DeleteFunc(t.crashes, func(c crash) bool {
		unexplained := len(c.suspects) == 0 && now.Sub(c.at) >= crashWindow
		if unexplained {
			unexplainedTargets = append(unexplainedTargets, c.target)
		}
		return unexplained || now.Sub(c.at) >= suspicionTime
	})
	return unexplainedTargets
}

// evictIfFull removes the least recently used entry of a full table, suspect
// requests before quarantined ones.
func (t *Table) evictIfFull() {
	if len(t.entries) < maxEntries {
		return
	}
	var oldest work.Fingerprint
	var oldestEntry *entry
	for f, e := range t.entries {
		if oldestEntry == nil || evictBefore(e, oldestEntry) {
			oldest, oldestEntry = f, e
		}
	}
	delete(t.entries, oldest)
}

// evictBefore reports whether a is evicted before b.
func evictBefore(a, b *entry) bool {
	if a.until.IsZero() != b.until.IsZero() {
		return a.until.IsZero()
	}
	return a.last.Before(b.last)
}

// Notice is the message to a peer about a quarantine.
type Notice struct {
	Fingerprint work.Fingerprint
	// Left is the remaining duration of the quarantine. It is not a point in
	// time because the clocks of peers are not synchronized.
	Left time.Duration
}

// Notices returns at most n quarantines, those with the longest remaining
// duration first.
func (t *Table) Notices(now time.Time, n int) []Notice {
	var list []Notice
	for f, e := range t.entries {
		if remaining := e.until.Sub(now); !e.until.IsZero() && remaining > 0 {
			list = append(list, Notice{Fingerprint: f, Left: remaining})
		}
	}
	slices.SortFunc(list, func(a, b Notice) int {
		return cmp.Or(cmp.Compare(b.Left, a.Left), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	return list[:min(n, len(list))]
}

// Learn adds quarantines from notices. Those of requests that completed recently on
// this daemon are ignored.
func (t *Table) Learn(now time.Time, notices []Notice) {
	for _, n := range notices {
		if t.completedRecently(now, n.Fingerprint) {
			continue
		}
		remaining := min(n.Left, quarantineTime)
		e := t.entries[n.Fingerprint]
		if e == nil {
			t.evictIfFull()
			e = &entry{last: now}
			t.entries[n.Fingerprint] = e
		}
		if until := now.Add(remaining); until.After(e.until) {
			e.until = until
		}
	}
}

// State holds the sizes of a Table in a dump.
type State struct {
	Quarantined int
	Suspects    int
	Crashes     int
}

func (t *Table) State() State {
	s := State{Crashes: len(t.crashes)}
	for _, e := range t.entries {
		if e.until.IsZero() {
			s.Suspects++
		} else {
			s.Quarantined++
		}
	}
	return s
}
