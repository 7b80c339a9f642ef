package bench

import (
	"time"

	"github.com/briarrouter/briarrouter/outcome"
)

const (
	// baselineAttempts is how often a baseline sends a request that a target
	// declined.
	baselineAttempts = 3
	// failuresInRow is the number of failures in a row after which a host of
	// the third baseline ejects a target, and baselineEjection for how long.
	failuresInRow    = 5
	baselineEjection = 10 * time.Second
	// slowFailure is the answer time that the third baseline takes for a
	// failure, in multiples of the mean.
	slowFailure = 4
)

// divided is a baseline in which each host balances alone.
type divided struct {
	model *model
	// choose picks a target for a host among those that it may use.
	choose func(d *divided, host int, allowed []int) int
	// eject tells whether hosts eject targets.
	eject bool
	// next is each host's position in the round.
	next [hosts]int
	// running counts each host's own requests on each target.
	running [hosts][]int
	// failures counts each host's failures in a row, until when each host
	// keeps a target out.
	failures [hosts][]int
	until    [hosts][]time.Duration
	ejected  func(target int)
}

func newDivided(m *model, choose func(*divided, int, []int) int, eject bool) *divided {
	d := &divided{model: m, choose: choose, eject: eject}
	for h := range hosts {
		d.running[h] = make([]int, m.service.Targets)
		d.failures[h] = make([]int, m.service.Targets)
		d.until[h] = make([]time.Duration, m.service.Targets)
		d.next[h] = m.random.IntN(m.service.Targets)
	}
	return d
}

// roundRobin takes the targets in turn.
func roundRobin(d *divided, host int, allowed []int) int {
	d.next[host]++
	return allowed[d.next[host]%len(allowed)]
}

// twoChoices takes the less loaded of two targets drawn at random.
func twoChoices(d *divided, host int, allowed []int) int {
	a := allowed[d.model.random.IntN(len(allowed))]
	b := allowed[d.model.random.IntN(len(allowed))]
	if d.running[host][b] < d.running[host][a] {
		return b
	}
	return a
}

// allowed lists the targets that a host may use: at least half of them, as a
// careful operator would set it.
func (d *divided) allowed(r *request) []int {
	var list []int
	for t := range d.model.targets {
		if d.model.now >= d.until[r.host][t] && !contains(r.tried, t) {
			list = append(list, t)
		}
	}
	if len(list) > 0 {
		return list
	}
	for t := range d.model.targets {
		list = append(list, t)
	}
	return list
}

func contains(list []int, x int) bool {
	for _, y := range list {
		if x == y {
			return true
		}
	}
	return false
}

func (d *divided) arrive(r *request) {
	t := d.choose(d, r.host, d.allowed(r))
	d.running[r.host][t]++
	d.model.send(r, t)
}

func (d *divided) ended(a *attempt, e outcome.Ending) {
	r := a.request
	d.running[r.host][a.target]--
	if e == outcome.Declined && r.attempts < baselineAttempts {
		d.arrive(r)
		return
	}
	d.learn(a, e)
	d.model.finish(r, e == outcome.Answered && !a.wrong)
}

func (d *divided) learn(a *attempt, e outcome.Ending) {
	if !d.eject || e == outcome.Declined {
		return
	}
	host := a.request.host
	slow := !a.request.long && d.model.now-a.started > slowFailure*d.model.load.Mean
	if e == outcome.Answered && !a.wrong && !slow {
		d.failures[host][a.target] = 0
		return
	}
	d.failures[host][a.target]++
	if d.failures[host][a.target] < failuresInRow || d.outOf(host) >= len(d.model.targets)/2 {
		return
	}
	d.failures[host][a.target] = 0
	d.until[host][a.target] = d.model.now + baselineEjection
	if d.ejected != nil {
		d.ejected(a.target)
	}
}

func (d *divided) outOf(host int) int {
	n := 0
	for _, until := range d.until[host] {
		if d.model.now < until {
			n++
		}
	}
	return n
}

// ideal sees every slot and every fault at once. How long a request will run
// it does not know either.
type ideal struct {
	model *model
	// running counts the requests sent to each target.
	running []int
	short   []*request
	long    []*request
}

func newIdeal(m *model) *ideal { return &ideal{model: m, running: make([]int, m.service.Targets)} }

func (d *ideal) arrive(r *request) {
	if r.long {
		d.long = append(d.long, r)
	} else {
		d.short = append(d.short, r)
	}
	d.fill()
}

// fill sends what waits, short requests first, to free healthy slots.
func (d *ideal) fill() {
	for {
		t := d.free()
		if t < 0 {
			return
		}
		r := d.take()
		if r == nil {
			return
		}
		if d.model.now+d.model.typical(r)+2*network > r.deadline {
			d.model.finish(r, false)
			continue
		}
		d.running[t]++
		d.model.send(r, t)
	}
}

func (d *ideal) free() int {
	best := -1
	for i, t := range d.model.targets {
		healthy := t.slow <= 1 && t.wrong == 0
		if healthy && d.running[i] < t.slots && (best < 0 || d.running[i] < d.running[best]) {
			best = i
		}
	}
	return best
}

func (d *ideal) take() *request {
	list := &d.short
	if len(*list) == 0 {
		list = &d.long
	}
	if len(*list) == 0 {
		return nil
	}
	r := (*list)[0]
	*list = (*list)[1:]
	return r
}

func (d *ideal) ended(a *attempt, e outcome.Ending) {
	d.running[a.target]--
	d.model.finish(a.request, e == outcome.Answered && !a.wrong)
	d.fill()
}
