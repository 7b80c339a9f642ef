package dispatch

import (
	"time"

	"github.com/briarrouter/briarrouter/configuration"
	"github.com/briarrouter/briarrouter/schedule"
	"github.com/briarrouter/briarrouter/work"
)

// logAttempt tells what one attempt rested on and how it ended.
func (s *serviceDispatcher) logAttempt(x *attemptExchange) {
	reply, in := &x.reply, x.inputs
	s.scope.Tagged(map[string]string{"ending": string(reply.Ending)}).Counter("attempts").Inc(1)
	s.scope.Timer("attempt_seconds").Record(x.result.Elapsed)
	event := s.log.Info().
		Str("Request", string(x.of.req.ID)).
		Str("Route", string(x.of.route.Name)).
		Bool("Idempotent", x.of.route.Idempotent).
		Int("Attempt", x.number).
		Bool("Beside", x.beside).
		Str("Target", string(x.endpoint.ID)).
		Str("Address", string(x.endpoint.Address)).
		Int("Targets", in.Targets).
		Int("Eligible", in.Eligible).
		Str("Chosen", string(in.Chosen)).
		Int("Running", in.Running).
		Float64("Load", in.Load).
		Float64("Sick", in.Sick).
		Dur("EvidenceAge", in.Age).
		Dur("Idle", reply.Idle).
		Dur("Waited", x.waited).
		Dur("Elapsed", x.result.Elapsed).
		Dur("Left", time.Until(x.of.req.Deadline)).
		Str("Ending", string(reply.Ending)).
		Int("Status", reply.Status)
	if reply.Err != nil {
		event = event.AnErr("Cause", reply.Err)
	}
	event.Msg("attempt ended")
}

// logRefusal tells why a request was not sent to a target.
func (s *serviceDispatcher) logRefusal(req *work.Request, route *configuration.Route, attempt int, d schedule.Decision, waited time.Duration) {
	s.scope.Tagged(map[string]string{"reason": string(d.Reason)}).Counter("refusals").Inc(1)
	s.mu.Lock()
	waiting, targets := s.scheduler.Waiting(), s.scheduler.Targets()
	s.mu.Unlock()
	s.log.Info().
		Str("Request", string(req.ID)).
		Str("Route", string(route.Name)).
		Int("Attempt", attempt).
		Str("Reason", string(d.Reason)).
		Int("Targets", targets).
		Int("Waiting", waiting).
		Dur("Waited", waited).
		Dur("Left", time.Until(req.Deadline)).
		Dur("RetryAfter", d.RetryAfter).
		Msg("request refused")
}
