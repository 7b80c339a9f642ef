package health

import (
	"time"

	"github.com/briarrouter/briarrouter/id"
)

// history is the last service times of one route.
type history struct {
	// samples holds at most ring entries; next is the oldest once it is full.
	samples []timed
	next    int
}

type timed struct {
	target  id.Target
	elapsed time.Duration
}

func (h *history) add(t id.Target, elapsed time.Duration) {
	if len(h.samples) < ring {
		h.samples = append(h.samples, timed{t, elapsed})
		return
	}
	h.samples[h.next] = timed{t, elapsed}
	h.next = (h.next + 1) % ring
}

// rank returns the share of the other targets' samples that were shorter, as a
// number strictly between 0 and 1, and whether there were enough of them.
func (h *history) rank(t id.Target, elapsed time.Duration) (float64, bool) {
	peers, shorter := 0, 0.0
	for _, s := range h.samples {
		if s.target == t {
			continue
		}
		peers++
		switch {
		case s.elapsed < elapsed:
			shorter++
		case s.elapsed == elapsed:
			shorter += 0.5
		}
	}
	if peers < minPeers {
		return 0, false
	}
	return (shorter + 0.5) / float64(peers+1), true
}
