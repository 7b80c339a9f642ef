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

// tick is the time between two ticks of the scheduler, as in package dispatch.
const tick = 50 * time.Millisecond

// dispatcher is the product's own scheduler in the model.
type dispatcher struct {
	model     *model
	scheduler *schedule.Scheduler
	tickets   schedule.Ticket
	requests  map[schedule.Ticket]*request
	attempts  map[*attempt]schedule.Ticket
	short     configuration.Route
	long      configuration.Route
	length    time.Duration
	// ejections counts the ejections of each target, first the time of the
	// first one.
	ejections []int
	first     []time.Duration
	out       []bool
	// leastServing is the least number of targets in service.
	leastServing int
}

var epoch = time.Unix(0, 0)

func newDispatcher(m *model, length time.Duration) *dispatcher {
	s := m.service
	d := &dispatcher{
		model:        m,
		scheduler:    schedule.New(s.Policy, quarantine.New(), rand.New(rand.NewPCG(m.random.Uint64(), 3))),
		requests:     make(map[schedule.Ticket]*request),
		attempts:     make(map[*attempt]schedule.Ticket),
		short:        configuration.Route{Name: "short", Idempotent: true},
		long:         configuration.Route{Name: "long", Idempotent: true, Long: true},
		length:       length,
		ejections:    make([]int, s.Targets),
		first:        make([]time.Duration, s.Targets),
		out:          make([]bool, s.Targets),
		leastServing: s.Targets,
	}
	var list []schedule.Endpoint
	for i := range s.Targets {
		list = append(list, schedule.Endpoint{ID: targetID(i), Address: id.Address(targetID(i))})
	}
	d.scheduler.SetTargets(d.time(), list)
	m.after(tick, d.tick)
	return d
}

func targetID(i int) id.Target { return id.Target(fmt.Sprintf("t%02d", i)) }

func indexOf(t id.Target) int {
	var i int
	fmt.Sscanf(string(t), "t%02d", &i)
	return i
}

func (d *dispatcher) time() time.Time { return epoch.Add(d.model.now) }

func (d *dispatcher) tick() {
	d.scheduler.Tick(d.time())
	d.deliver()
	d.watch()
	if d.model.now < d.length {
		d.model.after(tick, d.tick)
	}
}

// watch notes which targets are ejected.
func (d *dispatcher) watch() {
	serving := 0
	for i := range d.out {
		out := d.scheduler.Health(targetID(i)) == health.Ejected
		if out && !d.out[i] {
			d.ejections[i]++
			if d.first[i] == 0 {
				d.first[i] = d.model.now
			}
		}
		d.out[i] = out
		if d.scheduler.Health(targetID(i)) == health.Serving {
			serving++
		}
	}
	d.leastServing = min(d.leastServing, serving)
}

func (d *dispatcher) arrive(r *request) {
	d.tickets++
	route := &d.short
	if r.long {
		route = &d.long
	}
	job := schedule.Job{
		Ticket: d.tickets, Caller: id.Caller(fmt.Sprint(r.host)), Route: route,
		Fingerprint: work.Fingerprint(r.number), Deadline: epoch.Add(r.deadline),
	}
	for _, t := range r.tried {
		job.Tried = append(job.Tried, targetID(t))
	}
	d.requests[job.Ticket] = r
	d.act(job.Ticket, d.scheduler.Arrive(d.time(), job))
	d.deliver()
}

func (d *dispatcher) act(ticket schedule.Ticket, decision schedule.Decision) {
	r := d.requests[ticket]
	switch decision.Kind {
	case schedule.Granted:
		d.attempts[d.model.send(r, indexOf(decision.Endpoint.ID))] = ticket
	case schedule.Refused:
		delete(d.requests, ticket)
		d.model.finish(r, false)
	}
}

func (d *dispatcher) deliver() {
	for _, e := range d.scheduler.Next(d.time()) {
		d.act(e.Ticket, e.Decision)
	}
}

func (d *dispatcher) ended(a *attempt, e outcome.Ending) {
	ticket := d.attempts[a]
	delete(d.attempts, a)
	delete(d.requests, ticket)
	d.scheduler.Finish(d.time(), ticket, schedule.Result{Ending: e, Wrong: a.wrong, Elapsed: d.model.now - a.sent})
	d.watch()
	if e == outcome.Declined && a.request.attempts < baselineAttempts {
		d.arrive(a.request)
		return
	}
	d.model.finish(a.request, e == outcome.Answered && !a.wrong)
	d.deliver()
}
