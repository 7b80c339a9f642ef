package schedule

import (
	"math"
	"time"
)

const (
	// spreadWindow is the time within which the targets that must get work get
	// some: well under the two seconds that platforms judge by.
	spreadWindow = 1200 * time.Millisecond
	// spreadMargin is added to the share of the targets that must get work,
	// since this daemon does not know which of them the platform holds for sound.
	spreadMargin = 0.08
	// spreadUnserved is the share of unserved requests from which work spreads:
	// somewhat under the tenth from which platforms look at it.
	spreadUnserved = 0.08
)

const (
	// newIdle is how long a target that never had work may be left without any
	// while idempotent work comes, and newIdleAny while only other work does.
	newIdle    = 800 * time.Millisecond
	newIdleAny = 2 * time.Second
)

// newcomer returns a target that never had work and gets this job, or nil.
// Ranks alone would keep work with the targets that are known for long, and
// those that joined to help would stand idle.
func (s *Scheduler) newcomer(now time.Time, job Job, suspect bool) *target {
	idle := newIdleAny
	if job.Route.Idempotent {
		idle = newIdle
	}
	if s.policy.Spread == 0 || len(job.Tried) > 0 {
		return nil
	}
	for _, t := range s.targets {
		if t.used.IsZero() && now.Sub(t.listed) >= idle && s.eligible(now, t, job, suspect) {
			return t
		}
	}
	return nil
}

// spread returns the target that work must go to so that enough of the targets
// get some, or nil. It answers the load of a service of which much fails: work
// that keeps to the few targets with fresh successes would never find out which
// of the others are well again. While most requests are served it costs more than
// it finds: each target that is tried in doubt fails a part of its work. The
// targets that are most in doubt are left out as far as the share allows.
func (s *Scheduler) spread(now time.Time, job Job, suspect bool) *target {
	if s.policy.Spread == 0 || len(job.Tried) > 0 || s.served.unserved(now) < spreadUnserved {
		return nil
	}
	touched, staying := 0, 0
	var best *target
	for _, t := range s.targets {
		if t.leaving {
			continue
		}
		staying++
		if now.Sub(t.used) < spreadWindow {
			touched++
			continue
		}
		if s.eligible(now, t, job, suspect) && (best == nil || t.sick(now) < best.sick(now)) {
			best = t
		}
	}
	if touched >= int(math.Ceil((float64(s.policy.Spread)+spreadMargin)*float64(staying))) {
		return nil
	}
	return best
}

// Served records whether a request got an answer of success in the end.
func (s *Scheduler) Served(now time.Time, ok bool) { s.served.add(now, ok) }

const (
	servedBuckets = 8
	servedSpan    = 250 * time.Millisecond
	// unservedLeast is how many requests must have gone unserved: of the few that
	// one daemon sees in a quiet hour, some are no sign.
	unservedLeast = 6
)

// served counts the requests of the last two seconds and those of them that
// were not served.
type served struct {
	buckets [servedBuckets]struct{ all, unserved int }
	// current is the number of the bucket in use since the zero time.
	current int64
}

func (c *served) turn(now time.Time) {
	n := now.UnixNano() / int64(servedSpan)
	for i := max(c.current+1, n-servedBuckets+1); i <= n; i++ {
		c.buckets[i%servedBuckets] = struct{ all, unserved int }{}
	}
	c.current = max(c.current, n)
}

func (c *served) add(now time.Time, ok bool) {
	c.turn(now)
	b := &c.buckets[c.current%servedBuckets]
	b.all++
	b.unserved += count(!ok)
}

// unserved returns the share of requests that were not served; zero where there
// were too few.
func (c *served) unserved(now time.Time) float64 {
	c.turn(now)
	all, unserved := 0, 0
	for _, b := range c.buckets {
		all += b.all
		unserved += b.unserved
	}
	if unserved < unservedLeast {
		return 0
	}
	return float64(unserved) / float64(all)
}
