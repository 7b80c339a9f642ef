// Package account identifies client accounts by the keys that callers send.
package account

import (
	"fmt"
	"iter"
	"maps"
	"slices"
	"strings"

	"github.com/briarrouter/briarrouter/id"
	"github.com/briarrouter/briarrouter/unit"
	"golang.org/x/net/http/httpguts"
)

// Key is a secret by which a caller proves its client account. Formatting or encoding
// it gives a placeholder, unless it is in an unexported field of a struct that package fmt
// formats.
type Key string

const redacted = "[redacted]"

func (Key) String() string               { return redacted }
func (Key) GoString() string             { return redacted }
func (Key) MarshalText() ([]byte, error) { return []byte(redacted), nil }

// Limit is how many requests an account may send through all daemons together: in any
// interval, Burst more than Rate times its length.
type Limit struct {
	// Rate is zero if the account has no limit.
	Rate unit.PerSecond
	// Burst is at least 1 if Rate is not zero.
	Burst float64
}

// IsUnlimited reports whether there is no limit.
func (l Limit) IsUnlimited() bool { return l.Rate == 0 }

// Account is a client account.
type Account struct {
	Name id.Caller
	// HasPriority is set if Priority replaces that of the routes.
	HasPriority bool
	// Priority orders waiting requests; 0 goes first.
	Priority int
	Limit    Limit
}

// Entry is an account as the operator configures it.
type Entry struct {
	Account
	Keys []Key
}

// Problem is a contradiction between the entries of a Table, which does not keep the
// table from being used.
type Problem string

// Table finds accounts. It is immutable.
type Table struct {
	byKey    map[Key]*Account
	byName   map[id.Caller]*Account
	problems []Problem
}

// New returns the table of the entries. Of two entries with the same name, the first
// states the priority and the limit, and the keys of both are valid. A key of several
// accounts belongs to the first. A limit whose burst is below one request, which would
// let no request pass, has a burst of one.
func New(entries []Entry) *Table {
	t := &Table{byKey: make(map[Key]*Account), byName: make(map[id.Caller]*Account)}
	for _, e := range entries {
		t.add(e)
	}
	return t
}

func (t *Table) add(e Entry) {
	if e.Name == "" || !httpguts.ValidHeaderFieldValue(string(e.Name)) {
		t.report("account %q has a name that cannot be sent to targets; it and its keys are ignored", e.Name)
		return
	}
	a := t.byName[e.Name]
	if a == nil {
		a = &Account{Name: e.Name, HasPriority: e.HasPriority, Priority: e.Priority, Limit: e.Limit}
		t.byName[e.Name] = a
		t.checkLimit(a)
	} else {
		t.report("account %s is listed twice; the priority and the limit of the first entry apply", e.Name)
	}
	for _, k := range e.Keys {
		switch other := t.byKey[k]; {
		case k == "":
			t.report("account %s has an empty key, which is ignored", e.Name)
		case !isSendable(k):
			t.report("account %s has a key with spaces or control characters, which callers cannot send", e.Name)
		case other == nil:
			t.byKey[k] = a
		case other != a:
			t.report("accounts %s and %s have the same key; it belongs to %s", other.Name, e.Name, other.Name)
		}
	}
}

// isSendable reports whether a request can carry the key as one word of a header field.
func isSendable(k Key) bool {
	return !strings.ContainsAny(string(k), " \t") && httpguts.ValidHeaderFieldValue(string(k))
}

// checkLimit replaces a limit that cannot be applied.
func (t *Table) checkLimit(a *Account) {
	switch {
	case a.Limit.Rate < 0 || a.Limit.Burst < 0:
		t.report("account %s has a negative rate or burst; it has no limit", a.Name)
		a.Limit = Limit{}
	case a.Limit.Rate > 0 && a.Limit.Burst < 1:
		t.report("account %s has a burst of %g; a burst of 1 applies", a.Name, a.Limit.Burst)
		a.Limit.Burst = 1
	}
}

func (t *Table) report(format string, args ...any) {
	t.problems = append(t.problems, Problem(fmt.Sprintf(format, args...)))
}

// String describes the table without its keys, which package fmt would otherwise print as
// plain text, because they are in unexported fields.
func (t Table) String() string { return fmt.Sprintf("%d accounts", len(t.byName)) }

// GoString is String.
func (t Table) GoString() string { return t.String() }

// Find returns the account that a key belongs to.
func (t *Table) Find(k Key) (*Account, bool) {
	a, ok := t.byKey[k]
	return a, ok
}

// Named returns the account of a name.
func (t *Table) Named(name id.Caller) (*Account, bool) {
	a, ok := t.byName[name]
	return a, ok
}

// All returns the accounts, sorted by name.
func (t *Table) All() iter.Seq[*Account] {
	return func(yield func(*Account) bool) {
		for _, name := range slices.Sorted(maps.Keys(t.byName)) {
			if !yield(t.byName[name]) {
				return
			}
		}
	}
}

// Len returns the number of accounts.
func (t *Table) Len() int { return len(t.byName) }

// Problems returns the contradictions between the entries.
func (t *Table) Problems() []Problem { return t.problems }
