package schedule

import (
	"slices"
	"time"

	"github.com/briarrouter/briarrouter/statement"
	"github.com/briarrouter/briarrouter/unit"
)

// SetStatements sets what the targets say of themselves.
func (s *Scheduler) SetStatements(t *statement.Table) { s.statements = t }

// leaving reports whether the target is leaving, by the platform's list or by its own
// word.
func (s *Scheduler) leaving(now time.Time, t *target) bool {
	return t.leaving || s.statements.Verdict(now, t.endpoint.Process()).Leaving
}

// markServing records that the health endpoint showed no sign of leaving, and reports
// whether the target returns to service.
func (s *Scheduler) markServing(now time.Time, t *target) bool {
	p := t.endpoint.Process()
	said := s.statements.LeavingSaidAt(now, p)
	lastSign := said
	if t.leaving && t.lastLeavingSign.After(said) {
		lastSign = t.lastLeavingSign
	}
	if lastSign.IsZero() || t.endpoint.Leaving || now.Sub(lastSign) < servingDelay {
		return false
	}
	s.statements.Stay(p)
	t.leaving, t.warmupStart = false, now
	return true
}

// noTargetRetryAfter is about the time in which a platform lists a new target.
const noTargetRetryAfter = time.Second

// anyStays reports whether there is a target that is not leaving.
func (s *Scheduler) anyStays(now time.Time) bool {
	return slices.ContainsFunc(s.targets, func(t *target) bool { return !s.leaving(now, t) })
}

// statedWait returns how long the statements of the targets keep a request waiting
// behind a number of others; zero if they let some target be sent one now.
func (s *Scheduler) statedWait(now time.Time, ahead int) time.Duration {
	var first time.Duration
	var rate unit.PerSecond
	for _, t := range s.targets {
		v := s.statements.Verdict(now, t.endpoint.Process())
		if t.leaving || v.Leaving {
			continue
		}
		if v.Wait == 0 {
			return 0
		}
		if first == 0 || v.Wait < first {
			first = v.Wait
		}
		rate += v.Share
	}
	if ahead > 0 && rate > 0 {
		first += time.Duration(float64(ahead) / float64(rate) * float64(time.Second))
	}
	return first
}
