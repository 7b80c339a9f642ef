package soak

import (
	"sync"
	"time"
)

// settleTime is how long after the end of a fault its effects may still be seen.
const settleTime = 3 * time.Second

// faultTracker records when faults are active, so that the checker can excuse what
// a fault may have caused.
type faultTracker struct {
	mu sync.Mutex
	// active counts the faults in progress. ended is when a fault last ended; zero
	// if none has.
	active int
	ended  time.Time
}

// begin records the start of a fault. The returned function records its end.
func (f *faultTracker) begin() (end func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.active++
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.active--
		f.ended = time.Now()
	}
}

// noneSince reports whether no fault has been active since t and the last one
// ended more than settleTime ago.
func (f *faultTracker) noneSince(t time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.active == 0 && f.ended.Before(t) && time.Since(f.ended) > settleTime
}
