package schedule

import "time"

const (
	// spreadWindow is the window within which the required share of targets must
	// receive a request. It is shorter than the 2 s by which platforms judge
	// coverage.
	spreadWindow = 1800 * time.Millisecond
	// failedWindow is how long a target counts as not sound after a failure. It is
	// shorter than the 2 s for which platforms leave the target out, so that a request
	// reaches it before they count it again.
	failedWindow = 1800 * time.Millisecond
	// spreadMaxTraffic is the largest share of a service's requests that may be
	// needed for coverage. If more would be needed, coverage is not attempted: a
	// service with little traffic cannot reach all of its targets in time.
	spreadMaxTraffic = 0.4
)

const (
	// A target that has never received a request is due for an idempotent request
	// newcomerDelayIdempotent after it joined, and for a non-idempotent request
	// newcomerDelay after it joined.
	newcomerDelayIdempotent = 800 * time.Millisecond
	newcomerDelay           = 2 * time.Second
)

// newcomerTarget returns a target that joined after the initial list, has never
// received a request and is due for one, or nil. Ranking alone would keep the
// traffic on targets with known successes, and targets added to take load would
// stay idle. Targets of the initial list are excluded: a daemon that starts would
// send its first requests to one after the other, and a third of them may be
// failing.
func (s *Scheduler) newcomerTarget(now time.Time, job Job, suspect bool) *target {
	delay := newcomerDelay
	if job.Route.Idempotent {
		delay = newcomerDelayIdempotent
	}
	if !s.mayTest(job) {
		return nil
	}
	for _, t := range s.targets {
		if t.lastUsed.IsZero() && !t.joinedAt.IsZero() && now.Sub(t.joinedAt) >= delay+s.coverageDelay(t) && s.eligible(now, t, job, suspect) {
			return t
		}
	}
	return nil
}

// mayTest reports whether the job may be sent to a target because nothing recent is
// known of it. A daemon that is no replica does not hear of the others' requests,
// and would test targets that they have just tested.
func (s *Scheduler) mayTest(job Job) bool {
	return s.policy.Spread > 0 && s.replicas > 0 && len(job.Tried) == 0
}

// spreadTarget returns the target that the job must go to for the minimum
// coverage of targets, or nil. Coverage matters for a service whose targets fail
// in turn: if all traffic went to the targets with recent successes, recoveries of
// the others would go unnoticed, and those targets would be missing when something
// else fails. All daemons may be lost at any moment, so coverage does not wait for
// requests to go unserved. Idempotent requests, which can be retried, are used if
// there are enough of them, and also test targets that are probably failing: the
// platform may know them to be sound. The targets with the highest failure probability
// are left out as far as the required share allows.
func (s *Scheduler) spreadTarget(now time.Time, job Job, suspect bool) *target {
	if !s.mayTest(job) {
		return nil
	}
	c := s.Coverage(now)
	required := c.Required
	if job.Route.Idempotent {
		required = max(c.Required, c.IdempotentRequired)
	}
	if !job.Route.Idempotent && s.idempotentSuffice(now, c) {
		return nil
	}
	if s.crossings.config.Enabled() {
		return s.spreadTargetAcross(now, job, suspect, c, required)
	}
	if c.Covered >= required {
		return nil
	}
	var best *target
	for _, t := range s.targets {
		if now.Sub(t.lastUsed) < spreadWindow || now.Sub(t.lastFailed) < failedWindow || !s.eligible(now, t, job, suspect) {
			continue
		}
		if best == nil || t.failureProbability(now) < best.failureProbability(now) {
			best = t
		}
	}
	return best
}

// idempotentSuffice reports whether the idempotent requests are enough for the
// required coverage.
func (s *Scheduler) idempotentSuffice(now time.Time, c Coverage) bool {
	return float64(s.requests.sum(now).idempotent*s.replicas) >= c.Required
}

// SetReplicas sets the number of daemons, this one included, that share the
// service's callers and apply each other's sightings; zero if this daemon is none of
// them.
func (s *Scheduler) SetReplicas(n int) { s.replicas = n }

// RecordServed records, for Coverage, whether a request to this service got a
// successful response after all of its attempts. A request that did not is unserved.
func (s *Scheduler) RecordServed(now time.Time, ok bool) {
	b := s.requests.currentBucket(now)
	b.ended++
	b.unserved += boolToInt(!ok)
}

const (
	bucketCount    = 8
	bucketDuration = 250 * time.Millisecond
)

// bucket counts the requests of one bucketDuration.
type bucket struct {
	arrived, idempotent, ended, unserved int
	// attempts counts the attempts that ended, declined those that targets declined.
	attempts, declined int
	// drained is the work, in seconds of mean service time, of the requests that were
	// granted sound targets.
	drained float64
}

// requestWindow counts the requests of the last two seconds in a ring of
// buckets.
type requestWindow struct {
	buckets [bucketCount]bucket
	// current is the number of the current bucket, counted from the Unix epoch.
	current int64
}

// currentBucket returns the bucket for the time now and clears expired ones.
func (w *requestWindow) currentBucket(now time.Time) *bucket {
	n := now.UnixNano() / int64(bucketDuration)
	for i := max(w.current+1, n-bucketCount+1); i <= n; i++ {
		w.buckets[i%bucketCount] = bucket{}
	}
	w.current = max(w.current, n)
	return &w.buckets[w.current%bucketCount]
}

func (w *requestWindow) sum(now time.Time) bucket {
	w.currentBucket(now)
	var sum bucket
	for _, b := range w.buckets {
		sum.arrived += b.arrived
		sum.idempotent += b.idempotent
		sum.ended += b.ended
		sum.unserved += b.unserved
		sum.attempts += b.attempts
		sum.declined += b.declined
		sum.drained += b.drained
	}
	return sum
}

func (w *requestWindow) recordArrival(now time.Time, job Job) {
	b := w.currentBucket(now)
	b.arrived++
	b.idempotent += boolToInt(job.Route.Idempotent)
}
