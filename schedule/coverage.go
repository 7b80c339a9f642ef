package schedule

import (
	"math"
	"time"
)

// Coverage is what the scheduler knows of how many of a service's targets receive
// requests. Ended, Unserved and Running decide nothing; they tell whether a platform
// would check the coverage.
type Coverage struct {
	// Targets is the number of targets that are not leaving, and whose statements do not
	// keep requests away.
	Targets int
	// Used is the number of those that received a request within spreadWindow, Failed
	// the number of those on which a request failed within failedWindow.
	Used, Failed int
	// Sound is the expected number of sound targets (see target.soundProbability),
	// Covered that of the sound targets among Used.
	Sound, Covered float64
	// Required is what Covered must be at least, whatever request it takes; zero if there
	// are too few requests. IdempotentRequired is the same for idempotent requests.
	Required, IdempotentRequired float64
	// Arrived, Ended and Unserved count this daemon's requests of the last two
	// seconds; see Scheduler.RecordServed.
	Arrived, Ended, Unserved int
	// Running is the number of this daemon's attempts in progress.
	Running int
	// soonCovered is the part of Covered that is left after coverageLead without further
	// requests, lastCovered that of the targets used within lossWindow.
	soonCovered, lastCovered float64
}

// Coverage returns the coverage at the time now. It decides whether a job must go to
// a target that is not covered.
func (s *Scheduler) Coverage(now time.Time) Coverage {
	var c Coverage
	for _, t := range s.targets {
		if v := s.statements.Verdict(now, t.endpoint.Process()); t.leaving || v.Limited || !v.Allowed() {
			continue
		}
		used, sound := now.Sub(t.lastUsed) < spreadWindow, t.soundProbability(now)
		c.Targets++
		c.Used += boolToInt(used)
		c.Failed += boolToInt(now.Sub(t.lastFailed) < failedWindow)
		c.Sound += sound
		if used {
			c.Covered += sound
		}
		if now.Sub(t.lastUsed) < spreadWindow-coverageLead {
			c.soonCovered += sound
		}
		if now.Sub(t.lastUsed) < lossWindow {
			c.lastCovered += sound
		}
	}
	recent := s.requests.sum(now)
	c.Arrived, c.Ended, c.Unserved = recent.arrived, recent.ended, recent.unserved
	c.Running = len(s.granted)
	if s.policy.Spread > 0 {
		c.Required = s.required(c.Sound, coverageDeviations, recent.arrived)
		c.IdempotentRequired = s.required(c.Sound, idempotentCoverageDeviations, recent.idempotent)
	}
	return c
}

// required returns the expected number of sound targets that must be covered, by a
// number of this daemon's requests of the last two seconds; zero if they do not suffice.
func (s *Scheduler) required(sound, deviations float64, requests int) float64 {
	allowed := (1 - float64(s.policy.Spread)) * sound
	required := sound - min(maxUncovered(allowed, deviations), maxUncoveredShare*allowed)
	if required > spreadMaxTraffic*float64(requests*s.replicas) {
		return 0
	}
	return required
}

const (
	// coverageDeviations is by how many standard deviations the expected number of sound
	// targets without a request stays below the number that a platform allows. Which of
	// the targets are sound is chance, and of few targets it decides.
	coverageDeviations = 1
	// idempotentCoverageDeviations is the same for idempotent requests, which can be
	// retried elsewhere if the target fails.
	idempotentCoverageDeviations = 3
	// maxUncoveredShare is the largest part that is used of what a platform allows to go
	// without requests. The platform may take only a few of these targets for sound, for
	// disruptions that show in no response.
	maxUncoveredShare = 0.6
)

// maxUncovered returns the largest expected number of events that stays a number of
// standard deviations below what is allowed, if the events are rare and independent
// (Poisson).
func maxUncovered(allowed, deviations float64) float64 {
	root := (math.Sqrt(deviations*deviations+4*allowed) - deviations) / 2
	return root * root
}
