package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// The load of the case "drain": non-idempotent requests of the sheet posti-rsa
// (prenota-letto: work, rate, deadline) on a service of a few servers.
const (
	drainServers  = 6
	drainSlots    = 2
	drainPerS     = 48.5
	drainClients  = 120
	drainRounds   = 12
	drainDeadline = 2500 * time.Millisecond
	// drainCut is how long the store cuts the watches that wait.
	drainCut = 350 * time.Millisecond
	// drainLag is how long after that a server's entry is removed.
	drainLag   = 100 * time.Millisecond
	drainPause = 7 * time.Second
	// drainBound is drainMs, drainExtra the little longer that a server serves.
	drainBound = 2 * time.Second
	drainExtra = 500 * time.Millisecond
)

var reservation = work{mean: 140 * time.Millisecond, max: 1400 * time.Millisecond, spread: 0.8, tail: 0.03, tailFactor: 7}

// removal is a server whose entry was removed.
type removal struct {
	server string
	at     time.Time
}

func init() { cases["drain"] = spec{3, playDrain} }

// playDrain takes servers away, one after the other. They do not say that they leave;
// their entries are removed, and they serve on for a while. New ones take their place.
// Before each removal the store cuts the watches that wait.
func playDrain(p *play) (int, error) {
	n := 0
	add := func() (*server, error) {
		n++
		s := &server{id: fmt.Sprintf("i-%02d", n), service: "prenotazioni", zone: p.fleet.daemons[n%3].zone, slots: drainSlots, work: reservation}
		return s, p.add(s)
	}
	var servers []*server
	for range drainServers {
		s, err := add()
		if err != nil {
			return notRun, err
		}
		servers = append(servers, s)
	}
	p.publish(7, []route{{"r-prenota", "/prenota/", "non_idempotent", "prenotazioni", drainDeadline, 600 * time.Millisecond, 2}})
	if err := p.fleet.startAll(); err != nil {
		return notRun, err
	}
	l := &load{}
	for i := range drainClients {
		l.clients = append(l.clients, &client{fleet: p.fleet, zone: i % 3, holds: 1})
	}
	stop := make(chan struct{})
	var group sync.WaitGroup
	group.Add(1)
	go func() {
		defer group.Done()
		l.run(stop, drainPerS, func() request {
			return request{method: "POST", path: fmt.Sprintf("/prenota/%x", rand.IntN(1<<16)), deadline: drainDeadline, body: 4000}
		})
	}()
	time.Sleep(10 * time.Second)
	var removals []removal
	for range drainRounds {
		s, err := add()
		if err != nil {
			return notRun, err
		}
		servers = append(servers, s)
		time.Sleep(2*time.Second + time.Duration(rand.Int64N(int64(time.Second))))
		if p.trouble {
			p.store.cut(drainCut)
			p.note("the store cuts waiting watches for %s", drainCut)
		}
		time.Sleep(drainCut + drainLag)
		old := servers[0]
		servers = servers[1:]
		at := p.store.remove("servers/" + old.id)
		removals = append(removals, removal{old.id, at})
		p.note("the entry of %s is removed; the store has cut %d watches", old.id, p.store.cuts)
		time.AfterFunc(drainBound+drainExtra, old.crash)
		time.Sleep(drainPause - 3*time.Second)
	}
	close(stop)
	group.Wait()
	l.group.Wait()
	return p.judgeDrain(l.results, removals), nil
}

// judgeDrain counts the requests that reach a server later than drainBound after the
// store has acknowledged that it is gone.
func (p *play) judgeDrain(results []result, removals []removal) int {
	p.describe(results)
	byID := p.arrivals()
	served, late, rounds := 0, 0, make(map[string]bool)
	for _, r := range results {
		if r.signed {
			served++
		}
		for _, a := range byID[r.id] {
			for _, gone := range removals {
				if after := a.arrived.Sub(gone.at); gone.server == a.server && after > drainBound {
					late++
					rounds[gone.server] = true
					p.say("DRAIN: %s, sent to %s %.3f s after the entry of %s was removed, reached it %.3f s after that; status %d %q",
						r.id, r.daemon, r.sent.Sub(gone.at).Seconds(), a.server, after.Seconds(), r.status, errorText(r))
				}
			}
		}
	}
	p.say("%d requests, %d served; %d servers taken away, %d of them reached later than %s after that, by %d requests", len(results), served, len(removals), len(rounds), drainBound, late)
	if served < len(results)/2 {
		p.say("less than half was served: the case is not valid")
		return notRun
	}
	if late > 0 {
		return broken
	}
	return held
}
