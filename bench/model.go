// Package bench drives the decisions of package schedule in virtual time
// against a small model of one service's targets, and the same load against
// the balancing that an operator would have without them.
package bench

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"

	"github.com/briarrouter/briarrouter/configuration"
	"github.com/briarrouter/briarrouter/outcome"
)

// event is something that happens at a time.
type event struct {
	at time.Duration
	// number orders events of the same time.
	number int
	do     func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].number < e[j].number
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// Service is the service that a model stands for.
type Service struct {
	Targets int
	Slots   int
	// Backlog is how many requests a target lets wait before it sheds load.
	Backlog int
	// Policy is what the questionnaire's answers lead to.
	Policy *configuration.Service
	// ProbeTime is what one probe takes of a target.
	ProbeTime time.Duration
}

// Load is what arrives at a service.
type Load struct {
	// Share is the share of the slots that the load takes, by the time since
	// the start.
	Share func(at time.Duration) float64
	// Mean is the mean service time of short requests; the times are
	// log-normal with a heavy tail.
	Mean time.Duration
	// LongShare is the share of long requests, LongFactor how much longer they
	// run.
	LongShare, LongFactor float64
	// Wrong is the share of wrong answers of a healthy target.
	Wrong float64
	// Deadline is the time that a short request has; long ones have
	// LongFactor times as much.
	Deadline time.Duration
}

// spreadOfTimes is the standard deviation of the logarithm of service times.
const spreadOfTimes = 0.8

// request is one request in the model.
type request struct {
	number   int
	host     int
	arrived  time.Duration
	deadline time.Duration
	long     bool
	// work is the service time on a healthy target.
	work     time.Duration
	attempts int
	tried    []int
}

// attempt is a request on its way to a target.
type attempt struct {
	request *request
	target  int
	sent    time.Duration
	started time.Duration
	ended   bool
	running bool
	wrong   bool
}

// target is one target of the model.
type target struct {
	slots, backlog int
	running        int
	queue          []*attempt
	// slow stretches service times, wrong is the share of wrong answers.
	slow, wrong float64
	// met counts requests that started, metSick those that met a fault.
	met, metSick int
}

// balancer decides where requests run.
type balancer interface {
	// arrive takes a request; the balancer sends it now or later.
	arrive(r *request)
	// ended tells how an attempt ended. The balancer finishes the request or
	// sends it again.
	ended(a *attempt, e outcome.Ending)
}

// model is a service's targets in virtual time.
type model struct {
	now      time.Duration
	events   events
	number   int
	random   *rand.Rand
	service  Service
	load     Load
	targets  []*target
	balancer balancer
	results  results
	// requests counts the arrivals.
	requests int
}

// hosts is how many entry hosts requests arrive at.
const hosts = 40

// network is the time of one message between a daemon and a target.
const network = 500 * time.Microsecond

func newModel(s Service, l Load, seed uint64, create func(*model) balancer) *model {
	m := &model{service: s, load: l, random: rand.New(rand.NewPCG(seed, 7))}
	for range s.Targets {
		m.targets = append(m.targets, &target{slots: s.Slots, backlog: s.Backlog, slow: 1})
	}
	m.balancer = create(m)
	return m
}

func (m *model) at(at time.Duration, do func()) {
	m.number++
	heap.Push(&m.events, event{at: at, number: m.number, do: do})
}

func (m *model) after(d time.Duration, do func()) { m.at(m.now+d, do) }

// run plays the load to its end and then what is left.
func (m *model) run(length time.Duration) {
	m.after(m.gap(), func() { m.nextArrival(length) })
	for len(m.events) > 0 {
		e := heap.Pop(&m.events).(event)
		m.now = e.at
		e.do()
	}
}

// meanWork is the mean service time of all requests.
func (m *model) meanWork() float64 {
	l := m.load
	return float64(l.Mean) * (1 - l.LongShare + l.LongShare*l.LongFactor)
}

// gap draws the time to the next arrival.
func (m *model) gap() time.Duration {
	slots := float64(m.service.Targets * m.service.Slots)
	mean := m.meanWork() / (slots * m.load.Share(m.now))
	return time.Duration(m.random.ExpFloat64() * mean)
}

func (m *model) nextArrival(length time.Duration) {
	if m.now >= length {
		return
	}
	m.requests++
	m.balancer.arrive(m.draw())
	m.after(m.gap(), func() { m.nextArrival(length) })
}

func (m *model) draw() *request {
	r := &request{number: m.requests, host: m.random.IntN(hosts), arrived: m.now}
	factor := 1.0
	if m.random.Float64() < m.load.LongShare {
		r.long, factor = true, m.load.LongFactor
	}
	// The mean of a log-normal time is one where its logarithm has this mean.
	logarithm := m.random.NormFloat64()*spreadOfTimes - spreadOfTimes*spreadOfTimes/2
	r.work = time.Duration(factor * float64(m.load.Mean) * math.Exp(logarithm))
	r.deadline = m.now + time.Duration(factor*float64(m.load.Deadline))
	return r
}

// typical is the mean service time of a request's class.
func (m *model) typical(r *request) time.Duration {
	if r.long {
		return time.Duration(m.load.LongFactor * float64(m.load.Mean))
	}
	return m.load.Mean
}

// send sends a request to a target.
func (m *model) send(r *request, index int) *attempt {
	r.attempts++
	r.tried = append(r.tried, index)
	a := &attempt{request: r, target: index, sent: m.now}
	m.after(network, func() { m.reach(a) })
	m.at(r.deadline, func() { m.expire(a) })
	return a
}

// reach is the arrival of an attempt at its target.
func (m *model) reach(a *attempt) {
	t := m.targets[a.target]
	switch {
	case a.ended:
	case t.running < t.slots:
		m.begin(t, a)
	case len(t.queue) < t.backlog:
		t.queue = append(t.queue, a)
	default:
		m.end(a, outcome.Declined)
	}
}

func (m *model) begin(t *target, a *attempt) {
	t.running++
	t.met++
	if t.slow > 1 || t.wrong > 0 {
		t.metSick++
	}
	a.running, a.started = true, m.now
	a.wrong = m.random.Float64() < max(t.wrong, m.load.Wrong)
	m.results.waited(a, m.now)
	m.after(time.Duration(float64(a.request.work)*t.slow), func() { m.complete(a) })
}

func (m *model) complete(a *attempt) {
	if a.ended {
		return
	}
	m.leave(a)
	m.after(network, func() { m.end(a, outcome.Answered) })
}

// expire cancels an attempt whose deadline passed.
func (m *model) expire(a *attempt) {
	if a.ended {
		return
	}
	m.leave(a)
	m.end(a, outcome.TimedOut)
}

// leave frees what an attempt takes on its target.
func (m *model) leave(a *attempt) {
	t := m.targets[a.target]
	if a.running {
		a.running = false
		t.running--
		m.beginNext(t)
		return
	}
	for i, q := range t.queue {
		if q == a {
			t.queue = append(t.queue[:i:i], t.queue[i+1:]...)
			return
		}
	}
}

func (m *model) beginNext(t *target) {
	if len(t.queue) > 0 && t.running < t.slots {
		next := t.queue[0]
		t.queue = t.queue[1:]
		m.begin(t, next)
	}
}

func (m *model) end(a *attempt, e outcome.Ending) {
	if a.ended {
		return
	}
	a.ended = true
	m.balancer.ended(a, e)
}

// finish records what a request's caller got.
func (m *model) finish(r *request, useful bool) { m.results.finished(r, m.now, useful) }
