// Package quarantine detects requests that crash the targets that run them. A
// request is suspect once a connection to a target has broken while the request was
// running there, and is quarantined once this has happened with two different
// targets. A crash with a suspect that is quarantined later does not count against
// the target.
//
// Requests are identified in two ways, by their content and by their content and
// caller; a request is quarantined by either. When connections to several targets are
// reset at once, a request that many callers send may be running on several of them
// without being the cause. So a request that completed recently, whoever sent it, does
// not become suspect by its content. By its caller it does, but then the request must
// have crashed its targets one after the other, without a completion for this caller in
// between.
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
	// maxCrashedAfterCompletion replaces maxCrashedTargets for a request of one caller
	// that completed for this caller recently.
	maxCrashedAfterCompletion = 3
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
	// targets lists the different targets that crashed while they ran the request; at
	// most as many as quarantine it.
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
	// completed holds the last completion of each request.
	completed *lru.Cache[work.Fingerprint, completion]
}

// completion is the last completion of a request.
type completion struct {
	at time.Time
	// byCaller is set if the request is identified by its caller too.
	byCaller bool
}

func New() *Table {
	completed, err := lru.New[work.Fingerprint, completion](maxEntries)
	if err != nil {
		panic(fmt.Sprintf("quarantine: cannot create the cache of completed requests: %v", err))
	}
	return &Table{entries: make(map[work.Fingerprint]*entry), completed: completed}
}

// Quarantined reports whether the request is quarantined and must not run. It
// extends the quarantine.
func (t *Table) Quarantined(now time.Time, r work.Identity) bool {
	byContent, byCaller := t.extend(now, r.Content), t.extend(now, r.ByCaller)
	return byContent || byCaller
}

// extend extends the quarantine of a fingerprint and reports whether there is one.
func (t *Table) extend(now time.Time, f work.Fingerprint) bool {
	e := t.entries[f]
	if e == nil || !now.Before(e.until) {
		return false
	}
	e.last, e.until = now, now.Add(quarantineTime)
	return true
}

// Suspect reports whether the request is suspect or quarantined by its content. A target
// should not run two such requests at once.
func (t *Table) Suspect(r work.Identity) bool { return t.entries[r.Content] != nil }

// RecordCrash records that a connection to a target broke while the request was
// running on it, since begun, and reports whether this quarantined the request.
func (t *Table) RecordCrash(now, begun time.Time, r work.Identity, target id.Target) bool {
	byCaller := t.suspectCaller(now, begun, r.ByCaller, target)
	if t.completedRecently(now, r.Content) {
		t.addCrash(now, target)
		return byCaller
	}
	t.addCrash(now, target, r.Content)
	if !t.suspect(now, r.Content, target, maxCrashedTargets) {
		return byCaller
	}
	t.dropExplainedCrashes(r.Content)
	return true
}

// suspectCaller counts a crash against a request of one caller. A crash of a request
// that began before the previous crash is not counted: both may have one cause that lies
// elsewhere, such as a loss of power.
func (t *Table) suspectCaller(now, begun time.Time, f work.Fingerprint, target id.Target) bool {
	if f == 0 {
		return false
	}
	if e := t.entries[f]; e != nil && !begun.After(e.last) {
		return false
	}
	limit := maxCrashedTargets
	if t.completedRecently(now, f) {
		limit = maxCrashedAfterCompletion
	}
	return t.suspect(now, f, target, limit)
}

// suspect counts a crash against a fingerprint and reports whether this quarantined it.
func (t *Table) suspect(now time.Time, f work.Fingerprint, target id.Target, limit int) bool {
	e := t.entries[f]
	if e == nil {
		t.evictIfFull()
		e = &entry{}
		t.entries[f] = e
	}
	e.last = now
	if !slices.Contains(e.targets, target) && len(e.targets) < limit {
		e.targets = append(e.targets, target)
	}
	if len(e.targets) < limit || !e.until.IsZero() {
		return false
	}
	e.until = now.Add(quarantineTime)
	return true
}

// completedRecently reports whether the request completed within suspicionTime.
func (t *Table) completedRecently(now time.Time, f work.Fingerprint) bool {
	c, ok := t.completed.Peek(f)
	return ok && now.Sub(c.at) < suspicionTime
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
func (t *Table) RecordCompletion(now time.Time, r work.Identity) {
	t.complete(r.Content, completion{at: now})
	if r.ByCaller != 0 {
		t.complete(r.ByCaller, completion{at: now, byCaller: true})
	}
}

func (t *Table) complete(f work.Fingerprint, c completion) {
	t.completed.Add(f, c)
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

// Learn adds quarantines from notices. It ignores those of requests that completed on
// this daemon recently or, for a request of one caller, since the peer's quarantine was
// last extended.
func (t *Table) Learn(now time.Time, notices []Notice) {
	for _, n := range notices {
		remaining := min(n.Left, quarantineTime)
		if c, ok := t.completed.Peek(n.Fingerprint); ok && now.Sub(c.at) < suspicionTime &&
			(!c.byCaller || c.at.After(now.Add(remaining-quarantineTime))) {
			continue
		}
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
