package schedule

import (
	"math"
	"time"
)

// serviceTime estimates the service time of one route's requests.
type serviceTime struct {
	// smoothed is an exponential moving average in nanoseconds; zero before the
	// first sample.
	smoothed float64
}

// sampleWeight is the weight of one sample in the moving average.
const sampleWeight = 0.02

func (st *serviceTime) add(elapsed time.Duration) {
	if st.smoothed == 0 {
		st.smoothed = float64(elapsed)
		return
	}
	st.smoothed += sampleWeight * (float64(elapsed) - st.smoothed)
}

// decayHalfLife is the time in which the average halves unless samples are added.
// Without the decay, a route whose average exceeds the timeout of its requests would
// have all of them refused, and would never get a sample that lowers the average.
const decayHalfLife = 30 * time.Second

func (st *serviceTime) decay(elapsed time.Duration) {
	st.smoothed *= math.Exp2(-float64(elapsed) / float64(decayHalfLife))
}

// mean returns the moving average; zero before the first sample.
func (st *serviceTime) mean() time.Duration { return time.Duration(st.smoothed) }

// required returns the time that must be left before the deadline for a request
// to be started: the mean service time.
func (st *serviceTime) required() time.Duration { return st.mean() }
