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
	// Required is what Covered must be at least; zero if coverage is not kept.
	Required float64
	// Healthy is the expected number of targets that are healthy now (see
	// target.healthyProbability), Tested that of the healthy targets among Used.
	Healthy, Tested float64
	// TestRequired is what Tested must be at least by idempotent requests, which can be
	// retried elsewhere; zero if there are too few of them.
	TestRequired float64
	// Arrived, Ended and Unserved count this daemon's requests of the last two
	// seconds; see Scheduler.RecordServed.
	Arrived, Ended, Unserved int
	// Running is the number of this daemon's attempts in progress.
	Running int
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
		healthy := t.healthyProbability(now)
		c.Sound += sound
		c.Healthy += healthy
		if used {
			c.Covered += sound
			c.Tested += healthy
		}
	}
	recent := s.requests.sum(now)
	c.Arrived, c.Ended, c.Unserved = recent.arrived, recent.ended, recent.unserved
	c.Running = len(s.granted)
	required := (1 - spreadSlack*(1-float64(s.policy.Spread))) * c.Sound
	if s.policy.Spread > 0 && required <= spreadMaxTraffic*float64(recent.arrived*s.replicas) {
		c.Required = required
	}
	required = c.Healthy - maxUncovered((1-float64(s.policy.Spread))*c.Healthy)
	// A platform takes a target that failed by itself for sound two seconds later, so
	// that one which fails most of its requests counts again once it gets none.
	if s.policy.Spread > 0 && required <= spreadMaxTraffic*float64(recent.idempotent*s.replicas) {
		c.TestRequired = required
	}
	return c
}

// coverageDeviations is by how many standard deviations the expected number of healthy
// targets without a request stays below the number that a platform allows. Which of the
// targets are healthy is chance, and of a few targets it decides.
const coverageDeviations = 3

// maxUncovered returns the largest expected number of events that stays below a number
// by coverageDeviations, if the events are rare and independent (Poisson).
func maxUncovered(allowed float64) float64 {
	const z = coverageDeviations
	root := (math.Sqrt(z*z+4*allowed) - z) / 2
	return root * root
}
