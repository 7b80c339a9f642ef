// Package quarantine recognises requests that crash the targets that run them.
// It blames a request only after it ended the connections of different
// targets, and forgives a target whose crash is explained by such a request.
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

// NewsTime is how long the news of a quarantine may take to reach a service's
// standbys.
const NewsTime = 250 * time.Millisecond

const (
	// limit is how many different targets a request may end before it is
	// quarantined: it never runs on a third one.
	limit = 2
	// hold is how long a quarantine lasts after the last arrival.
	hold = 10 * time.Minute
	// suspicion is how long a single death is remembered.
	suspicion = 2 * time.Minute
	// crashSpan is the time within which the connections that a target loses
	// count as one crash.
	crashSpan = time.Second
	// maxEntries bounds the fingerprints that are remembered, and those of
	// requests that ran to their end.
	maxEntries = 4096
	// maxCrashes bounds the crashes that wait for an explanation.
	maxCrashes = 256
)

type entry struct {
	// targets lists different targets that died under the request; at most
	// limit.
	targets []id.Target
	// last is when the entry was last used; the oldest is dropped first.
	last time.Time
	// until is when the quarantine ends; zero for a mere suspicion.
	until time.Time
}

// crash is a target that lost connections.
type crash struct {
	target id.Target
	at     time.Time
	// suspects lists the requests that ran on the target.
	suspects []work.Fingerprint
}

// Table is what is known about suspicious requests. It is not safe for
// concurrent use.
type Table struct {
	entries map[work.Fingerprint]*entry
	crashes []crash
	// harmless holds when requests last ran to their end. Many callers send the
	// same request, and where connections to several targets are reset at once,
	// that is no sign of it.
	harmless *lru.Cache[work.Fingerprint, time.Time]
}

// New returns an empty table.
func New() *Table {
	harmless, err := lru.New[work.Fingerprint, time.Time](maxEntries)
	if err != nil {
		panic(fmt.Sprintf("quarantine: %v", err))
	}
	return &Table{entries: make(map[work.Fingerprint]*entry), harmless: harmless}
}

// Quarantined tells whether the request must not be run.
func (t *Table) Quarantined(now time.Time, f work.Fingerprint) bool {
	e := t.entries[f]
	if e == nil || !now.Before(e.until) {
		return false
	}
	e.last, e.until = now, now.Add(hold)
	return true
}

// Suspect tells whether a target died under the request before, so that it
// should run apart from other suspects.
func (t *Table) Suspect(f work.Fingerprint) bool { return t.entries[f] != nil }

// Died records that a target's connection ended while it ran the request, and
// reports whether the request is now quarantined.
func (t *Table) Died(now time.Time, f work.Fingerprint, target id.Target) bool {
	if t.isHarmless(now, f) {
		t.recordCrash(now, target)
		return false
	}
	t.recordCrash(now, target, f)
	e := t.entries[f]
	if e == nil {
		t.makeRoom()
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
	e.until = now.Add(hold)
	t.forgive(f)
	return true
}

// isHarmless tells whether the request ran to its end lately.
func (t *Table) isHarmless(now time.Time, f work.Fingerprint) bool {
	at, ok := t.harmless.Peek(f)
	return ok && now.Sub(at) < suspicion
}

// recordCrash notes that a target lost a connection while the suspects ran there.
func (t *Table) recordCrash(now time.Time, target id.Target, suspects ...work.Fingerprint) {
	for i := range t.crashes {
		c := &t.crashes[i]
		if c.target == target && now.Sub(c.at) < crashSpan {
			c.suspects = append(c.suspects, suspects...)
			return
		}
	}
	if len(t.crashes) >= maxCrashes {
		t.crashes = t.crashes[1:]
	}
	t.crashes = append(t.crashes, crash{target: target, at: now, suspects: suspects})
}

// forgive drops the crashes that the request explains.
func (t *Table) forgive(f work.Fingerprint) {
	t.crashes = slices.DeleteFunc(t.crashes, func(c crash) bool { return slices.Contains(c.suspects, f) })
}

// Cleared records that the request ran to its end, so it does not crash
// targets. That ends a quarantine too: another one of its kind still ran when it
// began.
func (t *Table) Cleared(now time.Time, f work.Fingerprint) {
	t.harmless.Add(f, now)
	if t.entries[f] == nil {
		return
	}
	delete(t.entries, f)
	for i := range t.crashes {
		c := &t.crashes[i]
		c.suspects = slices.DeleteFunc(c.suspects, func(s work.Fingerprint) bool { return s == f })
	}
}

// Expire drops what is too old and returns the targets whose crashes no
// request explains: those count against the target itself.
func (t *Table) Expire(now time.Time) []id.Target {
	for f, e := range t.entries {
		if e.until.IsZero() && now.Sub(e.last) >= suspicion || !e.until.IsZero() && !now.Before(e.until) {
			delete(t.entries, f)
		}
	}
	var blamed []id.Target
	t.crashes = slices.DeleteFunc(t.crashes, func(c crash) bool {
		unexplained := len(c.suspects) == 0 && now.Sub(c.at) >= crashSpan
		if unexplained {
			blamed = append(blamed, c.target)
		}
		return unexplained || now.Sub(c.at) >= suspicion
	})
	return blamed
}

// makeRoom drops the entry that was used last the longest ago, suspicions
// first.
func (t *Table) makeRoom() {
	if len(t.entries) < maxEntries {
		return
	}
	var oldest work.Fingerprint
	var found *entry
	for f, e := range t.entries {
		if found == nil || older(e, found) {
			oldest, found = f, e
		}
	}
	delete(t.entries, oldest)
}

func older(a, b *entry) bool {
	if a.until.IsZero() != b.until.IsZero() {
		return a.until.IsZero()
	}
	return a.last.Before(b.last)
}

// Notice tells a peer of a quarantine.
type Notice struct {
	Fingerprint work.Fingerprint
	// Left is how long the quarantine still lasts. A span, not a time, since
	// peers share no clock.
	Left time.Duration
}

// Notices returns the quarantines with the most time left, at most n.
func (t *Table) Notices(now time.Time, n int) []Notice {
	var list []Notice
	for f, e := range t.entries {
		if left := e.until.Sub(now); !e.until.IsZero() && left > 0 {
			list = append(list, Notice{Fingerprint: f, Left: left})
		}
	}
	slices.SortFunc(list, func(a, b Notice) int {
		return cmp.Or(cmp.Compare(b.Left, a.Left), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	return list[:min(n, len(list))]
}

// Learn takes a peer's notices.
func (t *Table) Learn(now time.Time, notices []Notice) {
	for _, n := range notices {
		if t.isHarmless(now, n.Fingerprint) {
			continue
		}
		left := min(n.Left, hold)
		e := t.entries[n.Fingerprint]
		if e == nil {
			t.makeRoom()
			e = &entry{last: now}
			t.entries[n.Fingerprint] = e
		}
		if until := now.Add(left); until.After(e.until) {
			e.until = until
		}
	}
}

// State is the table's part of a dump.
type State struct {
	Quarantined int
	Suspects    int
	Crashes     int
}

// State returns the sizes of the table.
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
