package dispatch

import (
	"strconv"
	"time"

	"github.com/briarrouter/briarrouter/configuration"
	"github.com/briarrouter/briarrouter/schedule"
	"github.com/briarrouter/briarrouter/work"
)

// logAttempt logs and counts an attempt that ended. The log line has the inputs of
// the choice of the target and the result.
func (s *serviceDispatcher) logAttempt(a *attempt) {
	reply, in := &a.reply, a.inputs
	s.scope.Tagged(map[string]string{"ending": string(reply.Ending)}).Counter("attempts").Inc(1)
	if a.held {
		s.scope.Counter("held").Inc(1)
	}
	s.scope.Timer("attempt_seconds").Record(a.result.Elapsed)
	event := s.log.Info().
		Str("Request", work.Clip(string(a.execution.req.ID))).
		Str("Route", string(a.execution.route.Name)).
		Bool("Idempotent", a.execution.route.Idempotent).
		Int("Attempt", a.number).
		Bool("Beside", a.hedged).
		Str("Target", string(a.endpoint.ID)).
		Str("Address", string(a.endpoint.Address)).
		Int("Targets", in.Targets).
		Int("Eligible", in.Eligible).
		Str("Chosen", string(in.Chosen)).
		Int("Running", in.Running).
		Float64("Load", in.Load).
		Float64("Sick", in.FailureProbability).
		Dur("EvidenceAge", in.ObservationAge).
		Dur("Idle", reply.Idle).
		Dur("Waited", a.waited).
		Bool("Held", a.held).
		Dur("Elapsed", a.result.Elapsed).
		Dur("Left", time.Until(a.execution.req.Deadline)).
		Str("Ending", string(reply.Ending)).
		Int("Status", reply.Status)
	if reply.Err != nil {
		event = event.AnErr("Cause", reply.Err)
	}
	event.Msg("attempt ended")
}

// coverageLogInterval bounds the log lines about the coverage of the targets to one
// per second for each service.
const coverageLogInterval = time.Second

// logCoverage logs how many targets receive requests, and what decided how many
// must, if this daemon is a replica and had requests in the last two seconds. The
// caller holds s.mu.
func (s *serviceDispatcher) logCoverage(now time.Time) {
	if now.Sub(s.coverageLoggedAt) < coverageLogInterval || !s.dispatcher.replicas.Load().Serving {
		return
	}
	s.coverageLoggedAt = now
	c := s.scheduler.Coverage(now)
	if c.Arrived == 0 {
		return
	}
	s.scope.Gauge("targets").Update(float64(c.Targets))
	s.scope.Gauge("targets_sound").Update(c.Sound)
	s.scope.Gauge("targets_covered").Update(c.Covered)
	s.scope.Gauge("targets_required").Update(c.Required)
	s.log.Info().
		Int("Targets", c.Targets).
		Int("Used", c.Used).
		Int("Failed", c.Failed).
		Float64("Sound", c.Sound).
		Float64("Covered", c.Covered).
		Float64("Required", c.Required).
		Float64("IdempotentRequired", c.IdempotentRequired).
		Int("Arrived", c.Arrived).
		Int("Ended", c.Ended).
		Int("Unserved", c.Unserved).
		Int("Running", c.Running).
		Msg("coverage of the targets")
}

// maxPriorityTag bounds the number of metrics; higher priorities are counted with it.
const maxPriorityTag = 7

func priorityTag(priority int) string { return strconv.Itoa(min(priority, maxPriorityTag)) }

// logRefusal logs and counts a request that the scheduler refused.
func (s *serviceDispatcher) logRefusal(req *work.Request, route *configuration.Route, attempt int, d schedule.Decision, waited time.Duration) {
	s.scope.Tagged(map[string]string{"reason": string(d.Reason), "priority": priorityTag(req.Priority)}).Counter("refusals").Inc(1)
	s.mu.Lock()
	waiting, targets := s.scheduler.Waiting(), s.scheduler.TargetCount()
	s.mu.Unlock()
	s.log.Info().
		Str("Request", work.Clip(string(req.ID))).
		Str("Route", string(route.Name)).
		Int("Attempt", attempt).
		Str("Reason", string(d.Reason)).
		Int("Priority", req.Priority).
		Bool("Held", d.Held).
		Int("Targets", targets).
		Int("Waiting", waiting).
		Dur("Waited", waited).
		Dur("Left", time.Until(req.Deadline)).
		Dur("RetryAfter", d.RetryAfter).
		Msg("request refused")
}
