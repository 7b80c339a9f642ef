// Package suspicion estimates from single outcomes whether a target is sick at
// this moment. It answers the load of gray failures that come and go within
// seconds while health checks stay good: there each failed request is a loss,
// and evidence is old after a few seconds. It only ranks targets; ejecting them
// is the business of package health.
package suspicion

import (
	"math"
	"time"
)

// The model is a hidden Markov process with the states well and sick. The rates
// hold for failures that last some seconds; a belief that is wrong about them
// costs one request more or less an episode.
const (
	// recovery is how many times a second a sick target becomes well.
	recovery = 0.09
	// prior is the share of the time that a target is sick.
	prior = 0.25
	// failSick and failWell are the shares of requests that fail on a sick and
	// on a well target.
	failSick = 0.8
	failWell = 0.02
	// relaxation is how fast a belief returns to the prior, per second: the sum
	// of the rates of falling sick and of becoming well.
	relaxation = recovery / (1 - prior)
)

// Belief is what is believed of one target. The zero Belief knows nothing.
type Belief struct {
	// sick is the probability that the target was sick at the time at.
	sick float64
	at   time.Time
}

// Sick returns the probability that the target is sick now.
func (b *Belief) Sick(now time.Time) float64 {
	if b.at.IsZero() {
		return prior
	}
	age := max(0, now.Sub(b.at).Seconds())
	return prior + (b.sick-prior)*math.Exp(-relaxation*age)
}

// Observe takes the outcome of a request that ended now.
func (b *Belief) Observe(now time.Time, failed bool) {
	sick := b.Sick(now)
	ifSick, ifWell := 1-failSick, 1-failWell
	if failed {
		ifSick, ifWell = failSick, failWell
	}
	b.sick = sick * ifSick / (sick*ifSick + (1-sick)*ifWell)
	b.at = now
}

// Age returns how long ago the last outcome was, or false where there was none.
func (b *Belief) Age(now time.Time) (time.Duration, bool) {
	return now.Sub(b.at), !b.at.IsZero()
}
