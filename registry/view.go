package registry

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/briarrouter/briarrouter/configuration"
	"github.com/briarrouter/briarrouter/id"
	"github.com/briarrouter/briarrouter/schedule"
)

const (
	// lapseGrace is the time after an outage of the platform during which the view
	// keeps a target whose registration has disappeared. Targets cannot renew their
	// registrations during the outage; they do so within about two seconds of its
	// end. A target that is still missing after that is gone.
	lapseGrace = 2200 * time.Millisecond
	// removalRetention is how long a removal is remembered, so that a peer with
	// an older copy cannot bring the target back. Peers are expected to send
	// no full listing from a copy that is older than that.
	removalRetention = time.Minute
)

// targetRecord is what the view knows of one target.
type targetRecord struct {
	// update is the last update; its Entry is nil if the target is gone, and Removed then
	// is the version of its last entry.
	update Update
	// delayedRemoval takes effect at removalDue unless the target is registered
	// again; nil if no removal is pending.
	delayedRemoval *Update
	removalDue     time.Time
	// removedAt is the time at which the removal took effect.
	removedAt time.Time
}

// position returns the position of the last update that is known of the target,
// including a removal that is delayed.
func (rec *targetRecord) position() Position {
	if rec.delayedRemoval != nil {
		return rec.delayedRemoval.Position()
	}
	return rec.update.Position()
}

// View is one daemon's copy of what the platform publishes. Methods that change
// it return the updates that took effect, which are passed on to the followers
// of this daemon. It is not safe for concurrent use.
type View struct {
	era      Era
	revision Revision
	// began is the least revision at which the platform was seen in the present era.
	began Revision
	// assess compares a configuration with the one in force.
	assess func(document []byte) configuration.Verdict
	// targets is changed by setRecord and deleteRecord only.
	targets map[id.Target]*targetRecord
	// byAddress holds the registered targets at each address. There are several if the
	// address was reassigned before the earlier target's registration ended.
	byAddress map[id.Address][]id.Target
	// expiring holds the targets with a delayed removal and those that are gone.
	expiring map[id.Target]bool
	// changed holds the targets that may have become usable or unusable, or changed,
	// since the last call of TakeChanged.
	changed       map[id.Target]bool
	configuration Update
	// platformDown is set from MarkPlatformDown until the platform responds again.
	platformDown bool
	// graceUntil is the end of the grace period after an outage. A registration that
	// disappears before then may just have lapsed while its target still runs.
	graceUntil time.Time
}

// NewView returns an empty copy. The function assess compares a configuration with the one
// in force; it is called when configurations of two eras meet.
func NewView(assess func(document []byte) configuration.Verdict) *View {
	return &View{
		assess: assess, targets: make(map[id.Target]*targetRecord), byAddress: make(map[id.Address][]id.Target),
		expiring: make(map[id.Target]bool), changed: make(map[id.Target]bool),
	}
}

// setRecord sets what is known of a target.
func (v *View) setRecord(name id.Target, rec *targetRecord) {
	v.forgetAddress(name)
	v.targets[name] = rec
	v.changed[name] = true
	if rec.update.Entry == nil {
		v.expiring[name] = true
		return
	}
	delete(v.expiring, name)
	address := rec.update.Entry.Address
	for _, other := range v.byAddress[address] {
		v.changed[other] = true
	}
	v.byAddress[address] = append(v.byAddress[address], name)
}

// deleteRecord forgets a target.
func (v *View) deleteRecord(name id.Target) {
	v.forgetAddress(name)
	delete(v.targets, name)
	delete(v.expiring, name)
}

// forgetAddress removes a target from the index of addresses.
func (v *View) forgetAddress(name id.Target) {
	rec := v.targets[name]
	if rec == nil || rec.update.Entry == nil {
		return
	}
	address := rec.update.Entry.Address
	others := slices.DeleteFunc(v.byAddress[address], func(other id.Target) bool { return other == name })
	if len(others) == 0 {
		delete(v.byAddress, address)
		return
	}
	v.byAddress[address] = others
	for _, other := range others {
		v.changed[other] = true
	}
}

// TakeChanged returns the targets that may have changed since the last call.
func (v *View) TakeChanged() []id.Target {
	list := slices.Sorted(maps.Keys(v.changed))
	v.changed = make(map[id.Target]bool)
	return list
}

// Listed returns the registration of a target that may be used. If several targets
// have the same address, that is only the one registered last, because the address was
// reassigned.
func (v *View) Listed(name id.Target) (Entry, bool) {
	rec := v.targets[name]
	if rec == nil || rec.update.Entry == nil {
		return Entry{}, false
	}
	for _, other := range v.byAddress[rec.update.Entry.Address] {
		if v.targets[other].update.Position().Compare(rec.update.Position()) > 0 {
			return Entry{}, false
		}
	}
	return *rec.update.Entry, true
}

func (v *View) Revision() Revision { return v.revision }

func (v *View) Era() Era { return v.era }

// MarkPlatformDown records that the platform does not respond to this daemon.
func (v *View) MarkPlatformDown() { v.platformDown = true }

// StopReading records that this daemon no longer reads from the platform. What it holds
// to be an outage then no longer delays removals.
func (v *View) StopReading() { v.platformDown = false }

// ApplyFromPlatform applies a response of the platform. It delays removals for
// lapseGrace after an outage, since registrations may have lapsed while their
// targets still run.
func (v *View) ApplyFromPlatform(now time.Time, l Listing) []Update {
	if v.platformDown {
		v.platformDown, v.graceUntil = false, now.Add(lapseGrace)
	}
	return v.applyListing(now, l, now.Before(v.graceUntil))
}

// ApplyFromPeer applies what took effect at a peer. The peer has already
// delayed removals where necessary, so they take effect at once.
func (v *View) ApplyFromPeer(now time.Time, l Listing) []Update { return v.applyListing(now, l, false) }

func (v *View) applyListing(now time.Time, l Listing, mayHaveLapsed bool) []Update {
	v.enterEra(now, l)
	var applied []Update
	for _, u := range l.Updates {
		if l.Era < v.era && u.Entry != nil && !v.registered(u.Target) {
			// The sender does not know yet whether the platform still has the target.
			continue
		}
		applied = append(applied, v.apply(now, u, mayHaveLapsed)...)
	}
	if l.Full {
		applied = append(applied, v.removeUnlisted(now, l, mayHaveLapsed)...)
	}
	if l.Era == v.era {
		v.revision = max(v.revision, l.Revision)
	}
	return applied
}

// registered reports whether a target is known and not removed.
func (v *View) registered(name id.Target) bool {
	rec := v.targets[name]
	return rec != nil && rec.update.Entry != nil
}

func (v *View) apply(now time.Time, u Update, mayHaveLapsed bool) []Update {
	switch {
	case u.Target == "":
		if !v.supersedes(u) {
			return nil
		}
		v.configuration = u
	case u.Entry == nil:
		return v.remove(now, u, mayHaveLapsed)
	default:
		return v.applyEntry(now, u)
	}
	return []Update{u}
}

func (v *View) applyEntry(now time.Time, u Update) []Update {
	rec := v.targets[u.Target]
	switch {
	case rec == nil:
	case rec.update.Era != u.Era:
		return v.applyEntryAcrossEras(now, u, rec)
	case rec.position().Compare(u.Position()) >= 0:
		return nil
	}
	v.setRecord(u.Target, &targetRecord{update: u})
	return []Update{u}
}

// removeUnlisted removes the targets that a full listing lacks, except those that
// registered after its revision. The listing may be older than the copy: the copy
// may lack a removal that the peers it came from had delayed.
func (v *View) removeUnlisted(now time.Time, l Listing, mayHaveLapsed bool) []Update {
	listed := make(map[id.Target]bool, len(l.Updates))
	for _, u := range l.Updates {
		listed[u.Target] = listed[u.Target] || u.Entry != nil
	}
	var applied []Update
	for _, name := range slices.Sorted(maps.Keys(v.targets)) {
		if !listed[name] {
			applied = append(applied, v.remove(now, Update{Era: l.Era, Revision: l.Revision, Target: name}, mayHaveLapsed)...)
		}
	}
	return applied
}

// remove removes a target, or delays the removal if the registration may just have
// lapsed or been lost with the end of an era. It also records the removal of an unknown
// target, so that an older update cannot add it.
func (v *View) remove(now time.Time, u Update, mayHaveLapsed bool) []Update {
	rec := v.targets[u.Target]
	removedAt := now.Add(-u.RemovedAgo)
	u.RemovedAgo = 0
	switch {
	case rec == nil:
		v.setRecord(u.Target, &targetRecord{update: u, removedAt: removedAt})
		return nil
	case rec.update.Entry == nil:
		if u.Position().Compare(rec.update.Position()) > 0 {
			u.Removed = newerVersion(u.Removed, rec.update.Removed)
			rec.update = u
		}
		return nil
	case u.Era < rec.update.Era:
		return v.removeAcrossEras(removedAt, u, rec)
	case rec.update.Position().Compare(u.Position()) >= 0:
		return nil
	}
	u.Removed = newerVersion(u.Removed, rec.update.Entry.Version())
	if mayHaveLapsed || rec.update.Era < u.Era && now.Before(v.graceUntil) {
		switch d := rec.delayedRemoval; {
		case d == nil:
			v.delayRemoval(rec, u, v.graceUntil)
		case d.Position().Compare(u.Position()) < 0:
			v.delayRemoval(rec, u, rec.removalDue)
		}
		return nil
	}
	if d := rec.delayedRemoval; d != nil && d.Position().Compare(u.Position()) > 0 {
		u.Era, u.Revision = d.Era, d.Revision
	}
	v.setRecord(u.Target, &targetRecord{update: u, removedAt: removedAt})
	return []Update{u}
}

// delayRemoval removes a target at a time unless it is registered again before that.
func (v *View) delayRemoval(rec *targetRecord, u Update, due time.Time) {
	u.Removed = newerVersion(u.Removed, rec.update.Entry.Version())
	rec.delayedRemoval, rec.removalDue = &u, due
	v.expiring[u.Target] = true
}

// Expire performs delayed removals that are due, except while the platform does
// not respond. It deletes the records of targets that were removed more than
// removalRetention ago.
func (v *View) Expire(now time.Time) []Update {
	if len(v.expiring) == 0 {
		return nil
	}
	var applied []Update
	for _, name := range slices.Sorted(maps.Keys(v.expiring)) {
		rec := v.targets[name]
		switch {
		case rec.delayedRemoval != nil && !now.Before(rec.removalDue) && !v.platformDown:
			applied = append(applied, *rec.delayedRemoval)
			v.setRecord(name, &targetRecord{update: *rec.delayedRemoval, removedAt: now})
		case rec.update.Entry == nil && now.Sub(rec.removedAt) >= removalRetention:
			v.deleteRecord(name)
		}
	}
	return applied
}

// Counts returns how many targets are registered, and how many of them have a
// delayed removal.
func (v *View) Counts() (registered, missing int) {
	for _, rec := range v.targets {
		if rec.update.Entry != nil {
			registered++
		}
		if rec.delayedRemoval != nil {
			missing++
		}
	}
	return registered, missing
}

// FullListing returns the whole copy, including targets whose removal is delayed, and the
// removals that are remembered.
func (v *View) FullListing(now time.Time) Listing {
	l := v.changes(nil)
	l.Full = true
	if v.configuration.Configuration != nil {
		l.Updates = append(l.Updates, v.configuration)
	}
	for _, name := range slices.Sorted(maps.Keys(v.targets)) {
		u := v.targets[name].update
		if u.Entry == nil {
			u.RemovedAgo = now.Sub(v.targets[name].removedAt)
		}
		l.Updates = append(l.Updates, u)
	}
	return l
}

// changes returns a listing of some updates.
func (v *View) changes(updates []Update) Listing {
	return Listing{Era: v.era, Began: v.began, Revision: v.revision, Updates: updates}
}

// Configuration returns the newest configuration document, or nil.
func (v *View) Configuration() []byte { return v.configuration.Configuration }

// Targets returns the targets of a service that may be used, sorted by id.
func (v *View) Targets(s id.Service) []schedule.Endpoint {
	var list []schedule.Endpoint
	for name, rec := range v.targets {
		if rec.update.Entry == nil || rec.update.Entry.Service != s {
			continue
		}
		if e, ok := v.Listed(name); ok {
			list = append(list, e.Endpoint)
		}
	}
	slices.SortFunc(list, func(a, b schedule.Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	return list
}
