// Package suspicion estimates, from the outcomes of single requests, the
// probability that a target is failing at this moment. It is for failures that
// come and go within seconds while health checks keep passing (gray failures).
// During these, each failed request is a loss, and an observation is of use only
// for some seconds. The estimate only ranks targets; package health ejects them.
package suspicion

import (
	"math"
	"time"
)

// Observation is what the outcome of one request says about its target.
type Observation uint8

const (
	// Success is a complete response that reports no failure.
	Success Observation = iota
	// Failure is a failure other than FastFailure.
	Failure
	// FastFailure is a failed connection or a failure long before the request could
	// have been processed. Both are typical of a target that fails every request.
	FastFailure
	// Declined is a rejection that proves that the request did not run.
	Declined
	observationCount
)

// Valid reports whether o is one of the constants above; a value received from a
// peer may not be.
func (o Observation) Valid() bool { return o < observationCount }

// likelihood is the probability of an observation on a failing and on a healthy
// target.
type likelihood struct{ failing, healthy float64 }

// The model is a hidden Markov process with the states healthy and failing. The
// rates fit failures that last some seconds; for shorter or longer ones, the error
// of the estimate costs roughly one request per failure episode.
var likelihoods = [observationCount]likelihood{
	Success:     {failing: 0.15, healthy: 0.985},
	Failure:     {failing: 0.15, healthy: 0.013},
	FastFailure: {failing: 0.70, healthy: 0.001},
	Declined:    {failing: 0.70, healthy: 0.001},
}

const (
	// recoveryRate is the rate, per second, at which a failing target becomes
	// healthy.
	recoveryRate = 0.09
	// priorProbability is the probability that a target is failing while nothing is
	// known about it: the share of the time for which targets fail in this model.
	priorProbability = 0.25
	// relaxationRate is the rate, per second, at which an estimate returns to the
	// prior: recoveryRate plus the rate at which a healthy target becomes failing.
	relaxationRate = recoveryRate / (1 - priorProbability)
	// maxProbability caps the estimate: the target may have recovered since its
	// last failure, and a few successes must be enough to show it.
	maxProbability = 0.95
)

// Estimate is the failure probability of one target. The zero Estimate has no
// observations and returns the prior.
type Estimate struct {
	// probability is the failure probability at the time at.
	probability float64
	at          time.Time
}

// FailureProbability returns the probability that the target is failing now.
func (est *Estimate) FailureProbability(now time.Time) float64 {
	if est.at.IsZero() {
		return priorProbability
	}
	age := max(0, now.Sub(est.at).Seconds())
	return priorProbability + (est.probability-priorProbability)*math.Exp(-relaxationRate*age)
}

// Observe updates the estimate with an observation made now.
func (est *Estimate) Observe(now time.Time, o Observation) {
	p, l := est.FailureProbability(now), likelihoods[o]
	est.probability = min(maxProbability, p*l.failing/(p*l.failing+(1-p)*l.healthy))
	est.at = now
}

// Last returns the failure probability as of the last observation; zero if there
// is none.
func (est *Estimate) Last() float64 { return est.probability }

// Adopt replaces the estimate by that of a peer, whose last observation was made at
// the given time. It does nothing if that observation is not newer than the last one
// here, or if the probability is not between 0 and 1.
func (est *Estimate) Adopt(at time.Time, probability float64) {
	if at.After(est.at) && probability >= 0 && probability <= 1 {
		est.probability, est.at = min(maxProbability, probability), at
	}
}

// Age returns the time since the last observation; the second result is false if
// there is none.
func (est *Estimate) Age(now time.Time) (time.Duration, bool) {
	return now.Sub(est.at), !est.at.IsZero()
}
