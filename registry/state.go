package registry

import (
	"maps"
	"slices"
	"time"

	"github.com/briarrouter/briarrouter/id"
)

// State is the registry's part of a dump.
type State struct {
	Revision Revision
	Targets  int
	// Missing counts the targets that are kept although their registration may
	// have lapsed.
	Missing int
	// AgeMilliseconds is the age of the copy; negative while there is none.
	AgeMilliseconds int64
	Platform        bool
	Follows         []id.Host
	Calls           int64
}

func (r *Registry) State() any {
	r.mu.Lock()
	defer r.mu.Unlock()
	st := State{
		Revision: r.view.Revision(), AgeMilliseconds: r.age(time.Now(), true).Milliseconds(), Platform: r.reader != nil,
		Follows: slices.Sorted(maps.Keys(r.followers)), Calls: r.calls,
	}
	st.Targets, st.Missing = r.view.Counts()
	return st
}
