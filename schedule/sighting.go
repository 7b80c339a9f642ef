package schedule

import (
	"time"

	"github.com/briarrouter/briarrouter/id"
)

// Sighting is what one daemon saw of one target since it last told.
type Sighting struct {
	Service id.Service
	Target  id.Target
	// Incarnation is that of the target's entry.
	Incarnation uint64
	// Failures and Successes count the requests that ended, and LastFailed tells
	// how the last of them did.
	Failures, Successes int
	LastFailed          bool
	// Running is how many requests of the daemon the target has.
	Running int
}

// company is what another daemon runs on a target.
type company struct {
	running int
	at      time.Time
}

// companyFade is how long the number of requests that another daemon told of is
// believed. A daemon tells within some tens of milliseconds of each change, so
// an older number is that of a daemon that is gone, or of a long request.
const companyFade = 2 * time.Second

// told counts what is to be told of a target.
type told struct {
	// dirty tells that there is something to tell.
	dirty               bool
	failures, successes int
	lastFailed          bool
}

// saw notes an outcome of this daemon for the others.
func (t *target) saw(failed bool) {
	t.told.dirty, t.told.lastFailed = true, failed
	if failed {
		t.told.failures++
	} else {
		t.told.successes++
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
			Failures: t.told.failures, Successes: t.told.successes, LastFailed: t.told.lastFailed, Running: t.running,
		})
		t.told = told{}
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
	first, last, firstFailed := g.Successes, g.Failures, false
	if !g.LastFailed {
		first, last, firstFailed = g.Failures, g.Successes, true
	}
	for range min(first, maxLearned) {
		t.belief.Observe(now, firstFailed)
	}
	for range min(last, maxLearned) {
		t.belief.Observe(now, g.LastFailed)
	}
}

// maxLearned bounds the outcomes that are taken from one message: a few decide.
const maxLearned = 5

// forget drops what is known of the requests of a daemon that is gone.
func (s *Scheduler) Forget(from id.Host) {
	for _, t := range s.targets {
		delete(t.company, from)
	}
}
