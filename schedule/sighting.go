package schedule

import (
	"cmp"
	"slices"
	"time"

	"github.com/briarrouter/briarrouter/id"
	"github.com/briarrouter/briarrouter/suspicion"
)

// Sighting is what one daemon observed of one target since its previous
// sighting, or, if Snapshot is set, its accumulated estimate.
type Sighting struct {
	Service id.Service
	Target  id.Target
	// Incarnation is the target's incarnation in the sender's list of targets; a
	// sighting of another incarnation is ignored.
	Incarnation uint64
	// Observations holds the latest observations, oldest first; at most
	// maxObservations.
	Observations []suspicion.Observation
	// Running is the number of requests that the sender runs on the target.
	Running int
	// Snapshot means that FailureProbability and ObservationAge are set instead of
	// Observations: the failure probability as of the sender's last observation,
	// and the time since then. A peer sends such sightings first to a daemon that
	// begins to follow it.
	Snapshot           bool
	FailureProbability float64
	ObservationAge     time.Duration
}

// maxObservations bounds the observations in one sighting. After that many, the
// earlier ones hardly affect the estimate.
const maxObservations = 8

// remoteLoad is the number of requests that another daemon runs on a target.
type remoteLoad struct {
	running int
	at      time.Time
}

// remoteLoadTTL is how long a remoteLoad is used. A daemon reports each change
// within some tens of milliseconds, so an older number either comes from a daemon
// that is gone, or counts requests that have been running since then.
const remoteLoadTTL = 2 * time.Second

// unsentSighting is what the next sighting of a target reports.
type unsentSighting struct {
	// changed means that requests were granted or finished since the last sighting.
	changed      bool
	observations []suspicion.Observation
}

// recordUnsent adds an observation of this daemon to the next sighting, and drops
// the oldest one if there would be more than maxObservations.
func (t *target) recordUnsent(o suspicion.Observation) {
	if len(t.unsent.observations) == maxObservations {
		t.unsent.observations = append(t.unsent.observations[:0], t.unsent.observations[1:]...)
	}
	t.unsent.observations = append(t.unsent.observations, o)
}

// observe applies an observation made now, by this daemon or by another.
func (t *target) observe(now time.Time, o suspicion.Observation) {
	t.estimate.Observe(now, o)
	if o != suspicion.Success && o != suspicion.Declined {
		t.lastFailed = now
	}
}

// Sightings returns a sighting of each target on which this daemon's requests were
// granted or finished since the last call.
func (s *Scheduler) Sightings() []Sighting {
	var list []Sighting
	slices.SortFunc(s.unsent, func(a, b *target) int { return cmp.Compare(a.endpoint.ID, b.endpoint.ID) })
	for _, t := range s.unsent {
		if s.byID[t.endpoint.ID] != t {
			continue
		}
		list = append(list, Sighting{
			Service: s.policy.Name, Target: t.endpoint.ID, Incarnation: t.endpoint.Incarnation,
			Observations: t.unsent.observations, Running: t.running,
		})
		t.unsent = unsentSighting{}
	}
	s.unsent = s.unsent[:0]
	return list
}

// markUnsent makes the next sightings report a target.
func (s *Scheduler) markUnsent(t *target) {
	if !t.unsent.changed {
		t.unsent.changed = true
		s.unsent = append(s.unsent, t)
	}
}

// Snapshot returns a sighting with the accumulated estimate of each target
// that has one, for a daemon that begins to follow this one.
func (s *Scheduler) Snapshot(now time.Time) []Sighting {
	var list []Sighting
	for _, t := range s.targets {
		age, known := t.estimate.Age(now)
		if !known {
			continue
		}
		list = append(list, Sighting{
			Service: s.policy.Name, Target: t.endpoint.ID, Incarnation: t.endpoint.Incarnation,
			Running: t.running, Snapshot: true, FailureProbability: t.estimate.Last(), ObservationAge: age,
		})
	}
	return list
}

// ApplySightings updates the estimates and remote loads of the targets with what
// the daemon `from` observed. It ignores sightings of targets that are not listed
// or are listed with another incarnation.
func (s *Scheduler) ApplySightings(now time.Time, from id.Host, list []Sighting) {
	s.markHeard(from, true)
	for _, sighting := range list {
		if t := s.byID[sighting.Target]; t != nil && t.endpoint.Incarnation == sighting.Incarnation {
			t.applySighting(now, from, sighting)
		}
	}
}

func (t *target) applySighting(now time.Time, from id.Host, sighting Sighting) {
	if t.remoteLoads == nil {
		t.remoteLoads = make(map[id.Host]remoteLoad)
	}
	t.remoteLoads[from] = remoteLoad{running: sighting.Running, at: now}
	if sighting.Snapshot {
		at := now.Add(-sighting.ObservationAge)
		t.estimate.Adopt(at, sighting.FailureProbability)
		if at.After(t.lastUsed) {
			t.lastUsed = at
		}
		return
	}
	t.lastUsed = now
	for _, o := range sighting.Observations[:min(len(sighting.Observations), maxObservations)] {
		if o.Valid() {
			t.observe(now, o)
		}
	}
}

// ForgetRemoteLoad drops the load reported by a daemon whose sightings ended. The
// observations that it reported stay in the estimates.
func (s *Scheduler) ForgetRemoteLoad(from id.Host) {
	s.markHeard(from, false)
	for _, t := range s.targets {
		delete(t.remoteLoads, from)
	}
}
