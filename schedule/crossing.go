package schedule

import (
	"slices"
	"time"

	"github.com/briarrouter/briarrouter/crossing"
	"github.com/briarrouter/briarrouter/id"
	"github.com/briarrouter/briarrouter/unit"
)

// crossings is what the scheduler needs to decide when a job leaves the failure domain
// of this daemon.
type crossings struct {
	config crossing.Config
	// responses holds the mean sizes of the routes' responses.
	responses map[id.Route]*meanSize
	// replicaDomains holds the failure domains of the other replicas. Those of which
	// the sightings ended and have not been heard since are in unheard.
	replicaDomains map[id.Host]id.FailureDomain
	unheard        map[id.Host]bool
	// views and candidates are reused by each choice.
	views      []domainView
	candidates []candidate
}

// candidate is a target that may take a job.
type candidate struct {
	target *target
	// cost is its cost without that of the crossing.
	cost float64
	// view is the index of the view of its failure domain.
	view int
}

// domainView is the view of a failure domain while it is computed.
type domainView struct {
	crossing.View
	domain   id.FailureDomain
	bestCost float64
	// load and capacity are those of the sound targets. lastUsed is when any target
	// was last known to be sent a request.
	load, capacity float64
	lastUsed       time.Time
	price          float64
}

// SetCrossing sets what crossing a failure domain costs. The zero Config applies the
// policy's CrossDomainCost instead.
func (s *Scheduler) SetCrossing(c crossing.Config) { s.crossings.config = c }

// SetReplicaDomains sets the failure domains of the other replicas that this daemon
// hears of.
func (s *Scheduler) SetReplicaDomains(domains map[id.Host]id.FailureDomain) {
	s.crossings.replicaDomains = domains
	for host := range s.crossings.unheard {
		if _, ok := domains[host]; !ok {
			delete(s.crossings.unheard, host)
		}
	}
}

// RecordHeard records that the sightings of another replica are received, also if there
// are none of this service.
func (s *Scheduler) RecordHeard(from id.Host) { s.markHeard(from, true) }

// markHeard records whether the sightings of another replica are received.
func (s *Scheduler) markHeard(host id.Host, heard bool) {
	if s.crossings.unheard == nil {
		s.crossings.unheard = make(map[id.Host]bool)
	}
	if heard {
		delete(s.crossings.unheard, host)
		return
	}
	if _, ok := s.crossings.replicaDomains[host]; ok {
		s.crossings.unheard[host] = true
	}
}

// meanSize is the mean size of a route's responses; an exponential moving average.
type meanSize struct{ smoothed float64 }

func (m *meanSize) add(size unit.Bytes) {
	if m.smoothed == 0 {
		m.smoothed = float64(size)
		return
	}
	m.smoothed += sampleWeight * (float64(size) - m.smoothed)
}

// recordResponse records the size of a response of a route.
func (s *Scheduler) recordResponse(r id.Route, size unit.Bytes) {
	if !s.crossings.config.Enabled() || size <= 0 {
		return
	}
	m := s.crossings.responses[r]
	if m == nil {
		if s.crossings.responses == nil {
			s.crossings.responses = make(map[id.Route]*meanSize)
		}
		m = &meanSize{}
		s.crossings.responses[r] = m
	}
	m.add(size)
}

// responseSize returns the mean size of the responses of a route; zero before the first.
func (s *Scheduler) responseSize(r id.Route) unit.Bytes {
	if m := s.crossings.responses[r]; m != nil {
		return unit.Bytes(m.smoothed)
	}
	return 0
}

// lowestCostTargetAcross is lowestCostTarget with the price of the crossing added to the
// cost of the targets in other failure domains.
func (s *Scheduler) lowestCostTargetAcross(now time.Time, job Job, suspect bool) *target {
	s.viewDomains(now, job, suspect)
	s.priceDomains(now, job)
	var best *target
	bestCost, ties := 0.0, 0
	for _, c := range s.crossings.candidates {
		cost := c.cost + s.crossings.views[c.view].price
		switch {
		case best == nil || cost < bestCost:
			best, bestCost, ties = c.target, cost, 1
		case cost == bestCost:
			ties++
			if s.random.IntN(ties) == 0 {
				best = c.target
			}
		}
	}
	return best
}

// viewDomains sets the candidates for a job and the views of their failure domains. The
// first view is that of the own domain.
func (s *Scheduler) viewDomains(now time.Time, job Job, suspect bool) {
	x := &s.crossings
	x.candidates = x.candidates[:0]
	x.views = append(x.views[:0], domainView{domain: s.failureDomain})
	failureCost := s.failureCost(job)
	for _, t := range s.targets {
		capacity := s.targetCapacity(now, t)
		if !s.eligibleWith(now, t, job, suspect, capacity) || !s.mayTake(now, t, job, capacity) {
			continue
		}
		i := slices.IndexFunc(x.views, func(v domainView) bool { return v.domain == t.endpoint.FailureDomain })
		if i < 0 {
			i = len(x.views)
			x.views = append(x.views, domainView{domain: t.endpoint.FailureDomain})
		}
		x.candidates = append(x.candidates, candidate{t, s.cost(now, t, job), i})
		x.views[i].add(t, t.load(now), float64(capacity), t.failureProbability(now), failureCost)
	}
	for i := range x.views {
		v := &x.views[i]
		if v.Sound > 0 {
			v.Load = v.load / v.capacity
		}
		v.Old = now.Sub(v.lastUsed) >= remoteLoadTTL || s.isUnheard(v.domain)
	}
}

// add adds a target to the view.
func (v *domainView) add(t *target, load, capacity, failureProbability, failureCost float64) {
	wait := max(0, (load+1)/capacity-1)
	cost := wait + failureCost*max(crossing.SoundProbability, failureProbability)
	if v.Targets == 0 || cost < v.bestCost {
		v.bestCost, v.Wait, v.FailureProbability = cost, wait, failureProbability
	}
	v.Targets++
	if failureProbability <= crossing.SoundProbability {
		v.Sound++
		v.load += load
		v.capacity += capacity
	}
	if t.lastUsed.After(v.lastUsed) {
		v.lastUsed = t.lastUsed
	}
}

// isUnheard reports whether the sightings of a replica in a failure domain are missing.
func (s *Scheduler) isUnheard(domain id.FailureDomain) bool {
	for host := range s.crossings.unheard {
		if s.crossings.replicaDomains[host] == domain {
			return true
		}
	}
	return false
}

// priceDomains sets the prices of the viewed failure domains for a job.
func (s *Scheduler) priceDomains(now time.Time, job Job) {
	x := &s.crossings
	if len(x.views) == 1 {
		return
	}
	r := crossing.Request{
		Size: job.Size, Response: s.responseSize(job.Route.Name), Left: job.Deadline.Sub(now), Objective: job.Route.Objective,
		ServiceTime: s.MeanServiceTime(job.Route.Name), FailureCost: s.failureCost(job), Retry: s.failedInOwnDomain(job),
	}
	if r.Size >= 0 {
		r.Size += job.HeaderSize
	}
	draw := s.random.Float64()
	for i := range x.views[1:] {
		v := &x.views[i+1]
		v.price = x.config.Price(r, x.views[0].View, v.View, draw)
	}
}

// failureCost returns what a failure probability of 1 adds to the cost of a target for
// a job.
func (s *Scheduler) failureCost(job Job) float64 {
	if job.Route.Idempotent && len(job.Tried) == 0 && !job.Final {
		return s.policy.FailureCost * explorationFactor
	}
	return s.policy.FailureCost
}

// failedInOwnDomain reports whether an attempt of the job ran in the own failure domain.
func (s *Scheduler) failedInOwnDomain(job Job) bool {
	return slices.ContainsFunc(job.Tried, func(name id.Target) bool {
		t := s.byID[name]
		return t != nil && t.endpoint.FailureDomain == s.failureDomain
	})
}

// coverageLead is how much earlier than the others a replica covers the targets of its
// own failure domain. It leaves time for a few requests to arrive and for the sightings
// of them to reach the other replicas.
const coverageLead = 300 * time.Millisecond

// ownUncovered is the part of the targets without a request that the coverage allows up
// to which idempotent requests cover the own failure domain and those without a replica.
// In its own domain, one daemon knows the load of all targets at once and sends nothing
// by chance to a target of higher cost, as several daemons do.
const ownUncovered = 0.35

// lossWindow is the window within which the required share of targets must have
// received a request for the coverage to hold until a second after the loss of all
// daemons. Other requests see to it, except on targets in failure domains without a
// replica, if crossing costs.
const lossWindow = time.Second

// hasReplica reports whether a replica that this daemon hears of, or this daemon, is in
// the failure domain of a target.
func (s *Scheduler) hasReplica(t *target) bool {
	if t.endpoint.FailureDomain == s.failureDomain {
		return true
	}
	for _, d := range s.crossings.replicaDomains {
		if d == t.endpoint.FailureDomain {
			return true
		}
	}
	return false
}

// coverageDelay returns how long this daemon leaves a newcomer to the replicas of its
// failure domain.
func (s *Scheduler) coverageDelay(t *target) time.Duration {
	if !s.crossings.config.Enabled() || t.endpoint.FailureDomain == s.failureDomain || !s.hasReplica(t) {
		return 0
	}
	return coverageLead
}

// spreadTargetAcross is spreadTarget for a service whose targets are in several failure
// domains, if crossing costs. The targets of the own domain are due for a request
// coverageLead before spreadWindow ends, the others when it has ended, and those of a
// domain without a replica when lossWindow has ended.
func (s *Scheduler) spreadTargetAcross(now time.Time, job Job, suspect bool, c Coverage, required float64) *target {
	more := required
	if job.Route.Idempotent && required > 0 {
		more = c.Sound - ownUncovered*(c.Sound-required)
	}
	if min(c.soonCovered, c.lastCovered) >= more {
		return nil
	}
	var best *target
	bestHere := false
	for _, t := range s.targets {
		here := t.endpoint.FailureDomain == s.failureDomain
		covered, required, window := c.Covered, required, spreadWindow
		switch {
		case here:
			covered, required, window = c.soonCovered, more, spreadWindow-coverageLead
		case !s.hasReplica(t):
			covered, required, window = c.lastCovered, more, lossWindow
		}
		if covered >= required || now.Sub(t.lastUsed) < window || now.Sub(t.lastFailed) < failedWindow || !s.eligible(now, t, job, suspect) {
			continue
		}
		if best == nil || here && !bestHere || here == bestHere && t.failureProbability(now) < best.failureProbability(now) {
			best, bestHere = t, here
		}
	}
	return best
}
