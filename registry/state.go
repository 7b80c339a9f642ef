package registry

import (
	"maps"
	"slices"
	"time"

	"github.com/briarrouter/briarrouter/id"
)

// State is the registry's part of a dump.
type State struct {
	// Era and Revision are the position of the copy.
	Era      Era
	Revision Revision
	// Targets counts the registered targets.
	Targets int
	// Missing counts the targets that are kept although their registration may
	// have lapsed.
	Missing int
	// AgeMilliseconds is the age of the copy; negative while there is none.
	AgeMilliseconds int64
	// Platform is set while this daemon reads from the platform.
	Platform bool
	// Follows lists the peers whose feeds this daemon follows.
	Follows []id.Host
	// Calls counts the calls to the platform.
	Calls int64
}

func (r *Registry) State() any {
	r.mu.Lock()
	defer r.mu.Unlock()
	st := State{
		Era: r.view.Era(), Revision: r.view.Revision(), AgeMilliseconds: r.age(time.Now(), true).Milliseconds(), Platform: r.reader != nil,
		Follows: slices.Sorted(maps.Keys(r.followers)), Calls: r.platformCalls,
	}
	st.Targets, st.Missing = r.view.Counts()
	return st
}
