package health

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/briarrouter/briarrouter/id"
)

// slowRatio returns the log-likelihood ratio of a rank between 0 and 1. Under the
// null hypothesis ranks are uniform. Under the alternative, service times are
// exponential and alternativeSlowdown times as long as those of other targets.
func slowRatio(rank float64) float64 {
	return -math.Log(alternativeSlowdown) - (1-1.0/alternativeSlowdown)*math.Log1p(-rank)
}

// survivalRatio returns the log-likelihood ratio, under the hypotheses of
// slowRatio, of a service time that is at least as long as one of the given rank.
func survivalRatio(rank float64) float64 {
	return -(1 - 1.0/alternativeSlowdown) * math.Log1p(-rank)
}

// errorRatio returns the log-likelihood ratio of one response. The share of errors
// is alternativeErrorRate under the alternative and baseRate under the null
// hypothesis.
func errorRatio(failed bool, baseRate float64) float64 {
	if failed {
		return math.Log(alternativeErrorRate / baseRate)
	}
	return math.Log((1 - alternativeErrorRate) / (1 - baseRate))
}

// updateBaseRate computes the share of errors over all targets except the quarter
// with the highest shares (rounded up), which may be failing.
func (d *Detector) updateBaseRate() {
	var targets []*target
	for _, name := range slices.Sorted(maps.Keys(d.targets)) {
		targets = append(targets, d.targets[name])
	}
	slices.SortStableFunc(targets, func(a, b *target) int {
		return cmp.Compare(a.errors*b.responses, b.errors*a.responses)
	})
	errors, responses := priorErrors, priorResponses
	for _, t := range targets[:len(targets)-(len(targets)+3)/4] {
		errors += t.errors
		responses += t.responses
	}
	d.baseRate = min(maxBaseRate, errors/responses)
}

func boolToFloat(condition bool) float64 {
	if condition {
		return 1
	}
	return 0
}

// medianWeight is the weight of the median score of the other targets in the
// correction of a target's score.
const medianWeight = 2

// exceeds reports whether the score of a target reaches the threshold, both as it
// is and after subtracting medianWeight times the median score of the other targets
// in state Serving. When the whole service becomes slow, the scores of all targets
// grow, and drift apart, until the history consists of slow samples. Without the
// subtraction, targets would be ejected because of that.
func (d *Detector) exceeds(t *target, score float64, scoreOf func(id.Target, *target) float64) bool {
	if score < d.cfg.Evidence {
		return false
	}
	var others []float64
	for name, o := range d.targets {
		if o != t && o.state == Serving {
			others = append(others, scoreOf(name, o))
		}
	}
	if len(others) == 0 {
		return true
	}
	slices.Sort(others)
	return score-medianWeight*others[len(others)/2] >= d.cfg.Evidence
}
