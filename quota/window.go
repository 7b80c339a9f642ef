package quota

import (
	"math"
	"time"
)

const (
	slotDuration = 500 * time.Millisecond
	// windowSlots cover a Window and the slot that is being filled.
	windowSlots = int(Window/slotDuration) + 1
)

// slot numbers the intervals of slotDuration.
type slot int64

func slotOf(now time.Time) slot { return slot(now.UnixNano() / int64(slotDuration)) }

// maxCount bounds the count of a slot, which a peer's message may set to anything.
const maxCount = math.MaxInt32

const lastSlot = slot(math.MaxInt64)

// window counts the grants of the last Window, and up to a slotDuration longer.
type window struct {
	counts [windowSlots]int32
	// newest is the slot that was counted in last.
	newest slot
}

// advance drops the slots that are older than a window that ends in s.
func (w *window) advance(s slot) {
	if s <= w.newest {
		return
	}
	if s-w.newest >= slot(windowSlots) {
		w.counts = [windowSlots]int32{}
	} else {
		for i := w.newest + 1; i <= s; i++ {
			w.counts[i%slot(windowSlots)] = 0
		}
	}
	w.newest = s
}

// add counts grants in the slot s. Returned credit is taken from the latest grants.
func (w *window) add(s slot, n int64) {
	w.advance(s)
	if n >= 0 {
		count := &w.counts[max(s, w.newest-slot(windowSlots)+1)%slot(windowSlots)]
		*count = int32(min(int64(*count)+min(n, maxCount), maxCount))
		return
	}
	for i := range slot(windowSlots) {
		count := &w.counts[(w.newest-i+slot(windowSlots))%slot(windowSlots)]
		taken := min(-n, int64(*count))
		*count -= int32(taken)
		if n += taken; n == 0 {
			return
		}
	}
}

// spread counts grants evenly in the window that ends in s, where it is not known when
// they were made.
func (w *window) spread(s slot, n int64) {
	for i := slot(windowSlots) - 1; i >= 0; i-- {
		part := n / int64(i+1)
		w.add(s-i, part)
		n -= part
	}
}

// sum returns the grants in the window that ends in now, without those after limit.
func (w *window) sum(now, limit slot) float64 {
	var n int64
	for i := range slot(windowSlots) {
		s := w.newest - i
		if s <= limit && now-s < slot(windowSlots) && s >= 0 {
			n += int64(w.counts[s%slot(windowSlots)])
		}
	}
	return float64(n)
}

// idleSince reports whether the last count was before s.
func (w *window) idleSince(s slot) bool { return w.newest < s }
