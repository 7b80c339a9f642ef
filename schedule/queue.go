package schedule

import (
	"slices"
	"time"

	"github.com/briarrouter/briarrouter/configuration"
	"github.com/briarrouter/briarrouter/id"
)

// usage is what one caller takes of the service.
type usage struct{ running, waiting int }

// queue holds the jobs that wait for a slot. Its length is bounded by the
// policy, so it is searched from end to end.
type queue struct {
	jobs    []Job
	evicted []Job
	shares  map[id.Caller]int
	// callers has an entry for each caller with a job that runs or waits.
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

func (q *queue) forget(c id.Caller) {
	if u := q.callers[c]; u != nil && *u == (usage{}) {
		delete(q.callers, c)
	}
}

func (q *queue) push(job Job) {
	q.jobs = append(q.jobs, job)
	q.usage(job.Caller).waiting++
}

func (q *queue) remove(ticket Ticket) {
	i := slices.IndexFunc(q.jobs, func(j Job) bool { return j.Ticket == ticket })
	if i < 0 {
		return
	}
	caller := q.jobs[i].Caller
	q.jobs = slices.Delete(q.jobs, i, i+1)
	q.usage(caller).waiting--
	q.forget(caller)
}

func (q *queue) started(c id.Caller) { q.usage(c).running++ }

func (q *queue) ended(c id.Caller) {
	q.usage(c).running--
	q.forget(c)
}

// hasAhead tells whether a job of the same class waits already.
func (q *queue) hasAhead(job Job) bool { return q.ahead(job) > 0 }

// ahead counts the waiting jobs of the same class.
func (q *queue) ahead(job Job) int {
	n := 0
	for _, j := range q.jobs {
		if j.Route.Long == job.Route.Long {
			n++
		}
	}
	return n
}

// best returns the waiting job of a class that runs next: the most urgent one,
// then the one whose caller runs least for its share, then the one with the
// nearest deadline.
func (q *queue) best(long bool) (Job, bool) {
	var best Job
	found := false
	for _, j := range q.jobs {
		if j.Route.Long == long && (!found || q.before(j, best)) {
			best, found = j, true
		}
	}
	return best, found
}

func (q *queue) before(a, b Job) bool {
	if a.Route.Priority != b.Route.Priority {
		return a.Route.Priority < b.Route.Priority
	}
	x, y := q.load(a.Caller), q.load(b.Caller)
	if x != y {
		return x < y
	}
	return a.Deadline.Before(b.Deadline)
}

func (q *queue) load(c id.Caller) float64 {
	if u := q.callers[c]; u != nil {
		return float64(u.running) / q.share(c)
	}
	return 0
}

// heaviest returns the ticket of the job that gives way to the new one: the
// last of the caller that runs and waits most for its share.
func (q *queue) heaviest(job Job) (Ticket, bool) {
	var victim Ticket
	found, most := false, q.total(job.Caller)+1/q.share(job.Caller)
	for _, j := range q.jobs {
		if t := q.total(j.Caller); t > most || found && t == most {
			victim, found, most = j.Ticket, true, t
		}
	}
	return victim, found
}

func (q *queue) total(c id.Caller) float64 {
	if u := q.callers[c]; u != nil {
		return float64(u.running+u.waiting) / q.share(c)
	}
	return 0
}

func (q *queue) evict(ticket Ticket) {
	i := slices.IndexFunc(q.jobs, func(j Job) bool { return j.Ticket == ticket })
	q.evicted = append(q.evicted, q.jobs[i])
	q.remove(ticket)
}

func (q *queue) takeEvicted() []Job {
	jobs := q.evicted
	q.evicted = nil
	return jobs
}

// late removes and returns the jobs that cannot be answered in time any more.
func (q *queue) late(now time.Time, minimum func(Job) time.Duration) []Job {
	var late []Job
	for _, j := range q.jobs {
		if j.Deadline.Sub(now) < minimum(j) {
			late = append(late, j)
		}
	}
	for _, j := range late {
		q.remove(j.Ticket)
	}
	return late
}
