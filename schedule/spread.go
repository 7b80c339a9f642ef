package schedule

import (
	"math"
	"time"
)

const (
	// spreadWindow is the time within which the targets that must get work get
	// some: under the two seconds that platforms judge by.
	spreadWindow = 1800 * time.Millisecond
	// failedWindow is how long a target counts as one with work after it failed
	// some. Platforms hold one that fails for broken during two seconds; beyond
	// that, the part of the targets that may go without work allows for a little.
	failedWindow = 2400 * time.Millisecond
	// spreadMargin is added to the share of the targets that must get work,
	// since this daemon does not know which of them the platform holds for sound.
	spreadMargin = 0.05
	// spreadTraffic is the part of a service's requests that may be led by this.
	// A service with little traffic cannot reach all of its targets in time.
	spreadTraffic = 0.4
	// spreadUnserved is the share of unserved requests from which work reaches
	// every target: somewhat under the tenth from which platforms look.
	spreadUnserved = 0.09
	// spreadFlight is the share of two seconds' requests that run at any moment
	// from which work spreads at all times: if every daemon is lost at once, so
	// many go unserved. Each target that is tried in doubt costs a part of its
	// work, so services of shorter work keep to the targets that are well.
	spreadFlight = 0.12
)

const (
	// newIdle is how long a target that never had work may be left without any
	// while idempotent work comes, and newIdleAny while only other work does.
	newIdle    = 800 * time.Millisecond
	newIdleAny = 2 * time.Second
)

// newcomer returns a target that joined, never had work, and gets this job, or
// nil. Ranks alone would keep work with the targets that are known for long, and
// those that joined to help would stand idle. Those of the first list are left to
// their ranks: a third of them may be sick, and a daemon that starts would send
// its first requests to one after the other.
func (s *Scheduler) newcomer(now time.Time, job Job, suspect bool) *target {
	idle := newIdleAny
	if job.Route.Idempotent {
		idle = newIdle
	}
	if s.policy.Spread == 0 || len(job.Tried) > 0 {
		return nil
	}
	for _, t := range s.targets {
		if t.used.IsZero() && !t.joined.IsZero() && now.Sub(t.joined) >= idle && s.eligible(now, t, job, suspect) {
			return t
		}
	}
	return nil
}

// spread returns the target that work must go to so that enough of the targets
// get some, or nil. It answers the load of a service whose targets fail by turns:
// work that keeps to those with fresh successes would never find out which of the
// others are well again, and when something else fails, those would be missed.
// Idempotent work, which may be tried again, does it where there is enough of it.
// The targets that are most in doubt are left out as far as the share allows.
func (s *Scheduler) spread(now time.Time, job Job, suspect bool) *target {
	if s.policy.Spread == 0 || len(job.Tried) > 0 {
		return nil
	}
	touched, staying := 0, 0
	var best *target
	for _, t := range s.targets {
		if t.leaving {
			continue
		}
		staying++
		if now.Sub(t.used) < spreadWindow || now.Sub(t.failed) < failedWindow {
			touched++
			continue
		}
		if s.eligible(now, t, job, suspect) && (best == nil || t.sick(now) < best.sick(now)) {
			best = t
		}
	}
	if touched >= s.need(now, job, staying) {
		return nil
	}
	return best
}

// need returns how many of the targets must get work in a window, as far as this
// job is to see to it.
func (s *Scheduler) need(now time.Time, job Job, targets int) int {
	recent := s.served.sum(now)
	share := float64(s.policy.Spread) + spreadMargin
	if recent.unservedShare() >= spreadUnserved {
		// Which of the targets are sound is not known, and those that would be left
		// out as most in doubt have not failed lately just because of that.
		share = 1
	}
	need := int(math.Ceil(share * float64(targets)))
	switch {
	case float64(need) > spreadTraffic*float64(recent.arrived*s.servers):
		return 0
	case recent.unservedShare() >= spreadUnserved:
		return need
	case recent.flight() < spreadFlight, !job.Route.Idempotent && recent.idempotent*s.servers >= need:
		return 0
	default:
		return need
	}
}

// SetServers tells how many daemons, with this one, share the service's callers.
func (s *Scheduler) SetServers(n int) { s.servers = max(1, n) }

// Served records whether a request that may go to this service got an answer of
// success in the end.
func (s *Scheduler) Served(now time.Time, ok bool) {
	b := s.served.bucket(now)
	b.ended++
	b.unserved += count(!ok)
}

const (
	servedBuckets = 8
	servedSpan    = 250 * time.Millisecond
	// unservedLeast is how many requests must have gone unserved: of the few that
	// one daemon sees in a quiet hour, one or two are no sign.
	unservedLeast = 3
)

// bucket counts the requests of a span.
type bucket struct {
	arrived, idempotent, ended, unserved int
	// runs counts the attempts that ended, and worked sums their times.
	runs   int
	worked time.Duration
}

// flight returns the share of two seconds' requests that run at any moment.
func (b bucket) flight() float64 {
	if b.runs == 0 {
		return 0
	}
	return float64(b.worked) / float64(b.runs) / float64(servedBuckets*servedSpan)
}

// served counts the requests of the last two seconds and those of them that
// were not served.
type served struct {
	buckets [servedBuckets]bucket
	// current is the number of the bucket in use since the zero time.
	current int64
}

// bucket returns the bucket of now, and clears those that are too old.
func (c *served) bucket(now time.Time) *bucket {
	n := now.UnixNano() / int64(servedSpan)
	for i := max(c.current+1, n-servedBuckets+1); i <= n; i++ {
		c.buckets[i%servedBuckets] = bucket{}
	}
	c.current = max(c.current, n)
	return &c.buckets[c.current%servedBuckets]
}

func (c *served) sum(now time.Time) bucket {
	c.bucket(now)
	var sum bucket
	for _, b := range c.buckets {
		sum.arrived += b.arrived
		sum.idempotent += b.idempotent
		sum.ended += b.ended
		sum.unserved += b.unserved
		sum.runs += b.runs
		sum.worked += b.worked
	}
	return sum
}

func (c *served) arrived(now time.Time, job Job) {
	b := c.bucket(now)
	b.arrived++
	b.idempotent += count(job.Route.Idempotent)
}

// worked records how long an attempt took.
func (c *served) worked(now time.Time, took time.Duration) {
	b := c.bucket(now)
	b.runs++
	b.worked += took
}

// unservedShare returns the share of requests that were not served; zero where
// too few were not.
func (b bucket) unservedShare() float64 {
	if b.unserved < unservedLeast {
		return 0
	}
	return float64(b.unserved) / float64(b.ended)
}
