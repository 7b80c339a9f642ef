package schedule

import (
	"math/rand/v2"
	"time"

	"github.com/briarrouter/briarrouter/configuration"
	"github.com/briarrouter/briarrouter/work"
)

func (s *Scheduler) refuse(reason work.Reason, after time.Duration) Decision {
	s.counts.Refused++
	return Decision{Kind: Refused, Reason: reason, RetryAfter: after}
}

// refuseLate refuses a job that is not expected to complete before its deadline,
// so that the slot goes to a job that can.
func (s *Scheduler) refuseLate(now time.Time, job Job) (Decision, bool) {
	remaining := job.Deadline.Sub(now)
	if remaining <= 0 {
		return s.refuse(work.DeadlinePassed, 0), true
	}
	wait := s.expectedWait(now, job)
	if remaining >= wait+s.serviceTime(job.Route.Name).required() {
		return Decision{}, false
	}
	if s.statedWait(now, 0) == 0 {
		wait = s.spread(now, wait)
	}
	return s.refuse(work.DeadlineTooNear, wait), true
}

// expectedWait estimates how long the job would wait for a slot: by the work of the
// waiting jobs of its class (long or short) that run before it. It is zero if there is
// none or if no target has capacity. While the statements of all targets forbid
// requests, it is the time until one may be sent.
func (s *Scheduler) expectedWait(now time.Time, job Job) time.Duration {
	if wait := s.statedWait(now, s.queue.countWaiting(job)); wait > 0 {
		return wait
	}
	if !s.queue.hasWaiting(job) {
		return 0
	}
	return s.drain(now, s.workAhead(job), job.Route.Long)
}

// drain returns the time in which jobs of a class get through an amount of work, in
// seconds of mean service time. Where targets are ranked by failure probability, their
// slots are shared with other daemons and some of them fail, so that the measured rate
// counts.
func (s *Scheduler) drain(now time.Time, work float64, long bool) time.Duration {
	if s.ranks() && !long {
		return s.drainTime(now, work, s.soundCapacity(now).sound)
	}
	slots := s.totalCapacity(now)
	if long {
		slots = s.longLimit(now)
	}
	if slots == 0 {
		return 0
	}
	return time.Duration(work / float64(slots) * float64(time.Second))
}

// ranks reports whether targets are ranked by failure probability.
func (s *Scheduler) ranks() bool { return s.policy.FailureCost > 0 }

// queuedMargin is the time, in multiples of the mean service time, that must be left for
// a waiting job where targets are ranked. Service times vary and include the wait on the
// target: with one mean, a fifth of the jobs of a less urgent priority were granted too
// late in package bench and took slots in vain, with two a thirtieth.
const queuedMargin = 2

// requiredWhileQueued returns the time that must be left for a job that waits.
func (s *Scheduler) requiredWhileQueued(st *serviceTime) time.Duration {
	if s.ranks() {
		return queuedMargin * st.required()
	}
	return st.required()
}

// enqueue queues the job. If the queue is full, it evicts a job of the least urgent
// level and, of that level, of the caller that uses the service most relative to its
// share. It refuses the new job if it would be that one.
func (s *Scheduler) enqueue(now time.Time, job Job) Decision {
	if s.queue.len() < s.policy.Queue {
		s.queue.push(job, s.serviceTime(job.Route.Name))
		return Decision{Kind: Waiting}
	}
	victim, ok := s.queue.evictionCandidate(job)
	if !ok {
		return s.refuse(work.Overloaded, s.retryAfter(now))
	}
	s.queue.push(job, s.serviceTime(job.Route.Name))
	s.queue.evict(victim)
	return Decision{Kind: Waiting}
}

// minSpread is the least time over which the returns of refused callers are spread.
const minSpread = 200 * time.Millisecond

// spread draws the time after which a caller may retry from the time in which the
// queue drains, so that callers that are refused together return while there is room
// for each. The draw depends on the time and the number of refusals instead of the random
// source of the choices, so that a refusal changes no choice of a target.
func (s *Scheduler) spread(now time.Time, drain time.Duration) time.Duration {
	if !s.ranks() {
		return drain
	}
	var source rand.PCG
	source.Seed(uint64(now.UnixNano()), uint64(s.counts.Refused))
	return minSpread/2 + time.Duration(source.Uint64()%uint64(max(minSpread, drain)))
}

func (s *Scheduler) retryAfter(now time.Time) time.Duration {
	if !s.ranks() {
		return max(time.Second, s.expectedWait(now, Job{Route: &configuration.Route{}}))
	}
	return s.statedWait(now, 0) + s.spread(now, s.queueDrain(now))
}

const (
	// A caller whose request was declined by a target may retry after a time between
	// minDeclinedWait, about the time in which a target that sheds load finishes one
	// request, and maxDeclinedWait or the time in which the queue drains.
	minDeclinedWait = 100 * time.Millisecond
	maxDeclinedWait = 400 * time.Millisecond
	// While at least manyDeclinedShare of minDeclinedAttempts or more attempts are
	// declined, the service as a whole rejects requests, which lasts for seconds, and
	// the time is minManyDeclinedWait to maxManyDeclinedWait.
	manyDeclinedShare   = 0.25
	minDeclinedAttempts = 20
	minManyDeclinedWait = 500 * time.Millisecond
	maxManyDeclinedWait = time.Second
)

// RetryAfterDeclined draws the delay after which a caller whose request a target
// declined may retry: from when on a target may be sent a request, if the targets say
// so. It is drawn uniformly, so that callers that were refused together do not retry
// together.
func (s *Scheduler) RetryAfterDeclined(now time.Time) time.Duration {
	least, most := minDeclinedWait, maxDeclinedWait
	if sum := s.requests.sum(now); s.ranks() && sum.attempts >= minDeclinedAttempts && float64(sum.declined) >= manyDeclinedShare*float64(sum.attempts) {
		least, most = minManyDeclinedWait, maxManyDeclinedWait
	}
	if s.ranks() {
		most = max(most, least+s.queueDrain(now))
	}
	return s.statedWait(now, 0) + least + time.Duration(s.random.Int64N(int64(most-least)))
}

// queueDrain returns the time in which the short jobs that wait now are granted.
func (s *Scheduler) queueDrain(now time.Time) time.Duration {
	if s.queue.len() == 0 {
		return 0
	}
	return s.drain(now, s.queue.work(), false)
}
