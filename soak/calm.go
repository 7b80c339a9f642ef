package soak

import (
	"sync"
	"time"
)

// settle is how long after the end of a fault its effects are allowed for.
const settle = 3 * time.Second

// calm tells whether faults may excuse what is seen.
type calm struct {
	mu sync.Mutex
	// running counts the faults that go on, and ended is when the last one did.
	running int
	ended   time.Time
}

// begin notes a fault. The function that it returns ends it.
func (c *calm) begin() (end func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running++
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.running--
		c.ended = time.Now()
	}
}

// since tells whether no fault has gone on since a time, nor for the time to
// settle before now.
func (c *calm) since(t time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.running == 0 && c.ended.Before(t) && time.Since(c.ended) > settle
}
