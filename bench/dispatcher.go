package bench

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/briarrouter/briarrouter/configuration"
	"github.com/briarrouter/briarrouter/health"
	"github.com/briarrouter/briarrouter/id"
	"github.com/briarrouter/briarrouter/outcome"
	"github.com/briarrouter/briarrouter/quarantine"
	"github.com/briarrouter/briarrouter/schedule"
	"github.com/briarrouter/briarrouter/work"
)

// tickInterval is the interval between ticks of the scheduler, as in package
// dispatch.
const tickInterval = 50 * time.Millisecond

// dispatcher balances with the scheduler of package schedule.
type dispatcher struct {
	model      *model
	scheduler  *schedule.Scheduler
	lastTicket schedule.Ticket
	requests   map[schedule.Ticket]*request
	attempts   map[*attempt]schedule.Ticket
	short      configuration.Route
	long       configuration.Route
	// tickUntil is the point in virtual time at which the ticks end.
	tickUntil time.Duration
	// ejections counts the ejections of each target.
	ejections []int
	// firstEjection is when each target was first ejected; zero if never.
	firstEjection []time.Duration
	// ejected tells which targets were ejected at the last recordEjections.
	ejected []bool
	// minServing is the smallest number of targets in service at any time.
	minServing int
}

// epoch is the wall-clock time that the scheduler is given at virtual time zero.
var epoch = time.Unix(0, 0)

func newDispatcher(m *model, duration time.Duration) *dispatcher {
	s := m.service
	d := &dispatcher{
		model:         m,
		scheduler:     schedule.New(s.Policy, quarantine.New(), rand.New(rand.NewPCG(m.random.Uint64(), 3))),
		requests:      make(map[schedule.Ticket]*request),
		attempts:      make(map[*attempt]schedule.Ticket),
		short:         configuration.Route{Name: "short", Idempotent: true},
		long:          configuration.Route{Name: "long", Idempotent: true, Long: true},
		tickUntil:     duration,
		ejections:     make([]int, s.Targets),
		firstEjection: make([]time.Duration, s.Targets),
		ejected:       make([]bool, s.Targets),
		minServing:    s.Targets,
	}
	var endpoints []schedule.Endpoint
	for i := range s.Targets {
		endpoints = append(endpoints, schedule.Endpoint{ID: targetID(i), Address: id.Address(targetID(i))})
	}
	d.scheduler.UpdateTargets(d.time(), schedule.TargetChange{Full: true, Listed: endpoints})
	m.after(tickInterval, d.tick)
	return d
}

func targetID(i int) id.Target { return id.Target(fmt.Sprintf("t%02d", i)) }

func targetIndex(t id.Target) int {
	var i int
	fmt.Sscanf(string(t), "t%02d", &i)
	return i
}

func (d *dispatcher) time() time.Time { return epoch.Add(d.model.now) }

func (d *dispatcher) tick() {
	d.scheduler.Tick(d.time())
	d.applyNext()
	d.recordEjections()
	if d.model.now < d.tickUntil {
		d.model.after(tickInterval, d.tick)
	}
}

// recordEjections updates minServing and counts the targets that were ejected
// since the last call.
func (d *dispatcher) recordEjections() {
	serving := 0
	for i := range d.ejected {
		ejected := d.scheduler.Health(targetID(i)) == health.Ejected
		if ejected && !d.ejected[i] {
			d.ejections[i]++
			if d.firstEjection[i] == 0 {
				d.firstEjection[i] = d.model.now
			}
		}
		d.ejected[i] = ejected
		if d.scheduler.Health(targetID(i)) == health.Serving {
			serving++
		}
	}
	d.minServing = min(d.minServing, serving)
}

func (d *dispatcher) arrive(r *request) {
	d.lastTicket++
	route := &d.short
	if r.long {
		route = &d.long
	}
	job := schedule.Job{
		Ticket: d.lastTicket, Caller: id.Caller(fmt.Sprint(r.host)), Route: route,
		Identity: work.Identity{Content: work.Fingerprint(r.number)}, Deadline: epoch.Add(r.deadline),
	}
	for _, t := range r.tried {
		job.Tried = append(job.Tried, targetID(t))
	}
	d.requests[job.Ticket] = r
	d.apply(job.Ticket, d.scheduler.Arrive(d.time(), job))
	d.applyNext()
}

// apply carries out a decision of the scheduler.
func (d *dispatcher) apply(ticket schedule.Ticket, decision schedule.Decision) {
	r := d.requests[ticket]
	switch decision.Kind {
	case schedule.Granted:
		d.attempts[d.model.send(r, targetIndex(decision.Endpoint.ID))] = ticket
	case schedule.Refused:
		delete(d.requests, ticket)
		d.model.finish(r, false)
	}
}

// applyNext carries out the decisions about waiting requests.
func (d *dispatcher) applyNext() {
	for _, e := range d.scheduler.Next(d.time()) {
		d.apply(e.Ticket, e.Decision)
	}
}

func (d *dispatcher) ended(a *attempt, e outcome.Ending) {
	ticket := d.attempts[a]
	delete(d.attempts, a)
	delete(d.requests, ticket)
	d.scheduler.Finish(d.time(), ticket, schedule.Result{Ending: e, Wrong: a.wrong, Elapsed: d.model.now - a.sentAt})
	d.recordEjections()
	if e == outcome.Declined && a.request.attempts < maxAttempts {
		d.arrive(a.request)
		return
	}
	d.model.finish(a.request, e == outcome.Answered && !a.wrong)
	d.applyNext()
}
