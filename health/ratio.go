package health

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/briarrouter/briarrouter/id"
)

// slowRatio returns the log-likelihood ratio of a rank between 0 and 1 under a
// service time stretched by slowdown, where the time is exponential, against
// an even rank.
func slowRatio(rank float64) float64 {
	return -math.Log(slowdown) - (1-1.0/slowdown)*math.Log1p(-rank)
}

// survivalRatio returns the log-likelihood ratio of a time that is at least as
// long as the one of the given rank.
func survivalRatio(rank float64) float64 {
	return -(1 - 1.0/slowdown) * math.Log1p(-rank)
}

// wrongRatio returns the log-likelihood ratio of a wrong or right answer under
// wrongRate against the base rate.
func wrongRatio(wrong bool, base float64) float64 {
	if wrong {
		return math.Log(wrongRate / base)
	}
	return math.Log((1 - wrongRate) / (1 - base))
}

// updateBaseRate learns the share of wrong answers from all targets but the
// worst quarter, which may be sick.
func (j *Judge) updateBaseRate() {
	var list []*target
	for _, name := range slices.Sorted(maps.Keys(j.targets)) {
		list = append(list, j.targets[name])
	}
	slices.SortStableFunc(list, func(a, b *target) int {
		return cmp.Compare(a.wrongAnswers*b.seenAnswers, b.wrongAnswers*a.seenAnswers)
	})
	wrong, seen := priorWrong, priorSeen
	for _, t := range list[:len(list)-(len(list)+3)/4] {
		wrong += t.wrongAnswers
		seen += t.seenAnswers
	}
	j.baseRate = min(maxBaseRate, wrong/seen)
}

func indicator(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// shiftWeight is how often the evidence against the median of the other targets
// is taken off the evidence against one.
const shiftWeight = 2

// exceeds tells whether the evidence against a target exceeds the bound by
// itself, and beyond what there is against the median of the others. When the
// whole service becomes slow, the evidence against all of them grows until the
// history has followed, and scatters as it grows.
func (j *Judge) exceeds(t *target, own float64, of func(id.Target, *target) float64) bool {
	if own < j.cfg.Evidence {
		return false
	}
	var others []float64
	for name, o := range j.targets {
		if o != t && o.state == Serving {
			others = append(others, of(name, o))
		}
	}
	if len(others) == 0 {
		return true
	}
	slices.Sort(others)
	return own-shiftWeight*others[len(others)/2] >= j.cfg.Evidence
}
