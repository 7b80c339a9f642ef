package schedule

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/briarrouter/briarrouter/id"
	"github.com/briarrouter/briarrouter/unit"
)

// UpdateTargets applies a change of the list of targets. State is kept for entries that
// describe the same process as before; any other entry is a new target. The cost depends
// on the size of the change, except that pointers to the targets may be moved.
func (s *Scheduler) UpdateTargets(now time.Time, c TargetChange) {
	initial := len(s.targets) == 0
	if c.Full {
		c.Gone = c.Unlisted(maps.Keys(s.byID))
	}
	for _, name := range c.Gone {
		s.removeTarget(name)
	}
	for _, e := range c.Listed {
		t := s.byID[e.ID]
		if t == nil || !t.endpoint.SameProcess(e) {
			t = s.newTarget(now, e, initial)
			s.putTarget(t)
		}
		if e.Leaving || t.endpoint.Leaving {
			t.lastLeavingSign = now
		}
		t.endpoint = e
		t.leaving = t.leaving || e.Leaving
		s.markRising(t)
		s.updateUnavailable(now, t)
	}
}

// putTarget adds a target, or replaces the one of the same ID.
func (s *Scheduler) putTarget(t *target) {
	name := t.endpoint.ID
	i, found := s.position(name)
	if found {
		s.targets[i] = t
	} else {
		s.targets = slices.Insert(s.targets, i, t)
		s.health.AddTarget(name)
	}
	s.byID[name] = t
}

func (s *Scheduler) removeTarget(name id.Target) {
	i, found := s.position(name)
	if !found {
		return
	}
	s.targets = slices.Delete(s.targets, i, i+1)
	delete(s.byID, name)
	s.health.RemoveTarget(name)
}

// position returns where a target is, or where it has to be inserted.
func (s *Scheduler) position(name id.Target) (int, bool) {
	return slices.BinarySearchFunc(s.targets, name, func(t *target, name id.Target) int { return cmp.Compare(t.endpoint.ID, name) })
}

// newTarget returns a target that warms up, unless it is in the initial list (the
// first list, or the first after an empty one). Otherwise a daemon that starts
// would give every target of the service reduced capacity.
func (s *Scheduler) newTarget(now time.Time, e Endpoint, initial bool) *target {
	t := &target{endpoint: e, limit: float64(s.slots(e)), warmupStart: now}
	if initial {
		t.warmupStart = now.Add(-s.policy.Warmup)
	} else {
		t.joinedAt = now
	}
	return t
}

// slots returns how many requests a target runs concurrently.
func (s *Scheduler) slots(e Endpoint) unit.Slots {
	if e.Slots > 0 {
		return e.Slots
	}
	return s.policy.Slots
}

// SetServing records that a target's health endpoint showed no sign of leaving,
// and reports whether the target returns to service.
func (s *Scheduler) SetServing(now time.Time, address id.Address) bool {
	back := false
	for _, t := range s.targets {
		if t.endpoint.Address == address && s.markServing(now, t) {
			back = true
			s.updateUnavailable(now, t)
		}
	}
	return back
}

// SetUnreachable records a failed connection to a target.
func (s *Scheduler) SetUnreachable(now time.Time, name id.Target) {
	if t := s.byID[name]; t != nil {
		t.startBackoff(now)
	}
}

// updateUnavailable tells the health detector whether a target cannot take traffic
// because it is leaving or unreachable.
func (s *Scheduler) updateUnavailable(now time.Time, t *target) {
	s.health.SetUnavailable(t.endpoint.ID, s.leaving(now, t) || now.Before(t.backoffUntil))
}
