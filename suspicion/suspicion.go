// Package suspicion estimates from single outcomes whether a target is sick at
// this moment. It answers the load of gray failures that come and go within
// seconds while health checks stay good: there each failed request is a loss,
// and evidence is old after some seconds. It only ranks targets; ejecting them
// is the business of package health.
package suspicion

import (
	"math"
	"time"
)

// Evidence is what one request showed of its target.
type Evidence uint8

// The kinds of evidence.
const (
	// Success is a complete answer that is no failure.
	Success Evidence = iota
	// Failure is a failure after about the time that work takes.
	Failure
	// FastFailure is a failure long before work could have been done: the mark
	// of a target that fails whatever it is asked.
	FastFailure
	// Declined is a refusal that proves that the request did not run.
	Declined
	// kinds is the number of kinds.
	kinds
)

// Valid tells whether the evidence is of a known kind.
func (e Evidence) Valid() bool { return e < kinds }

// likelihood is the probability of some evidence on a sick and on a well
// target.
type likelihood struct{ sick, well float64 }

// The model is a hidden Markov process with the states well and sick. The rates
// hold for failures that last some seconds; a belief that is wrong about them
// costs one request more or less an episode.
var likelihoods = [kinds]likelihood{
	Success:     {sick: 0.15, well: 0.985},
	Failure:     {sick: 0.15, well: 0.013},
	FastFailure: {sick: 0.70, well: 0.001},
	Declined:    {sick: 0.70, well: 0.001},
}

const (
	// recovery is how many times a second a sick target becomes well.
	recovery = 0.09
	// prior is the share of the time that a target is sick.
	prior = 0.25
	// relaxation is how fast a belief returns to the prior, per second: the sum
	// of the rates of falling sick and of becoming well.
	relaxation = recovery / (1 - prior)
	// maxSick bounds what many failures add up to: the target may have become
	// well since the last of them, and a few successes must show it.
	maxSick = 0.95
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

// Observe takes what a request showed that ended now.
func (b *Belief) Observe(now time.Time, e Evidence) {
	sick, l := b.Sick(now), likelihoods[e]
	b.sick = min(maxSick, sick*l.sick/(sick*l.sick+(1-sick)*l.well))
	b.at = now
}

// Last returns the probability as of the last outcome.
func (b *Belief) Last() float64 { return b.sick }

// Adopt takes another's belief as of a time, unless this one is newer or that
// one is no probability.
func (b *Belief) Adopt(at time.Time, sick float64) {
	if at.After(b.at) && sick >= 0 && sick <= 1 {
		b.sick, b.at = min(maxSick, sick), at
	}
}

// Age returns how long ago the last outcome was, or false where there was none.
func (b *Belief) Age(now time.Time) (time.Duration, bool) {
	return now.Sub(b.at), !b.at.IsZero()
}
