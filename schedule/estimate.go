package schedule

import (
	"math"
	"time"
)

// estimate follows the service times of one route.
type estimate struct {
	// smoothed is the moving mean in nanoseconds; zero before the first sample.
	smoothed float64
}

// meanWeight is the weight of one sample in the moving mean.
const meanWeight = 0.02

func (e *estimate) add(elapsed time.Duration) {
	if e.smoothed == 0 {
		e.smoothed = float64(elapsed)
		return
	}
	e.smoothed += meanWeight * (float64(elapsed) - e.smoothed)
}

// halfLife is how fast the mean falls while no sample comes, so that a route
// whose requests were all refused is tried again.
const halfLife = 30 * time.Second

func (e *estimate) decay(elapsed time.Duration) {
	e.smoothed *= math.Exp2(-float64(elapsed) / float64(halfLife))
}

// mean returns the moving mean; zero before the first sample.
func (e *estimate) mean() time.Duration { return time.Duration(e.smoothed) }

// typical returns the time that must be left for a start to be worth it.
func (e *estimate) typical() time.Duration { return e.mean() }
