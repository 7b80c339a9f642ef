package schedule

import "time"

// soundCapacity sums the capacities of targets.
type soundCapacity struct {
	// total is the sum of the capacities, sound the expected sum of those of the
	// targets that are not failing.
	total, sound float64
	// at is when the capacities were summed.
	at time.Time
}

func (c *soundCapacity) add(now time.Time, t *target, capacity int) {
	c.total += float64(capacity)
	c.sound += float64(capacity) * (1 - t.failureProbability(now))
}

const (
	// doubtfulProbability is the failure probability from which on a target counts as
	// doubtful: a request is lost there more often than not.
	doubtfulProbability = 0.5
	// minSoundShare is the least share of the capacity that sound targets must have
	// for requests to be held for them. Below it the estimates may be wrong for a
	// reason that is not the targets', and most requests that are held would have to
	// be refused.
	minSoundShare = 0.25
	// standingTime is how long the queue may be in use without a break until holding
	// counts as useless: the load is then above what the sound targets can take, each
	// request that waits delays another, and policy.Hold is limited to standingHold.
	// Package bench showed no more requests served by longer waits under a constant
	// load, but four to six times as many slow responses.
	standingTime = 4 * time.Second
	standingHold = 0.2
	// A target that failed within recoveryTime, and whose failure probability is at
	// least recoveringProbability, gets final requests on at most half of its capacity.
	// Two successes bring a target that fails 0.85 of its requests below
	// doubtfulProbability by chance, and it would then get as many requests at once as
	// it has slots.
	recoveryTime          = 20 * time.Second
	recoveringProbability = 0.2
)

// doubtful reports whether a request is probably lost on the target.
func (t *target) doubtful(now time.Time) bool {
	return t.failureProbability(now) >= doubtfulProbability
}

// recovering reports whether the target failed a request recently and has had too few
// successes since then to be given final requests on all of its capacity.
func (t *target) recovering(now time.Time) bool {
	return now.Sub(t.lastFailed) < recoveryTime && t.failureProbability(now) >= recoveringProbability
}

// final reports whether no attempt may follow one of the job that fails.
func (j Job) final() bool { return j.Final || !j.Route.Idempotent }

// mayTake reports whether a target may be given the job, as far as its failures decide.
func (s *Scheduler) mayTake(now time.Time, t *target, job Job, capacity int) bool {
	return s.policy.Hold == 0 || t.running < max(1, capacity/2) || !job.final() || !t.recovering(now)
}

// holds reports whether the job should wait for a sound target rather than go to the
// target with the lowest cost. A wait within policy.Hold ends at a sound target, where
// a request is nearly always served. A longer one ends with a refusal or delays another
// request, so that the small chance at a doubtful target is worth more.
func (s *Scheduler) holds(now time.Time, job Job, best *target) bool {
	if s.policy.Hold == 0 || !job.final() || !best.doubtful(now) {
		return false
	}
	c := s.soundCapacity(now)
	if c.sound < minSoundShare*c.total || s.waitsTooLong(now, job, c) {
		return false
	}
	s.queue.markHeld(job.Ticket)
	return true
}

// waitsTooLong reports whether the job would wait longer for a sound target than it is
// held for one.
func (s *Scheduler) waitsTooLong(now time.Time, job Job, c soundCapacity) bool {
	hold := s.policy.Hold
	if now.Sub(s.queue.emptyAt) >= standingTime {
		hold = min(hold, standingHold)
	}
	limit := time.Duration(hold * float64(job.Deadline.Sub(now)))
	return limit < s.drainTime(now, s.workAhead(job), c.sound)+s.serviceTime(job.Route.Name).required()
}

func (s *Scheduler) workAhead(job Job) float64 {
	return s.queue.workAhead(s.queue.entry(job, s.serviceTime(job.Route.Name)))
}

// targetBeforeQueue returns the target for a new job that would wait too long behind the
// waiting jobs, or nil. It is a target that those jobs do not wait for.
func (s *Scheduler) targetBeforeQueue(now time.Time, job Job) *target {
	if s.policy.Hold == 0 || job.Route.Long || !s.queue.hasWaiting(job) || !s.waitsTooLong(now, job, s.soundCapacity(now)) {
		return nil
	}
	return s.lowestCostTarget(now, job, s.quarantine.Suspect(job.Identity))
}

// nextRepeatable returns the waiting short job that goes to a doubtful target while
// the next job, which is final, waits for a sound one.
func (s *Scheduler) nextRepeatable(now time.Time, next Job) (Job, *target, Choice) {
	if s.policy.Hold == 0 || next.Route == nil || !next.final() {
		return Job{}, nil, ""
	}
	if job, ok := s.queue.bestRepeatable(); ok {
		if t, choice := s.selectTarget(now, job); t != nil {
			return job, t, choice
		}
	}
	return Job{}, nil, ""
}

// soundCapacityTTL is how long a sum of capacities is used. A service may have hundreds
// of targets, and under overload the sum is needed for each request.
const soundCapacityTTL = 20 * time.Millisecond

func (s *Scheduler) soundCapacity(now time.Time) soundCapacity {
	if now.Sub(s.sound.at) < soundCapacityTTL {
		return s.sound
	}
	s.sound = soundCapacity{at: now}
	for _, t := range s.targets {
		s.sound.add(now, t, s.targetCapacity(now, t))
	}
	return s.sound
}

// drainTime returns the time in which this daemon's requests get through an amount of
// work, in seconds of mean service time: by the rate at which sound targets were given
// work, or by this daemon's part of the slots if that is more, since the rate of a daemon
// with little load is that of its load.
func (s *Scheduler) drainTime(now time.Time, work, slots float64) time.Duration {
	const window = bucketCount * bucketDuration
	rate := max(s.requests.sum(now).drained/window.Seconds(), slots/float64(max(1, s.replicas)))
	if work == 0 || rate == 0 {
		return 0
	}
	return time.Duration(work / rate * float64(time.Second))
}

// recordDrain records a granted job for drainTime.
func (s *Scheduler) recordDrain(now time.Time, t *target, job Job) {
	if s.ranks() && !t.doubtful(now) {
		s.requests.currentBucket(now).drained += s.serviceTime(job.Route.Name).mean().Seconds()
	}
}
