// Package retry limits the number of retries and draws the delay before each.
package retry

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/briarrouter/briarrouter/unit"
)

// Budget allows retries in proportion to the first attempts of a service, so that
// retries cannot multiply the load on a service that fails as a whole. It is a
// token bucket, and is not safe for concurrent use.
type Budget struct {
	cfg Config
	// tokens is between 0 and the capacity; a retry takes one.
	tokens float64
	// quietSince is when a token was last taken or the burst last grew.
	quietSince time.Time
	// startedAt is when the daemon last got a burst. granted tells that a whole Window has
	// passed since then, so that the burst is no longer that of the daemon before it.
	startedAt time.Time
	granted   bool
	// least is the smallest burst since startedAt: what was this daemon's all the time.
	least float64
}

type Config struct {
	// Share is the number of retries allowed per first attempt.
	Share unit.Ratio
	// Burst is the capacity of the token bucket. The retries in any interval of the
	// length Window are at most Burst plus Share times the first attempts in it, and a
	// tenth of Burst more in an interval that contains the grant.
	Burst float64
	// Window is the length of the intervals in which the retries of all daemons
	// together are limited. A budget starts empty and with a smaller capacity, and is
	// filled after that long. If Window is zero, the daemons are limited one by one:
	// Burst is at least defaultBurst, and a budget starts full.
	Window time.Duration
}

const defaultBurst = 10

func (c Config) burst() float64 {
	if c.Window == 0 {
		return max(c.Burst, defaultBurst)
	}
	return c.Burst
}

// NewBudget returns the budget of a daemon that may not have known its part of a
// total until now. With a Window it starts empty: the daemons that this one replaces
// may have spent their bursts just before.
func NewBudget(now time.Time, cfg Config) *Budget {
	b := &Budget{cfg: cfg, quietSince: now, startedAt: now, least: cfg.burst()}
	if cfg.Window == 0 {
		b.granted, b.tokens = true, cfg.burst()
	}
	return b
}

const (
	// replicaShare is the fraction of the total burst that is divided among the
	// replicas. The rest is for tokens before the grant, and a reserve for the time in
	// which daemons disagree about who the replicas are.
	replicaShare = 0.8
	// ungrantedShare is the part of its burst that is a daemon's capacity before the
	// grant. A window that contains the grant may have as much more than the burst.
	ungrantedShare = 0.1
)

// Fleet is one daemon's view of the daemons that share a total burst.
type Fleet struct {
	// Serving tells that this daemon is a replica: one of those that callers are
	// directed to. Rank is its position among them, counted from 0.
	Serving bool
	Rank    int
	// Replicas is the number of replicas in this view.
	Replicas int
	// Known is the number of daemons, with those that cannot be reached, Reachable that
	// of the others. Both count this daemon.
	Known, Reachable int
}

// BurstShare returns the burst of one daemon, so that the bursts of all daemons, with
// what budgets hold before their grant, stay within a total. It is for platforms that
// limit the retries of all daemons together, since the daemons share no counter. While
// the fleet is cut into parts, each part has replicas of its own, and gets a part of the
// total by the daemons in it.
// A burst below 1 allows no retry at all, so that a small part of the total is divided
// among as many replicas as can have 1. Daemons that are no replicas get only stray
// requests and have no burst.
func BurstShare(total float64, f Fleet) float64 {
	if !f.Serving || f.Replicas == 0 || f.Known == 0 {
		return 0
	}
	part := replicaShare * total * min(1, float64(f.Reachable)/float64(f.Known))
	n := min(f.Replicas, int(min(part, math.MaxInt32)))
	if f.Rank >= n {
		return 0
	}
	return part / float64(n)
}

// SetConfig changes the configuration. Tokens beyond the new burst are lost; a larger
// burst adds none at once.
func (b *Budget) SetConfig(now time.Time, cfg Config) {
	b.fill(now)
	if cfg.burst() > b.cfg.burst() {
		b.quietSince = now
		if b.cfg.burst() == 0 {
			b.startedAt, b.granted, b.least = now, cfg.Window == 0, cfg.burst()
		}
	}
	b.cfg, b.least = cfg, min(b.least, cfg.burst())
	b.tokens = min(b.tokens, b.capacity())
}

// capacity returns how many tokens there may be now.
func (b *Budget) capacity() float64 {
	if !b.granted {
		return ungrantedShare * b.cfg.burst()
	}
	return b.cfg.burst()
}

// fill fills the budget a Window after the daemon got its burst, and after each Window in
// which no token was taken and the burst did not grow: any interval of that length then
// has at most the burst, the capacity before the grant, and the share of its own first
// attempts.
func (b *Budget) fill(now time.Time) {
	if b.cfg.Window == 0 {
		return
	}
	if !b.granted && now.Sub(b.startedAt) >= b.cfg.Window {
		b.granted, b.tokens = true, b.least
	}
	if now.Sub(b.quietSince) >= b.cfg.Window {
		b.tokens = b.capacity()
	}
}

// RecordFirstAttempt adds Share tokens for the first attempt of a request.
func (b *Budget) RecordFirstAttempt() { b.tokens = min(b.capacity(), b.tokens+float64(b.cfg.Share)) }

// TryTake takes a token for one retry and reports whether there was one.
func (b *Budget) TryTake(now time.Time) bool {
	b.fill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	b.quietSince = now
	return true
}

// Burst returns how many tokens there may be now.
func (b *Budget) Burst() float64 { return b.capacity() }

// Tokens returns the number of tokens. A retry needs a whole one.
func (b *Budget) Tokens(now time.Time) float64 {
	b.fill(now)
	return b.tokens
}

const (
	firstBackoff = 5 * time.Millisecond
	maxBackoff   = 200 * time.Millisecond
)

// Backoff returns the delay before the given retry, counted from 1. The delay is
// drawn uniformly from zero to a bound that doubles with each retry, up to
// maxBackoff.
func Backoff(retry int, random *rand.Rand) time.Duration {
	bound := min(maxBackoff, firstBackoff<<min(retry-1, 10))
	return time.Duration(random.Int64N(int64(bound)))
}
