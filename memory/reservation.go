package memory

import (
	"sync"

	"github.com/briarrouter/briarrouter/unit"
)

// Reservation is the memory that one holder has reserved for header sections. It is safe
// for concurrent use. The zero value holds nothing and cannot be resized.
type Reservation struct {
	limiter *Limiter

	mu   sync.Mutex
	held unit.Bytes
	// closed refuses further reservations.
	closed bool
}

// NewReservation returns a reservation that holds nothing yet.
func NewReservation(l *Limiter) *Reservation { return &Reservation{limiter: l} }

// Resize changes the reserved size and reports whether the limit allowed it; if not, the
// size is unchanged.
func (r *Reservation) Resize(n unit.Bytes) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.resize(n)
}

// resize is Resize. The caller holds mu.
func (r *Reservation) resize(n unit.Bytes) bool {
	switch {
	case r.closed:
		return false
	case n > r.held:
		if !r.limiter.tryAcquire(Headers, n-r.held) {
			return false
		}
	case n < r.held:
		r.limiter.release(Headers, r.held-n)
	}
	r.held = n
	return true
}

// Take moves what is reserved to a new Reservation.
func (r *Reservation) Take() *Reservation {
	r.mu.Lock()
	defer r.mu.Unlock()
	taken := &Reservation{limiter: r.limiter, held: r.held}
	r.held = 0
	return taken
}

// Close releases the reserved memory and refuses further reservations.
func (r *Reservation) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.resize(0)
	r.closed = true
}
