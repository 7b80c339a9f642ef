// Package ledger holds the idempotency keys that one daemon incarnation owns.
// Only the owner of a key starts its request, so the request runs at most once
// without state shared between daemons.
package ledger

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/briarrouter/briarrouter/id"
	"github.com/briarrouter/briarrouter/outcome"
	"github.com/briarrouter/briarrouter/unit"
	"github.com/briarrouter/briarrouter/work"
)

// Config makes a Table.
type Config struct {
	Incarnation id.Incarnation
	// Start is when the process started, with a monotonic reading.
	Start time.Time
	// Epoch is how long an epoch takes. A key is remembered until the epoch
	// after its own has ended.
	Epoch time.Duration
	// Keys bounds the keys that are remembered.
	Keys int
	// Answers bounds the bytes of the answers that are held for repeats.
	Answers unit.Bytes
}

// Verdict says what becomes of a request with a key.
type Verdict string

// The verdicts of Claim.
const (
	// Start means that this request is the first with its key and must be run
	// and settled.
	Start Verdict = "Start"
	// Join means that an earlier request with the key is running; its answer
	// comes when Entry.Done is closed.
	Join Verdict = "Join"
	// Recorded means that Entry holds the earlier outcome.
	Recorded Verdict = "Recorded"
	// Foreign means that another incarnation owns the key.
	Foreign Verdict = "Foreign"
	// Closed means that the key's epoch is over: nothing is known.
	Closed Verdict = "Closed"
	// Reused means that the key came before with another request.
	Reused Verdict = "Reused"
	// Malformed means that the key does not have the form that Prefix gives.
	Malformed Verdict = "Malformed"
	// Full means that the key is new and there is no room: it was not started.
	Full Verdict = "Full"
)

// Entry is what is remembered about a key.
type Entry struct {
	// Done is closed when the request is settled.
	Done chan struct{}
	// Answer may be read once Done is closed.
	Answer work.Answer

	fingerprint work.Fingerprint
	settled     bool
}

// Table is the keys of one incarnation. It is not safe for concurrent use.
type Table struct {
	cfg Config
	// epochs holds the keys of each epoch that is open.
	epochs map[uint64]map[id.Key]*Entry
	// keys is the number of entries in epochs; at most Keys.
	keys int
	// held is the bytes of all answers; at most Answers.
	held unit.Bytes
}

// New returns an empty table.
func New(cfg Config) *Table {
	return &Table{cfg: cfg, epochs: make(map[uint64]map[id.Key]*Entry)}
}

// maxUnique bounds the part of a key that the caller chooses.
const maxUnique = 128

// Prefix returns the start of the keys that callers should make now.
func (t *Table) Prefix(now time.Time) string {
	return fmt.Sprintf("%s-%d-", t.cfg.Incarnation, t.epoch(now))
}

func (t *Table) epoch(now time.Time) uint64 {
	return uint64(now.Sub(t.cfg.Start) / t.cfg.Epoch)
}

// parts is a key taken apart.
type parts struct {
	owner id.Incarnation
	epoch uint64
}

func parse(key id.Key) (parts, bool) {
	fields := strings.SplitN(string(key), "-", 3)
	if len(fields) != 3 || fields[2] == "" || len(fields[2]) > maxUnique {
		return parts{}, false
	}
	owner, err := id.ParseIncarnation(fields[0])
	if err != nil {
		return parts{}, false
	}
	epoch, err := strconv.ParseUint(fields[1], 10, 64)
	if err != nil || strconv.FormatUint(epoch, 10) != fields[1] || fields[0] != owner.String() {
		return parts{}, false
	}
	return parts{owner: owner, epoch: epoch}, true
}

// Owner returns the incarnation that owns the key, and whether the key has the
// right form.
func Owner(key id.Key) (id.Incarnation, bool) {
	p, ok := parse(key)
	return p.owner, ok
}

// Claim decides what becomes of a request with a key. The entry is nil but for
// Start, Join and Recorded.
func (t *Table) Claim(now time.Time, key id.Key, f work.Fingerprint) (Verdict, *Entry) {
	p, ok := parse(key)
	if !ok {
		return Malformed, nil
	}
	if p.owner != t.cfg.Incarnation {
		return Foreign, nil
	}
	t.Expire(now)
	if !t.open(now, p.epoch) {
		return Closed, nil
	}
	if e := t.epochs[p.epoch][key]; e != nil {
		return e.repeat(f)
	}
	if t.keys >= t.cfg.Keys {
		return Full, nil
	}
	return Start, t.add(p.epoch, key, f)
}

func (e *Entry) repeat(f work.Fingerprint) (Verdict, *Entry) {
	if e.fingerprint != f {
		return Reused, nil
	}
	if !e.settled {
		return Join, e
	}
	return Recorded, e
}

// open tells whether keys of the epoch are remembered: its own time and the
// epoch after it.
func (t *Table) open(now time.Time, epoch uint64) bool {
	current := t.epoch(now)
	return epoch == current || epoch+1 == current
}

func (t *Table) add(epoch uint64, key id.Key, f work.Fingerprint) *Entry {
	if t.epochs[epoch] == nil {
		t.epochs[epoch] = make(map[id.Key]*Entry)
	}
	e := &Entry{Done: make(chan struct{}), fingerprint: f}
	t.epochs[epoch][key] = e
	t.keys++
	return e
}

// Settle records the answer of a request that Claim let start. An outcome of
// "not run" frees the key, so that a repeat may start.
func (t *Table) Settle(key id.Key, e *Entry, answer work.Answer) {
	if e.settled {
		panic("ledger: key settled twice")
	}
	e.settled = true
	e.Answer = answer
	if t.holds(key, e) {
		e.Answer = t.recorded(answer)
	}
	if answer.Outcome == outcome.NotRun {
		t.drop(key, e)
	}
	close(e.Done)
}

// recorded returns what is kept of an answer: all of it where it is whole and
// there is room, else the fact that the request ran.
func (t *Table) recorded(a work.Answer) work.Answer {
	if a.Outcome != outcome.Ran {
		return a
	}
	size := unit.Bytes(len(a.Held))
	if a.Rest != nil || t.held+size > t.cfg.Answers {
		return work.Refuse(outcome.Ran, statusGone, work.AnswerNotHeld)
	}
	t.held += size
	a.Held = append([]byte(nil), a.Held...)
	a.Done = nil
	return a
}

// statusGone is the HTTP status "Gone".
const statusGone = 410

// holds tells whether the entry is still remembered: its epoch may have closed
// while the request ran.
func (t *Table) holds(key id.Key, e *Entry) bool {
	p, _ := parse(key)
	return t.epochs[p.epoch][key] == e
}

func (t *Table) drop(key id.Key, e *Entry) {
	if t.holds(key, e) {
		p, _ := parse(key)
		delete(t.epochs[p.epoch], key)
		t.keys--
	}
}

// Expire forgets the keys of closed epochs.
func (t *Table) Expire(now time.Time) {
	for epoch, keys := range t.epochs {
		if t.open(now, epoch) {
			continue
		}
		for _, e := range keys {
			if e.settled {
				t.held -= heldBytes(e.Answer)
			}
		}
		t.keys -= len(keys)
		delete(t.epochs, epoch)
	}
}

func heldBytes(a work.Answer) unit.Bytes {
	if a.Outcome != outcome.Ran || a.Reason != work.NoReason {
		return 0
	}
	return unit.Bytes(len(a.Held))
}

// State is the table's part of a dump.
type State struct {
	Epoch uint64
	Keys  int
	Held  unit.Bytes
}

// State returns the sizes of the table.
func (t *Table) State(now time.Time) State {
	return State{Epoch: t.epoch(now), Keys: t.keys, Held: t.held}
}
