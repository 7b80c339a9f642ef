// Package statement keeps what targets say of themselves in their responses, and
// decides whether a request may be sent to a target that said something. A target
// may say that it is leaving, that it wants no requests of this daemon for some time,
// and which rate of requests it takes from the whole fleet, its limit. Daemons tell
// each other of targets that leave and of limits.
package statement

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/briarrouter/briarrouter/id"
	"github.com/briarrouter/briarrouter/unit"
)

// Process identifies one process of a target. A process that is started later under
// the same name or at the same address has said nothing yet.
type Process struct {
	Target      id.Target
	Address     id.Address
	Incarnation uint64
}

// Statement is what one response says of its target.
type Statement struct {
	// Leaving means that the target is leaving.
	Leaving bool
	// Backoff is how long the target wants no requests of this daemon; zero if it says
	// nothing of the kind.
	Backoff time.Duration
	// Limited means that the target names a limit.
	Limited bool
	Limit   unit.PerSecond
}

const (
	// leavingTTL is how long a target counts as leaving after it last said so. It is
	// longer than targets take to leave.
	leavingTTL = 10 * time.Minute
	// maxBackoff limits what a target can ask for. After that time, one response shows
	// whether it still holds.
	maxBackoff = time.Hour
	// limitTTL is how long at least a limit holds after the target was last known to name
	// it. A daemon that sends the target no requests learns only from peers that the
	// limit still holds, and not at all that it has ended. Each daemon adds up to as much
	// again, so that they do not all try the target at once.
	limitTTL = 8 * time.Second
	// sendSlack is how late a request may be sent without taking time from the next one:
	// waiting requests are looked at in ticks.
	sendSlack = 100 * time.Millisecond
	// maxProcesses bounds the processes in a Table: more than the targets of the planned
	// fleet.
	maxProcesses = 16384
)

// record is what is known of one process.
type record struct {
	// leavingSince and leavingSaidAt are when the target is known to have said first and
	// last that it is leaving; zero if it did not.
	leavingSince, leavingSaidAt time.Time
	// backoffUntil is the end of the time in which the target wants no requests.
	backoffUntil time.Time
	// limit is in force until ttl after limitNamedAt, the latest time at which the target
	// is known to have named it; limitNamedAt is zero if none is in force.
	limit        unit.PerSecond
	limitNamedAt time.Time
	// ttl is between limitTTL and twice that.
	ttl time.Duration
	// limitEndedAt is when a response without a limit was received; zero if none was.
	limitEndedAt time.Time
	// nextSend is the earliest time of the next request under the limit.
	nextSend time.Time
}

// Table holds the statements that are in force. It is safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	senders Senders
	// records has no entry for a process that said nothing, or nothing that is still in
	// force.
	records map[Process]*record
	// count is len(records). It is read without mu: nearly always, no target has said
	// anything.
	count atomic.Int64
	// expiredAt is when records that are no longer in force were last deleted.
	expiredAt time.Time
}

func New() *Table { return &Table{records: make(map[Process]*record)} }

// SetSenders sets the daemons that send requests to the targets.
func (t *Table) SetSenders(s Senders) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.senders = s
}

// Change tells what a statement changed.
type Change struct {
	// Leaving means that the target was not known to be leaving.
	Leaving bool
	// Backoff means that the target is sent no requests for some time from now on.
	Backoff bool
	// Limit means that a limit begins or ends.
	Limit bool
}

// Record applies what a response says of its target. SentAt is when the request was
// sent: a response to a request that was sent before the target named its limit does
// not end the limit.
func (t *Table) Record(now, sentAt time.Time, p Process, s Statement) Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	var c Change
	if s.Leaving {
		c.Leaving = t.setLeaving(now, now, p)
	}
	if s.Backoff > 0 {
		c.Backoff = t.setBackoff(now, now.Add(min(s.Backoff, maxBackoff)), p)
	}
	r := t.records[p]
	inForce := r != nil && r.limited(now)
	switch {
	case s.Limited:
		t.setLimit(now, now, p, s.Limit)
		c.Limit = !inForce
	case inForce && sentAt.After(r.limitNamedAt):
		r.limitNamedAt, r.limitEndedAt = time.Time{}, now
		c.Limit = true
	}
	return c
}

// setLeaving records that a target said at a time that it is leaving, and reports
// whether this is new.
func (t *Table) setLeaving(now, saidAt time.Time, p Process) bool {
	r := t.getOrCreate(now, p)
	if r == nil {
		return false
	}
	known := r.leaving(now)
	if !known {
		r.leavingSince = saidAt
	}
	r.leavingSaidAt = latest(r.leavingSaidAt, saidAt)
	return !known
}

// setBackoff reports whether the target was not backed off from.
func (t *Table) setBackoff(now, until time.Time, p Process) bool {
	r := t.getOrCreate(now, p)
	if r == nil {
		return false
	}
	known := now.Before(r.backoffUntil)
	r.backoffUntil = latest(r.backoffUntil, until)
	return !known
}

// LeavingSaidAt returns when a target is last known to have said that it is leaving;
// zero if it did not, or long ago.
func (t *Table) LeavingSaidAt(now time.Time, p Process) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.records[p]; r != nil && r.leaving(now) {
		return r.leavingSaidAt
	}
	return time.Time{}
}

// Stay records that a target that said that it is leaving serves on.
func (t *Table) Stay(p Process) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.records[p]; r != nil {
		r.leavingSince, r.leavingSaidAt = time.Time{}, time.Time{}
	}
}

// setLimit sets the limit that a target named at a time.
func (t *Table) setLimit(now, namedAt time.Time, p Process, limit unit.PerSecond) {
	r := t.getOrCreate(now, p)
	if r == nil {
		return
	}
	interval := t.senders.interval(p, limit)
	switch {
	case !r.limited(now):
		r.nextSend = now.Add(interval)
	case limit != r.limit:
		r.nextSend = earliest(r.nextSend, now.Add(interval))
	}
	r.limit, r.limitNamedAt = limit, latest(r.limitNamedAt, namedAt)
}

// getOrCreate returns nil if the table is full.
func (t *Table) getOrCreate(now time.Time, p Process) *record {
	r := t.records[p]
	if r != nil {
		return r
	}
	if now.Sub(t.expiredAt) >= limitTTL || len(t.records) >= maxProcesses {
		t.expire(now)
	}
	if len(t.records) >= maxProcesses {
		return nil
	}
	r = &record{ttl: limitTTL + t.senders.stagger(p, limitTTL)}
	t.records[p] = r
	t.count.Store(int64(len(t.records)))
	return r
}

func (t *Table) expire(now time.Time) {
	t.expiredAt = now
	for p, r := range t.records {
		if !r.leaving(now) && !now.Before(r.backoffUntil) && !r.limited(now) && now.Sub(r.limitEndedAt) >= limitTTL {
			delete(t.records, p)
		}
	}
	t.count.Store(int64(len(t.records)))
}

func (r *record) leaving(now time.Time) bool {
	return !r.leavingSaidAt.IsZero() && now.Sub(r.leavingSaidAt) < leavingTTL
}

func (r *record) limited(now time.Time) bool {
	return !r.limitNamedAt.IsZero() && now.Sub(r.limitNamedAt) < r.ttl
}

// RecordSent records that a request is sent to a target.
func (t *Table) RecordSent(now time.Time, p Process) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.records[p]; r != nil && r.limited(now) {
		r.nextSend = latest(r.nextSend, now.Add(-sendSlack)).Add(t.senders.interval(p, r.limit))
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// State is the table's part of a dump.
type State struct {
	// Processes is the number of processes of which something is known.
	Processes int
	// Leaving, BackedOff and Limited count those of them with each statement in force.
	Leaving, BackedOff, Limited int
}

func (t *Table) State(now time.Time) State {
	t.mu.Lock()
	defer t.mu.Unlock()
	st := State{Processes: len(t.records)}
	for _, r := range t.records {
		if r.leaving(now) {
			st.Leaving++
		}
		if now.Before(r.backoffUntil) {
			st.BackedOff++
		}
		if r.limited(now) {
			st.Limited++
		}
	}
	return st
}
