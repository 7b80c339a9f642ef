package bench

import (
	"slices"
	"time"
)

// results counts the final results of a run's requests.
type results struct {
	// succeeded, failed and late count all requests, each in one of the three.
	// Requests that ended after their deadline are late, whatever their result.
	succeeded, failed, late int
	// long counts the long requests, longSucceeded those of them that count as
	// succeeded.
	long, longSucceeded int
	// waits holds, for each short request whose first attempt was started, the
	// time from its arrival to that start.
	waits []time.Duration
}

func (r *results) recordWait(a *attempt, now time.Duration) {
	if !a.request.long && a.request.attempts == 1 {
		r.waits = append(r.waits, now-a.request.arrived)
	}
}

func (r *results) recordResult(q *request, now time.Duration, succeeded bool) {
	switch {
	case now > q.deadline:
		r.late++
	case succeeded:
		r.succeeded++
	default:
		r.failed++
	}
	if q.long {
		r.long++
		if succeeded && now <= q.deadline {
			r.longSucceeded++
		}
	}
}

// successShare returns the share of requests that got a correct response before
// their deadline.
func (r *results) successShare() float64 {
	all := r.succeeded + r.failed + r.late
	if all == 0 {
		return 0
	}
	return float64(r.succeeded) / float64(all)
}

// quantile returns the given quantile of durations, or -1 if there are none.
func quantile(durations []time.Duration, fraction float64) time.Duration {
	if len(durations) == 0 {
		return -1
	}
	sorted := slices.Sorted(slices.Values(durations))
	return sorted[min(len(sorted)-1, int(fraction*float64(len(sorted))))]
}
