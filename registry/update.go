package registry

import (
	"time"

	"github.com/briarrouter/briarrouter/id"
	"github.com/briarrouter/briarrouter/schedule"
)

// Revision orders the changes of what the platform publishes. Zero precedes all
// of them.
type Revision uint64

// Entry is the registration of a target.
type Entry struct {
	schedule.Endpoint
	Service id.Service
	// Sequence counts the entries that the target's process wrote.
	Sequence uint64
}

// Version returns the order of the entry among those of its target.
func (e *Entry) Version() EntryVersion { return EntryVersion{e.Incarnation, e.Sequence} }

// Update is one change of what the platform publishes, either of one target or
// of the configuration.
type Update struct {
	// Era is the era in which the update was read from the platform.
	Era      Era
	Revision Revision
	// Target is the target that changed; empty for an update of the
	// configuration.
	Target id.Target
	// Entry is nil if the target is gone or its registration is invalid.
	Entry *Entry
	// Removed is the version of the entry that a removal ended; zero if it is not known.
	Removed EntryVersion
	// RemovedAgo is how long ago a removal in a full listing took effect.
	RemovedAgo time.Duration
	// Configuration is the complete document.
	Configuration []byte
}

func (u Update) Position() Position { return Position{u.Era, u.Revision} }

// Listing is a set of updates: a full listing, or the changes since a revision.
type Listing struct {
	Updates []Update
	// Era is the era of the platform, or of the sender's copy.
	Era Era
	// Began is the least revision at which the platform was seen in this era; zero if
	// none is known but Revision. Updates up to it may be from the older copy with which
	// the era began.
	Began Revision
	// Revision is the revision of the copy once the updates are applied.
	Revision Revision
	// Full is set if the updates describe everything that is published.
	Full bool
}
