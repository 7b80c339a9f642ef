package registry

import (
	"bytes"
	"cmp"
	"time"

	"github.com/briarrouter/briarrouter/configuration"
)

// Era counts how often the platform has returned from an older copy of its data. It then
// has lost its last changes and assigns their revisions again.
type Era uint64

// Position orders the changes of what the platform publishes across eras.
type Position struct {
	Era      Era
	Revision Revision
}

// Compare returns -1, 0 or 1 if p is before q, equal to it, or after it.
func (p Position) Compare(q Position) int {
	return cmp.Or(cmp.Compare(p.Era, q.Era), cmp.Compare(p.Revision, q.Revision))
}

// EntryVersion orders the entries that a target wrote itself. In contrast to a position,
// it does not change if the platform lists an entry from an older copy.
type EntryVersion struct {
	// Incarnation is that of the target's process, which is its start time.
	Incarnation uint64
	// Sequence counts the entries that the process wrote.
	Sequence uint64
}

// Compare returns -1, 0 or 1 if a is older than b, equal to it, or newer.
func (a EntryVersion) Compare(b EntryVersion) int {
	return cmp.Or(cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.Sequence, b.Sequence))
}

func newerVersion(a, b EntryVersion) EntryVersion {
	if a.Compare(b) < 0 {
		return b
	}
	return a
}

// enterEra takes over the era of a listing if it is later than that of the copy. What the
// copy has and the platform lacks then may have been written in the seconds that the
// platform lost. It is kept for lapseGrace, in which it is written again.
func (v *View) enterEra(now time.Time, l Listing) {
	began := l.Began
	if began == 0 {
		began = l.Revision
	}
	switch {
	case l.Era > v.era:
		if v.revision > 0 {
			v.platformDown, v.graceUntil = false, now.Add(lapseGrace)
			for name := range v.expiring {
				v.targets[name].removalDue = v.graceUntil
			}
		}
		v.era, v.revision, v.began = l.Era, 0, began
	case l.Era == v.era:
		v.began = min(v.began, began)
	}
}

// mayBeFromCopy reports whether an update may have been written before the present era
// began, so that the platform published it from its older copy.
func (v *View) mayBeFromCopy(u Update) bool {
	return u.Era < v.era || u.Revision <= v.began
}

// applyEntryAcrossEras applies a registration of another era than what is known of its
// target. The result does not depend on which of the two is received first.
func (v *View) applyEntryAcrossEras(now time.Time, u Update, rec *targetRecord) []Update {
	switch {
	case rec.position().Era == u.Era && rec.position().Compare(u.Position()) >= 0:
		return nil
	case rec.update.Entry == nil && (u.Era < rec.update.Era || v.mayBeFromCopy(u) && u.Entry.Version().Compare(rec.update.Removed) <= 0):
		return nil
	case rec.update.Entry == nil:
		v.setRecord(u.Target, &targetRecord{update: u})
		return []Update{u}
	case u.Era < rec.update.Era:
		return v.applyEarlier(now, u, rec)
	case !v.outlives(u, rec.update):
		v.replaceEntry(u, rec)
		return []Update{u}
	}
	if u.Entry.Incarnation < rec.update.Entry.Incarnation && rec.delayedRemoval == nil {
		// The platform lacks the process that is known.
		v.delayRemoval(rec, Update{Era: u.Era, Revision: u.Revision, Target: u.Target}, now.Add(lapseGrace))
	}
	return nil
}

// replaceEntry replaces a registration by one of another era. A delayed removal that is
// later than both stays pending.
func (v *View) replaceEntry(u Update, rec *targetRecord) *targetRecord {
	next := &targetRecord{update: u}
	v.setRecord(u.Target, next)
	if d := rec.delayedRemoval; d != nil && d.Position().Compare(u.Position()) > 0 {
		v.delayRemoval(next, *d, rec.removalDue)
	}
	return next
}

// applyEarlier applies a registration of an earlier era than the one that is known.
func (v *View) applyEarlier(now time.Time, u Update, rec *targetRecord) []Update {
	known := rec.update
	if *u.Entry == *known.Entry || !v.outlives(known, u) {
		return nil
	}
	next := v.replaceEntry(u, rec)
	if known.Entry.Incarnation < u.Entry.Incarnation && next.delayedRemoval == nil {
		v.delayRemoval(next, Update{Era: known.Era, Revision: known.Revision, Target: u.Target}, now.Add(lapseGrace))
	}
	return []Update{u}
}

// outlives reports whether an entry of an earlier era stays in use although the platform
// lists another one in a later era: because that one may be from the older copy, and is
// not newer.
func (v *View) outlives(listed, earlier Update) bool {
	if !v.mayBeFromCopy(listed) {
		return false
	}
	switch c := listed.Entry.Version().Compare(earlier.Entry.Version()); {
	case c != 0:
		return c < 0
	default:
		// A target that said that it leaves does not take that back.
		return *listed.Entry == *earlier.Entry || earlier.Entry.Leaving
	}
}

// removeAcrossEras applies a removal of an earlier era than the registration that is
// known. It counts if the platform may have listed that registration from its older copy.
func (v *View) removeAcrossEras(now time.Time, u Update, rec *targetRecord) []Update {
	if !v.mayBeFromCopy(rec.update) || rec.update.Entry.Version().Compare(u.Removed) > 0 {
		return nil
	}
	v.setRecord(u.Target, &targetRecord{update: u, removedAt: now})
	return []Update{u}
}

// supersedes reports whether a configuration replaces the one that is known. Of two eras,
// the version decides: the later era may begin with an earlier configuration.
func (v *View) supersedes(u Update) bool {
	known := v.configuration
	if known.Configuration == nil && u.Configuration != nil {
		// A malformed item has revision 0, which is not above that of no configuration.
		return true
	}
	if u.Era == known.Era || known.Configuration == nil {
		return u.Position().Compare(known.Position()) > 0
	}
	if bytes.Equal(u.Configuration, known.Configuration) {
		return false
	}
	switch v.assess(u.Configuration) {
	case configuration.Accepted:
		return true
	case configuration.Older:
		return false
	default:
		return u.Era > known.Era
	}
}

// restartFeedAfter makes every follower start anew with a full listing if the era of the
// copy has changed: the changes do not name the targets that a follower has and this
// daemon never had. The caller holds mu.
func (r *Registry) restartFeedAfter(before Era) {
	if r.view.Era() == before {
		return
	}
	r.feed.Reset()
	r.cfg.Log.Warn().Uint64("Era", uint64(r.view.Era())).Uint64("Before", uint64(before)).Uint64("Revision", uint64(r.view.Revision())).
		Msg("platform returned from an older copy")
}
