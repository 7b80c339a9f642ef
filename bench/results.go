package bench

import (
	"slices"
	"time"
)

// results is what a run of the model showed.
type results struct {
	useful, failed, late int
	long, longUseful     int
	// waits holds, for each short request, the time from its arrival to the
	// start of its last attempt.
	waits []time.Duration
}

func (r *results) waited(a *attempt, now time.Duration) {
	if !a.request.long && a.request.attempts == 1 {
		r.waits = append(r.waits, now-a.request.arrived)
	}
}

func (r *results) finished(q *request, now time.Duration, useful bool) {
	switch {
	case now > q.deadline:
		r.late++
	case useful:
		r.useful++
	default:
		r.failed++
	}
	if q.long {
		r.long++
		if useful && now <= q.deadline {
			r.longUseful++
		}
	}
}

// usefulShare is the share of requests that got a right answer in time.
func (r *results) usefulShare() float64 {
	all := r.useful + r.failed + r.late
	if all == 0 {
		return 0
	}
	return float64(r.useful) / float64(all)
}

// quantile returns a quantile of a list of times, or -1 where it is empty.
func quantile(list []time.Duration, q float64) time.Duration {
	if len(list) == 0 {
		return -1
	}
	sorted := slices.Sorted(slices.Values(list))
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}
