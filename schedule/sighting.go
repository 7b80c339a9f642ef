package schedule

import (
	"time"

	"github.com/briarrouter/briarrouter/id"
	"github.com/briarrouter/briarrouter/suspicion"
)

// Sighting is what one daemon saw of one target since it last told.
type Sighting struct {
	Service id.Service
	Target  id.Target
	// Incarnation is that of the target's entry.
	Incarnation uint64
	// Evidence is what the last requests showed, the last one at the end; at most
	// maxEvidence.
	Evidence []suspicion.Evidence
	// Running is how many requests of the daemon the target has.
	Running int
	// Whole tells that Sick and Age stand for all that the daemon knows, for one
	// that begins to follow it.
	Whole bool
	Sick  float64
	Age   time.Duration
}

// maxEvidence bounds the evidence that is told at once: a few outcomes decide.
const maxEvidence = 8

// company is what another daemon runs on a target.
type company struct {
	running int
	at      time.Time
}

// companyFade is how long the number of requests that another daemon told of is
// believed. A daemon tells within some tens of milliseconds of each change, so
// an older number is that of a daemon that is gone, or of a long request.
const companyFade = 2 * time.Second

// told is what is to be told of a target.
type told struct {
	// dirty tells that there is something to tell.
	dirty    bool
	evidence []suspicion.Evidence
}

// saw notes what a request of this daemon showed, for the others.
func (t *target) saw(e suspicion.Evidence) {
	if len(t.told.evidence) == maxEvidence {
		t.told.evidence = append(t.told.evidence[:0], t.told.evidence[1:]...)
	}
	t.told.evidence = append(t.told.evidence, e)
}

// observe takes what a request showed that ended now.
func (t *target) observe(now time.Time, e suspicion.Evidence) {
	t.belief.Observe(now, e)
	if e != suspicion.Success && e != suspicion.Declined {
		t.failed = now
	}
}

// Sightings returns what this daemon saw since the last call.
func (s *Scheduler) Sightings() []Sighting {
	var list []Sighting
	for _, t := range s.targets {
		if !t.told.dirty {
			continue
		}
		list = append(list, Sighting{
			Service: s.policy.Name, Target: t.endpoint.ID, Incarnation: t.endpoint.Incarnation,
			Evidence: t.told.evidence, Running: t.running,
		})
		t.told = told{}
	}
	return list
}

// Everything returns what this daemon believes of its targets.
func (s *Scheduler) Everything(now time.Time) []Sighting {
	var list []Sighting
	for _, t := range s.targets {
		age, known := t.belief.Age(now)
		if !known {
			continue
		}
		list = append(list, Sighting{
			Service: s.policy.Name, Target: t.endpoint.ID, Incarnation: t.endpoint.Incarnation,
			Running: t.running, Whole: true, Sick: t.belief.Last(), Age: age,
		})
	}
	return list
}

// Learn takes what another daemon saw of the service's targets.
func (s *Scheduler) Learn(now time.Time, from id.Host, list []Sighting) {
	for _, g := range list {
		for _, t := range s.targets {
			if t.endpoint.ID == g.Target && t.endpoint.Incarnation == g.Incarnation {
				t.learn(now, from, g)
			}
		}
	}
}

func (t *target) learn(now time.Time, from id.Host, g Sighting) {
	if t.company == nil {
		t.company = make(map[id.Host]company)
	}
	t.company[from] = company{running: g.Running, at: now}
	if g.Whole {
		at := now.Add(-g.Age)
		t.belief.Adopt(at, g.Sick)
		if at.After(t.used) {
			t.used = at
		}
		return
	}
	t.used = now
	for _, e := range g.Evidence[:min(len(g.Evidence), maxEvidence)] {
		if e.Valid() {
			t.observe(now, e)
		}
	}
}

// Forget drops what is known of the requests of a daemon that is gone.
func (s *Scheduler) Forget(from id.Host) {
	for _, t := range s.targets {
		delete(t.company, from)
	}
}
