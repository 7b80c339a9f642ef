package schedule

import (
	"time"

	"github.com/briarrouter/briarrouter/health"
	"github.com/briarrouter/briarrouter/id"
)

// TargetState is a target's part of a dump.
type TargetState struct {
	Target   id.Target
	Address  id.Address
	Running  int
	Long     int
	Capacity int
	Leaving  bool
	// Why says in words why the target takes no work or less work.
	Why    string
	Health health.TargetState
	// Sick is the probability that the target fails now.
	Sick float64
}

// State is the scheduler's part of a dump.
type State struct {
	Waiting int
	Running int
	Counts  Counts
	Targets []TargetState
}

// State returns the state of the service and of each target.
func (s *Scheduler) State(now time.Time) State {
	st := State{Waiting: s.queue.len(), Running: len(s.granted), Counts: s.counts}
	for _, t := range s.targets {
		st.Targets = append(st.Targets, TargetState{
			Target: t.endpoint.ID, Address: t.endpoint.Address, Running: t.running, Long: t.long,
			Capacity: s.targetCapacity(now, t), Leaving: t.leaving,
			Why: s.why(now, t), Health: s.judge.TargetState(t.endpoint.ID), Sick: t.sick(now),
		})
	}
	return st
}

func (s *Scheduler) why(now time.Time, t *target) string {
	state := s.judge.TargetState(t.endpoint.ID)
	switch {
	case t.leaving:
		return "it is leaving"
	case now.Before(t.unfitUntil):
		return "its last connection failed"
	case state.State == health.Ejected:
		return "the evidence of slow or wrong answers reached the bound; ejected until " + state.Until.Format(time.TimeOnly)
	case state.State == health.Trial:
		return "it returns from an ejection"
	case s.targetCapacity(now, t) < int(s.slots(t.endpoint)):
		return "it shed load or warms up"
	default:
		return ""
	}
}
