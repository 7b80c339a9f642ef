package dispatch

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// waiter is the body of a caller that has sent nothing since a time.
type waiter struct {
	strings.Reader
	since       time.Time
	interrupted bool
}

func (w *waiter) WaitingSince() (time.Time, bool) { return w.since, !w.since.IsZero() }

func (w *waiter) Interrupt() { w.interrupted = true }

// TestArrivingBodiesLeaveSlots guards against streamed bodies that take all slots of a
// service: they get half of them, and more only once one of them has stood still.
func TestArrivingBodiesLeaveSlots(t *testing.T) {
	var all transfers
	now := time.Now()
	admit := func(w *waiter) (*arrivingBody, bool) {
		b := &arrivingBody{Reader: w, transfers: &all}
		return b, all.admitBody(now, b, 4)
	}
	sending, paused, still, late := &waiter{}, &waiter{since: now.Add(-standstill / 2)}, &waiter{since: now.Add(-2 * standstill)}, &waiter{}
	first, ok := admit(sending)
	require.True(t, ok)
	_, ok = admit(paused)
	require.True(t, ok)
	_, ok = admit(late)
	require.False(t, ok, "more than half of the slots for bodies")
	require.False(t, paused.interrupted, "a pause is no standstill")
	_, err := first.Read(make([]byte, 1))
	require.Error(t, err)
	_, ok = admit(still)
	require.True(t, ok, "a body that has ended keeps its room")
	_, ok = admit(late)
	require.True(t, ok)
	require.True(t, still.interrupted)
	require.False(t, paused.interrupted)
	require.False(t, all.endStill(now, func(transfer) bool { return true }))
	require.True(t, all.endStill(now.Add(standstill), func(transfer) bool { return true }))
	require.True(t, paused.interrupted)
}
