package bench

import (
	"time"

	"github.com/briarrouter/briarrouter/outcome"
)

const (
	// maxAttempts bounds the attempts of a request that targets decline.
	maxAttempts = 3
	// consecutiveFailures is the number of consecutive failures after which a
	// host of baseline (c), nameTwoChoicesEject, ejects a target for
	// baselineEjection.
	consecutiveFailures = 5
	baselineEjection    = 10 * time.Second
	// slowFactor is the time, in multiples of the mean service time, above which
	// baseline (c) counts a short request as a failure.
	slowFactor = 4
)

// perHostBalancer is a baseline in which each host balances by its own
// observations, which the hosts do not exchange.
type perHostBalancer struct {
	model *model
	// choose picks one of the allowed targets for a host.
	choose func(b *perHostBalancer, host int, allowed []int) int
	// eject tells whether hosts eject targets.
	eject bool
	// next is the round-robin position of each host.
	next [hosts]int
	// running counts each host's own requests on each target.
	running [hosts][]int
	// failures counts the consecutive failures that each host has seen of each
	// target.
	failures [hosts][]int
	// ejectedUntil is when each host's ejection of each target ends.
	ejectedUntil [hosts][]time.Duration
	// onEjection, if set, is called for each ejection.
	onEjection func(target int)
}

func newPerHostBalancer(m *model, choose func(*perHostBalancer, int, []int) int, eject bool) *perHostBalancer {
	b := &perHostBalancer{model: m, choose: choose, eject: eject}
	for h := range hosts {
		b.running[h] = make([]int, m.service.Targets)
		b.failures[h] = make([]int, m.service.Targets)
		b.ejectedUntil[h] = make([]time.Duration, m.service.Targets)
		b.next[h] = m.random.IntN(m.service.Targets)
	}
	return b
}

// roundRobin picks the targets in turn.
func roundRobin(b *perHostBalancer, host int, allowed []int) int {
	b.next[host]++
	return allowed[b.next[host]%len(allowed)]
}

// twoChoices picks the less loaded of two targets drawn at random (power of two
// choices).
func twoChoices(b *perHostBalancer, host int, allowed []int) int {
	first := allowed[b.model.random.IntN(len(allowed))]
	second := allowed[b.model.random.IntN(len(allowed))]
	if b.running[host][second] < b.running[host][first] {
		return second
	}
	return first
}

// allowed lists the targets that a request may be sent to: those that were not
// tried for it before and that its host has not ejected, or all if there is none.
func (b *perHostBalancer) allowed(r *request) []int {
	var list []int
	for t := range b.model.targets {
		if b.model.now >= b.ejectedUntil[r.host][t] && !contains(r.tried, t) {
			list = append(list, t)
		}
	}
	if len(list) > 0 {
		return list
	}
	for t := range b.model.targets {
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

func (b *perHostBalancer) arrive(r *request) {
	t := b.choose(b, r.host, b.allowed(r))
	b.running[r.host][t]++
	b.model.send(r, t)
}

func (b *perHostBalancer) ended(a *attempt, e outcome.Ending) {
	r := a.request
	b.running[r.host][a.target]--
	if e == outcome.Declined && r.attempts < maxAttempts {
		b.arrive(r)
		return
	}
	b.updateFailures(a, e)
	b.model.finish(r, e == outcome.Answered && !a.wrong)
}

// updateFailures updates the failure counts and ejects a target that failed too
// often in a row. A host ejects at most half of the targets, the limit that a
// careful operator would set.
func (b *perHostBalancer) updateFailures(a *attempt, e outcome.Ending) {
	if !b.eject || e == outcome.Declined {
		return
	}
	host := a.request.host
	slow := !a.request.long && b.model.now-a.startedAt > slowFactor*b.model.load.MeanTime
	if e == outcome.Answered && !a.wrong && !slow {
		b.failures[host][a.target] = 0
		return
	}
	b.failures[host][a.target]++
	if b.failures[host][a.target] < consecutiveFailures || b.ejectedCount(host) >= len(b.model.targets)/2 {
		return
	}
	b.failures[host][a.target] = 0
	b.ejectedUntil[host][a.target] = b.model.now + baselineEjection
	if b.onEjection != nil {
		b.onEjection(a.target)
	}
}

// ejectedCount returns how many targets a host has ejected.
func (b *perHostBalancer) ejectedCount(host int) int {
	n := 0
	for _, until := range b.ejectedUntil[host] {
		if b.model.now < until {
			n++
		}
	}
	return n
}

// idealBalancer is the reference for the other balancers: it knows every free
// slot and every fault without delay. Like them, it doesn't know how long a
// request will run.
type idealBalancer struct {
	model *model
	// running counts the attempts on each target that have not ended.
	running []int
	short   []*request
	long    []*request
}

func newIdealBalancer(m *model) *idealBalancer {
	return &idealBalancer{model: m, running: make([]int, m.service.Targets)}
}

func (b *idealBalancer) arrive(r *request) {
	if r.long {
		b.long = append(b.long, r)
	} else {
		b.short = append(b.short, r)
	}
	b.sendWaiting()
}

// sendWaiting sends waiting requests, short ones first, to free slots of healthy
// targets. It fails a request whose remaining time is shorter than the mean service
// time of its class plus the network delay in both directions.
func (b *idealBalancer) sendWaiting() {
	for {
		t := b.leastLoaded()
		if t < 0 {
			return
		}
		r := b.nextWaiting()
		if r == nil {
			return
		}
		if b.model.now+b.model.classMeanTime(r)+2*networkDelay > r.deadline {
			b.model.finish(r, false)
			continue
		}
		b.running[t]++
		b.model.send(r, t)
	}
}

// leastLoaded returns, of the healthy targets with a free slot, the one with the
// fewest requests, or -1 if there is none.
func (b *idealBalancer) leastLoaded() int {
	best := -1
	for i, t := range b.model.targets {
		healthy := t.slowdown <= 1 && t.errorShare == 0
		if healthy && b.running[i] < t.slots && (best < 0 || b.running[i] < b.running[best]) {
			best = i
		}
	}
	return best
}

// nextWaiting removes the next request from the queues, or returns nil.
func (b *idealBalancer) nextWaiting() *request {
	list := &b.short
	if len(*list) == 0 {
		list = &b.long
	}
	if len(*list) == 0 {
		return nil
	}
	r := (*list)[0]
	*list = (*list)[1:]
	return r
}

func (b *idealBalancer) ended(a *attempt, e outcome.Ending) {
	b.running[a.target]--
	b.model.finish(a.request, e == outcome.Answered && !a.wrong)
	b.sendWaiting()
}
