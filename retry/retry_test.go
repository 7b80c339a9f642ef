package retry

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestBurstShare lets all replicas spend their whole bursts in one window, with
// and without the replacement of one replica just before. The sum must stay within
// the total, and idle daemons must have no retries.
func TestBurstShare(t *testing.T) {
	for _, c := range []struct {
		total             float64
		replicas, daemons int
	}{{56, 3, 32}, {60, 3, 40}, {214, 10, 132}, {222, 10, 138}, {1000, 3, 3}} {
		replicaBurst := BurstShare(c.total, true, c.replicas)
		idle := NewBudget(Config{Burst: BurstShare(c.total, false, c.replicas)})
		idle.RecordFirstAttempt()
		require.False(t, idle.TryTake(), "%+v", c)
		spent := replicaBurst * float64(c.replicas)
		require.LessOrEqual(t, spent, c.total, "%+v", c)
		// One replica was replaced, after the old one had spent its burst.
		require.LessOrEqual(t, spent+min(replicaBurst, (1-replicaShare)*c.total), c.total, "%+v", c)
		require.GreaterOrEqual(t, replicaBurst, 1.0)
	}
}

// TestBudget checks that no window has more retries than the burst plus the share
// of its first attempts, also when the burst changes.
func TestBudget(t *testing.T) {
	b := NewBudget(Config{Share: 0.25, Burst: 4})
	spend := func() int {
		n := 0
		for b.TryTake() {
			n++
		}
		return n
	}
	require.Equal(t, 4, spend())
	for range 100 {
		b.RecordFirstAttempt()
	}
	require.Equal(t, 4, spend())
	for range 8 {
		b.RecordFirstAttempt()
	}
	require.Equal(t, 2, spend())
	b.SetConfig(Config{Share: 0.25, Burst: 1})
	for range 100 {
		b.RecordFirstAttempt()
	}
	require.Equal(t, 1, spend())
	// A larger burst adds tokens once, not each time that it is set again.
	b.SetConfig(Config{Share: 0.25, Burst: 6})
	require.Equal(t, 2, spend())
	b.SetConfig(Config{Share: 0.25, Burst: 1})
	b.SetConfig(Config{Share: 0.25, Burst: 6})
	require.Equal(t, 0, spend())
}
