package schedule

import (
	"slices"
	"time"

	"github.com/briarrouter/briarrouter/configuration"
	"github.com/briarrouter/briarrouter/id"
)

// usage counts one caller's requests on the service.
type usage struct {
	running, waiting int
	// ahead and work are used by workAhead only, and zero between its calls.
	ahead int
	work  float64
}

func (u *usage) idle() bool { return u.running == 0 && u.waiting == 0 }

// waitingJob is a job in the queue, with what its order follows from.
type waitingJob struct {
	Job
	usage *usage
	share float64
	// serviceTime is that of the job's route.
	serviceTime *serviceTime
	// halfTime is when half of the time until the deadline has passed.
	halfTime time.Time
}

// queue holds the jobs that wait for a slot. The policy bounds its length, so
// linear searches are cheap enough.
type queue struct {
	jobs []waitingJob
	// evicted holds evicted jobs until Scheduler.Next refuses them.
	evicted []Job
	// emptyAt is when the queue was last empty.
	emptyAt time.Time
	shares  map[id.Caller]int
	levels  levels
	// now is the time by which the order is decided.
	now time.Time
	// callers has an entry for each caller with a running or waiting job.
	callers map[id.Caller]*usage
}

func (q *queue) init(policy *configuration.Service) {
	q.shares = policy.Shares
	q.callers = make(map[id.Caller]*usage)
}

func (q *queue) len() int { return len(q.jobs) }

func (q *queue) share(c id.Caller) float64 {
	if n := q.shares[c]; n > 0 {
		return float64(n)
	}
	return 1
}

func (q *queue) usage(c id.Caller) *usage {
	u := q.callers[c]
	if u == nil {
		u = &usage{}
		q.callers[c] = u
	}
	return u
}

func (q *queue) removeIfIdle(c id.Caller) {
	if u := q.callers[c]; u != nil && u.idle() {
		delete(q.callers, c)
	}
}

// setShares sets the weights of the accounts.
func (q *queue) setShares(shares map[id.Caller]int) {
	q.shares = shares
	for i, j := range q.jobs {
		q.jobs[i].share = q.share(j.Caller)
	}
}

// entry returns the job as it is in the queue, without adding it.
func (q *queue) entry(job Job, st *serviceTime) waitingJob {
	return waitingJob{
		Job: job, usage: q.callers[job.Caller], share: q.share(job.Caller), serviceTime: st,
		halfTime: q.now.Add(job.Deadline.Sub(q.now) / 2),
	}
}

func (q *queue) push(job Job, st *serviceTime) {
	q.usage(job.Caller).waiting++
	q.jobs = append(q.jobs, q.entry(job, st))
}

func (q *queue) remove(ticket Ticket) {
	i := slices.IndexFunc(q.jobs, func(j waitingJob) bool { return j.Ticket == ticket })
	if i < 0 {
		return
	}
	caller := q.jobs[i].Caller
	q.jobs = slices.Delete(q.jobs, i, i+1)
	q.usage(caller).waiting--
	q.removeIfIdle(caller)
}

// markHeld records that a waiting job is held for a sound target.
func (q *queue) markHeld(ticket Ticket) {
	for i := range q.jobs {
		if q.jobs[i].Ticket == ticket {
			q.jobs[i].held = true
			return
		}
	}
}

func (q *queue) recordStart(c id.Caller) { q.usage(c).running++ }

func (q *queue) recordEnd(c id.Caller) {
	q.usage(c).running--
	q.removeIfIdle(c)
}

// hasWaiting reports whether a job of the same class (long or short) waits.
func (q *queue) hasWaiting(job Job) bool { return q.countWaiting(job) > 0 }

// countWaiting counts the waiting jobs of the same class.
func (q *queue) countWaiting(job Job) int {
	n := 0
	for _, j := range q.jobs {
		if j.Route.Long == job.Route.Long {
			n++
		}
	}
	return n
}

// best returns the waiting job of a class that runs next: the one with the lowest
// level, which is its Priority unless that rises, then with the fewest running requests
// of its caller relative to the caller's share, then with the earliest deadline.
func (q *queue) best(long bool) (Job, bool) {
	return q.first(func(j *waitingJob) bool { return j.Route.Long == long })
}

// bestRepeatable returns the waiting short job that runs next of those that are not
// final.
func (q *queue) bestRepeatable() (Job, bool) {
	return q.first(func(j *waitingJob) bool { return !j.Route.Long && !j.final() })
}

// first returns the waiting job that runs next of those that are accepted.
func (q *queue) first(accepted func(*waitingJob) bool) (Job, bool) {
	best := -1
	for i := range q.jobs {
		if accepted(&q.jobs[i]) && (best < 0 || q.before(&q.jobs[i], &q.jobs[best])) {
			best = i
		}
	}
	if best < 0 {
		return Job{}, false
	}
	return q.jobs[best].Job, true
}

func (q *queue) before(a, b *waitingJob) bool {
	if levelA, levelB := q.level(a), q.level(b); levelA != levelB {
		return levelA < levelB
	}
	loadA, loadB := a.runningPerShare(), b.runningPerShare()
	if loadA != loadB {
		return loadA < loadB
	}
	return a.Deadline.Before(b.Deadline)
}

func (q *queue) level(j *waitingJob) int {
	return q.levels.of(j.Priority, !q.now.Before(j.halfTime))
}

func (j *waitingJob) runningPerShare() float64 {
	if j.usage == nil {
		return 0
	}
	return float64(j.usage.running) / j.share
}

// workAhead returns the work, in seconds of mean service time, of the waiting jobs of
// the same class that run before the job: those of a lower level, those of the same
// caller with earlier deadlines, and as many of each other caller as it takes until that
// caller has as many running requests per share as the job's caller.
func (q *queue) workAhead(job waitingJob) float64 {
	work, own, level := 0.0, 0, q.level(&job)
	for i := range q.jobs {
		j := &q.jobs[i]
		jobLevel := q.level(j)
		switch {
		case j.Route.Long != job.Route.Long || j.Ticket == job.Ticket || jobLevel > level:
		case jobLevel < level:
			work += j.serviceTime.mean().Seconds()
		case j.usage == job.usage:
			if j.Deadline.Before(job.Deadline) {
				own++
				work += j.serviceTime.mean().Seconds()
			}
		default:
			j.usage.ahead++
			j.usage.work += j.serviceTime.mean().Seconds()
		}
	}
	turn := job.runningPerShare() + float64(own)/job.share
	for i := range q.jobs {
		u := q.jobs[i].usage
		if u.ahead == 0 {
			continue
		}
		before := turn*q.jobs[i].share - float64(u.running)
		work += u.work * min(1, max(0, before/float64(u.ahead)))
		u.ahead, u.work = 0, 0
	}
	return work
}

// work returns the work of the waiting short jobs, in seconds of mean service time.
func (q *queue) work() float64 {
	work := 0.0
	for i := range q.jobs {
		if !q.jobs[i].Route.Long {
			work += q.jobs[i].serviceTime.mean().Seconds()
		}
	}
	return work
}

// evictionCandidate returns the waiting job to evict in favour of a new one: of the
// jobs of the least urgent level, the job queued last by the caller with the most running
// and waiting requests per share. It returns false if the new job is of a less urgent
// level, or of the same one and its caller, with the new job, would have as many per
// share or more.
func (q *queue) evictionCandidate(job Job) (Ticket, bool) {
	candidate, level := -1, q.levels.of(job.Priority, false)
	most := q.usagePerShare(job.Caller) + 1/q.share(job.Caller)
	for i := range q.jobs {
		jobLevel, perShare := q.level(&q.jobs[i]), q.usagePerShare(q.jobs[i].Caller)
		switch {
		case jobLevel < level:
		case jobLevel > level, perShare > most, candidate >= 0 && perShare == most:
			candidate, level, most = i, jobLevel, perShare
		}
	}
	if candidate < 0 {
		return 0, false
	}
	return q.jobs[candidate].Ticket, true
}

func (q *queue) usagePerShare(c id.Caller) float64 {
	if u := q.callers[c]; u != nil {
		return float64(u.running+u.waiting) / q.share(c)
	}
	return 0
}

func (q *queue) evict(ticket Ticket) {
	i := slices.IndexFunc(q.jobs, func(j waitingJob) bool { return j.Ticket == ticket })
	q.evicted = append(q.evicted, q.jobs[i].Job)
	q.remove(ticket)
}

func (q *queue) takeEvicted() []Job {
	jobs := q.evicted
	q.evicted = nil
	return jobs
}

// removeAll removes and returns all jobs.
func (q *queue) removeAll() []Job {
	return q.removeIf(func(*waitingJob) bool { return true })
}

// removeLate removes and returns the jobs with less than the required time left
// before their deadlines.
func (q *queue) removeLate(now time.Time, required func(*serviceTime) time.Duration) []Job {
	return q.removeIf(func(j *waitingJob) bool { return j.Deadline.Sub(now) < required(j.serviceTime) })
}

// removeIf removes and returns the chosen jobs.
func (q *queue) removeIf(chosen func(*waitingJob) bool) []Job {
	var removed []Job
	for i := range q.jobs {
		if chosen(&q.jobs[i]) {
			removed = append(removed, q.jobs[i].Job)
		}
	}
	for _, j := range removed {
		q.remove(j.Ticket)
	}
	return removed
}
