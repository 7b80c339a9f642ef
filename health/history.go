package health

import (
	"slices"
	"time"

	"github.com/briarrouter/briarrouter/id"
)

// history is the last service times of one route.
type history struct {
	// samples holds at most ring entries; next is the oldest once it is full.
	samples []timed
	next    int
	// all holds the times of samples, and own those of each target, in order.
	all sorted
	own map[id.Target]*sorted
}

type timed struct {
	target  id.Target
	elapsed time.Duration
}

func newHistory() *history { return &history{own: make(map[id.Target]*sorted)} }

func (h *history) add(t id.Target, elapsed time.Duration) {
	if len(h.samples) < ring {
		h.samples = append(h.samples, timed{t, elapsed})
	} else {
		old := h.samples[h.next]
		h.all.remove(old.elapsed)
		h.times(old.target).remove(old.elapsed)
		h.samples[h.next] = timed{t, elapsed}
		h.next = (h.next + 1) % ring
	}
	h.all.insert(elapsed)
	h.times(t).insert(elapsed)
}

func (h *history) times(t id.Target) *sorted {
	own := h.own[t]
	if own == nil {
		own = &sorted{}
		h.own[t] = own
	}
	return own
}

// rank returns the share of the other targets' samples that were shorter, as a
// number strictly between 0 and 1, and whether there were enough of them.
// Samples of the same length count half.
func (h *history) rank(t id.Target, elapsed time.Duration) (float64, bool) {
	own := h.times(t)
	peers := len(h.all) - len(*own)
	if peers < minPeers {
		return 0, false
	}
	shorter := h.all.below(elapsed) - own.below(elapsed)
	return (shorter + 0.5) / float64(peers+1), true
}

// sorted is a list of times in order.
type sorted []time.Duration

func (s *sorted) insert(d time.Duration) {
	i, _ := slices.BinarySearch(*s, d)
	*s = slices.Insert(*s, i, d)
}

func (s *sorted) remove(d time.Duration) {
	i, _ := slices.BinarySearch(*s, d)
	*s = slices.Delete(*s, i, i+1)
}

// below counts the times that are shorter, and half of those that are equal.
func (s sorted) below(d time.Duration) float64 {
	from, _ := slices.BinarySearch(s, d)
	to, _ := slices.BinarySearch(s, d+1)
	return float64(from) + float64(to-from)/2
}
