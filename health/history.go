package health

import (
	"slices"
	"time"

	"github.com/briarrouter/briarrouter/id"
)

// history holds the latest service times of one route.
type history struct {
	// samples is a ring buffer of historySize entries; next is the index of the
	// oldest one once the buffer is full.
	samples []timedSample
	next    int
	// durations holds the times of all samples, byTarget those of each target.
	durations sortedDurations
	byTarget  map[id.Target]*sortedDurations
}

type timedSample struct {
	target  id.Target
	elapsed time.Duration
}

func newHistory() *history { return &history{byTarget: make(map[id.Target]*sortedDurations)} }

func (h *history) add(t id.Target, elapsed time.Duration) {
	if len(h.samples) < historySize {
		h.samples = append(h.samples, timedSample{t, elapsed})
	} else {
		old := h.samples[h.next]
		h.durations.remove(old.elapsed)
		h.targetTimes(old.target).remove(old.elapsed)
		h.samples[h.next] = timedSample{t, elapsed}
		h.next = (h.next + 1) % historySize
	}
	h.durations.insert(elapsed)
	h.targetTimes(t).insert(elapsed)
}

func (h *history) targetTimes(t id.Target) *sortedDurations {
	own := h.byTarget[t]
	if own == nil {
		own = &sortedDurations{}
		h.byTarget[t] = own
	}
	return own
}

// rank returns the share of the other targets' samples that are shorter than
// elapsed, as a number strictly between 0 and 1. Samples of equal duration count
// half. The second result is false if the other targets have fewer than
// minOtherSamples.
func (h *history) rank(t id.Target, elapsed time.Duration) (float64, bool) {
	own := h.targetTimes(t)
	others := len(h.durations) - len(*own)
	if others < minOtherSamples {
		return 0, false
	}
	shorter := h.durations.countBelow(elapsed) - own.countBelow(elapsed)
	return (shorter + 0.5) / float64(others+1), true
}

// sortedDurations is a list in ascending order.
type sortedDurations []time.Duration

func (s *sortedDurations) insert(d time.Duration) {
	i, _ := slices.BinarySearch(*s, d)
	*s = slices.Insert(*s, i, d)
}

func (s *sortedDurations) remove(d time.Duration) {
	i, _ := slices.BinarySearch(*s, d)
	*s = slices.Delete(*s, i, i+1)
}

// countBelow returns the number of shorter durations plus half the number of
// equal ones.
func (s sortedDurations) countBelow(d time.Duration) float64 {
	from, _ := slices.BinarySearch(s, d)
	to, _ := slices.BinarySearch(s, d+1)
	return float64(from) + float64(to-from)/2
}
