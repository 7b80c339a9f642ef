package schedule

import (
	"time"

	"github.com/briarrouter/briarrouter/health"
	"github.com/briarrouter/briarrouter/id"
)

// TargetState is the part of a dump that describes a target.
type TargetState struct {
	Target   id.Target
	Address  id.Address
	Running  int
	Long     int
	Capacity int
	Leaving  bool
	// Why explains why the target gets no requests, or fewer than its slots allow.
	Why    string
	Health health.TargetState
	// Sick is the failure probability of the target.
	Sick float64
}

// State is the part of a dump that describes a service's scheduler.
type State struct {
	Waiting  int
	Running  int
	Counts   Counts
	Coverage Coverage
	Targets  []TargetState
}

func (s *Scheduler) State(now time.Time) State {
	st := State{Waiting: s.queue.len(), Running: len(s.granted), Counts: s.counts, Coverage: s.Coverage(now)}
	for _, t := range s.targets {
		st.Targets = append(st.Targets, TargetState{
			Target: t.endpoint.ID, Address: t.endpoint.Address, Running: t.running, Long: t.long,
			Capacity: s.targetCapacity(now, t), Leaving: s.leaving(now, t),
			Why: s.why(now, t), Health: s.health.TargetState(t.endpoint.ID), Sick: t.failureProbability(now),
		})
	}
	return st
}

func (s *Scheduler) why(now time.Time, t *target) string {
	state := s.health.TargetState(t.endpoint.ID)
	said := s.statements.Verdict(now, t.endpoint.Process())
	switch {
	case t.leaving:
		return "the target is leaving"
	case !said.Allowed():
		return said.String()
	case now.Before(t.backoffUntil):
		return "the last connection failed; waiting before the next attempt"
	case state.State == health.Ejected:
		return "slow or failed responses reached the ejection threshold; ejected until " + state.Until.Format(time.TimeOnly)
	case state.State == health.Trial:
		return "on trial after an ejection; one idempotent request at a time"
	case s.targetCapacity(now, t) < int(s.slots(t.endpoint)):
		return "limit lowered after load shedding, or warming up"
	default:
		return ""
	}
}
