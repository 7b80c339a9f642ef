// Package idempotency stores the idempotency keys that one daemon incarnation owns,
// and the responses to their requests. Only the owner of a key starts its request,
// so the request runs at most once without state shared between daemons.
package idempotency

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/briarrouter/briarrouter/id"
	"github.com/briarrouter/briarrouter/memory"
	"github.com/briarrouter/briarrouter/outcome"
	"github.com/briarrouter/briarrouter/unit"
	"github.com/briarrouter/briarrouter/work"
)

type Config struct {
	Incarnation id.Incarnation
	// Start is the start time of the process, with a monotonic clock reading.
	Start time.Time
	// Epoch is the duration of an epoch. Epochs are numbered from Start on; a key
	// names its epoch in its prefix and is kept until the end of the epoch that
	// follows.
	Epoch time.Duration
	// Keys is the maximum number of keys.
	Keys int
	// ResponseBytes is the maximum total size of the responses that are kept
	// for retries with the same key.
	ResponseBytes unit.Bytes
}

// Verdict is the decision about a request with a key.
type Verdict string

const (
	// Start means that this request is the first with its key. The caller must run
	// it and then call Settle.
	Start Verdict = "Start"
	// Join means that an earlier request with the key is running. Its response
	// is available once Entry.Done is closed.
	Join Verdict = "Join"
	// Recorded means that the Entry has the response to an earlier request with the
	// key.
	Recorded Verdict = "Recorded"
	// Foreign means that another incarnation owns the key.
	Foreign Verdict = "Foreign"
	// Closed means that the key's epoch is neither the current one nor the one before
	// it. Whether the request ran is not known.
	Closed Verdict = "Closed"
	// Reused means that the key was used with a different request.
	Reused Verdict = "Reused"
	// Malformed means that the key does not start with a prefix of the form that
	// Prefix returns.
	Malformed Verdict = "Malformed"
	// Full means that the key is new but the table already has the maximum number of
	// keys. The request must not be started.
	Full Verdict = "Full"
)

// Entry is the state of the request of one key.
type Entry struct {
	// Done is closed when Settle has set Response.
	Done chan struct{}
	// Response may be read once Done is closed.
	Response work.Response

	fingerprint work.Fingerprint
	settled     bool
}

// Table holds the keys of one incarnation. It is not safe for concurrent use.
type Table struct {
	cfg Config
	// epochs holds the entries by epoch. Expire removes the epochs that are no longer
	// open; isOpen defines which are.
	epochs map[uint64]map[id.Key]*Entry
	// keys is the number of entries in epochs; at most Config.Keys.
	keys int
	// responseBytes is the total size of the stored responses; at most
	// Config.ResponseBytes.
	responseBytes unit.Bytes
}

func New(cfg Config) *Table {
	return &Table{cfg: cfg, epochs: make(map[uint64]map[id.Key]*Entry)}
}

// maxCallerPart is the maximum length of the part of a key that the caller
// chooses.
const maxCallerPart = 128

// Prefix returns the prefix of new keys: the incarnation and the current epoch.
func (t *Table) Prefix(now time.Time) string {
	return fmt.Sprintf("%s-%d-", t.cfg.Incarnation, t.epoch(now))
}

func (t *Table) epoch(now time.Time) uint64 {
	return uint64(now.Sub(t.cfg.Start) / t.cfg.Epoch)
}

// parsedKey is the decoded prefix of a key.
type parsedKey struct {
	owner id.Incarnation
	epoch uint64
}

func parseKey(key id.Key) (parsedKey, bool) {
	fields := strings.SplitN(string(key), "-", 3)
	if len(fields) != 3 || fields[2] == "" || len(fields[2]) > maxCallerPart {
		return parsedKey{}, false
	}
	owner, err := id.ParseIncarnation(fields[0])
	if err != nil {
		return parsedKey{}, false
	}
	epoch, err := strconv.ParseUint(fields[1], 10, 64)
	if err != nil || strconv.FormatUint(epoch, 10) != fields[1] || fields[0] != owner.String() {
		return parsedKey{}, false
	}
	return parsedKey{owner: owner, epoch: epoch}, true
}

// Owner returns the incarnation that owns the key. The second result is false if
// the key is malformed.
func Owner(key id.Key) (id.Incarnation, bool) {
	p, ok := parseKey(key)
	return p.owner, ok
}

// Claim decides about a request with a key, and adds the key if the verdict is
// Start. The entry is nil unless the verdict is Start, Join or Recorded.
func (t *Table) Claim(now time.Time, key id.Key, f work.Fingerprint) (Verdict, *Entry) {
	p, ok := parseKey(key)
	if !ok {
		return Malformed, nil
	}
	if p.owner != t.cfg.Incarnation {
		return Foreign, nil
	}
	t.Expire(now)
	if !t.isOpen(now, p.epoch) {
		return Closed, nil
	}
	if e := t.epochs[p.epoch][key]; e != nil {
		return e.verdictFor(f)
	}
	if t.keys >= t.cfg.Keys {
		return Full, nil
	}
	return Start, t.add(p.epoch, key, f)
}

// verdictFor decides about a further request with the key of the entry.
func (e *Entry) verdictFor(f work.Fingerprint) (Verdict, *Entry) {
	if e.fingerprint != f {
		return Reused, nil
	}
	if !e.settled {
		return Join, e
	}
	return Recorded, e
}

// isOpen reports whether keys of the epoch are kept. Only the current epoch and the
// one before it are open.
func (t *Table) isOpen(now time.Time, epoch uint64) bool {
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

// Settle records the response to a request for which Claim returned Start. The
// outcome NotRun removes the key, so that a retry may start.
func (t *Table) Settle(key id.Key, e *Entry, response work.Response) {
	if e.settled {
		panic("idempotency: key settled twice")
	}
	e.settled = true
	e.Response = response
	if t.contains(key, e) {
		e.Response = t.responseToKeep(response)
	}
	if response.Outcome == outcome.NotRun {
		t.remove(key, e)
	}
	close(e.Done)
}

// responseToKeep returns the response to keep for retries and adds its size to
// responseBytes. If the body is not completely buffered or would exceed
// Config.ResponseBytes, the result says only that the request ran.
func (t *Table) responseToKeep(response work.Response) work.Response {
	if response.Outcome != outcome.Ran {
		return response
	}
	size := keptSize(response)
	if response.Rest != nil || t.responseBytes+size > t.cfg.ResponseBytes {
		return work.Refuse(outcome.Ran, statusGone, work.ResponseNotStored)
	}
	t.responseBytes += size
	response.Buffered = append([]byte(nil), response.Buffered...)
	response.Release = nil
	return response
}

const statusGone = 410

// contains reports whether the entry is still in the table: its epoch may have
// closed while the request was running.
func (t *Table) contains(key id.Key, e *Entry) bool {
	p, _ := parseKey(key)
	return t.epochs[p.epoch][key] == e
}

func (t *Table) remove(key id.Key, e *Entry) {
	if t.contains(key, e) {
		p, _ := parseKey(key)
		delete(t.epochs[p.epoch], key)
		t.keys--
	}
}

// Expire removes the keys of epochs that are not open.
func (t *Table) Expire(now time.Time) {
	for epoch, keys := range t.epochs {
		if t.isOpen(now, epoch) {
			continue
		}
		for _, e := range keys {
			if e.settled {
				t.responseBytes -= storedBytes(e.Response)
			}
		}
		t.keys -= len(keys)
		delete(t.epochs, epoch)
	}
}

// storedBytes returns how much a settled response contributes to responseBytes. The
// body of a daemon's own response does not count.
func storedBytes(response work.Response) unit.Bytes {
	if response.Outcome != outcome.Ran || response.Reason != work.NoReason {
		return 0
	}
	return keptSize(response)
}

// keptSize returns the size of a response's body and of a header section that is larger
// than an ordinary one.
func keptSize(response work.Response) unit.Bytes {
	return unit.Bytes(len(response.Buffered)) + memory.HeaderSize(response.Header)
}

// State holds the current epoch and the sizes of a Table in a dump.
type State struct {
	Epoch uint64
	Keys  int
	// Held is the total size of the stored responses.
	Held unit.Bytes
}

func (t *Table) State(now time.Time) State {
	return State{Epoch: t.epoch(now), Keys: t.keys, Held: t.responseBytes}
}
