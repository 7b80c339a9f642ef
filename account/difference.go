package account

import (
	"maps"
	"slices"

	"github.com/briarrouter/briarrouter/id"
)

// Difference is how an account differs between two tables.
type Difference struct {
	Name id.Caller
	// Before and After are nil where the account does not exist.
	Before, After *Account
	// AddedKeys counts the keys that belong to the account in the second table only. Of
	// those that do in the first table only, MovedKeys belong to another account in the
	// second one, and WithdrawnKeys to none.
	AddedKeys, MovedKeys, WithdrawnKeys int
}

// Compare returns the accounts that differ, sorted by name.
func Compare(before, after *Table) []Difference {
	names := maps.Clone(before.byName)
	maps.Copy(names, after.byName)
	withdrawn, moved := before.keysNotIn(after)
	added, movedHere := after.keysNotIn(before)
	var list []Difference
	for _, name := range slices.Sorted(maps.Keys(names)) {
		d := Difference{Name: name, Before: before.byName[name], After: after.byName[name], AddedKeys: added[name] + movedHere[name], MovedKeys: moved[name], WithdrawnKeys: withdrawn[name]}
		changed := d.Before == nil || d.After == nil || *d.Before != *d.After
		if changed || d.AddedKeys > 0 || d.MovedKeys > 0 || d.WithdrawnKeys > 0 {
			list = append(list, d)
		}
	}
	return list
}

// keysNotIn counts, for each account, the keys that belong to no account of another table
// and those that belong to an account of another name there.
func (t *Table) keysNotIn(other *Table) (missing, moved map[id.Caller]int) {
	missing, moved = make(map[id.Caller]int), make(map[id.Caller]int)
	for k, a := range t.byKey {
		switch b := other.byKey[k]; {
		case b == nil:
			missing[a.Name]++
		case b.Name != a.Name:
			moved[a.Name]++
		}
	}
	return missing, moved
}

// WithoutKeys returns the names of the accounts that have no key, sorted.
func (t *Table) WithoutKeys() []id.Caller {
	names := maps.Clone(t.byName)
	for _, a := range t.byKey {
		delete(names, a.Name)
	}
	return slices.Sorted(maps.Keys(names))
}
