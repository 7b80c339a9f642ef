package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// The load of the case "gone": uploads of the sheet posti-rsa (invio-fascicolo: work,
// objective, deadline) on a service of two servers that is busy all the time.
const (
	goneServers   = 2
	goneSlots     = 2
	gonePerS      = 30.0
	goneClients   = 120
	goneBody      = 2 << 20
	goneDeadline  = 2500 * time.Millisecond
	goneObjective = 600 * time.Millisecond
	// goneShare of the clients leave at half of the objective, for goneFor at a time.
	goneShare  = 0.2
	goneFor    = 5500 * time.Millisecond
	gonePauses = 4500 * time.Millisecond
	goneTimes  = 4
	// goneLate is that of the rule, and goneFew what it calls a few.
	goneLate = 500 * time.Millisecond
	goneFew  = 5
)

var upload = work{mean: 160 * time.Millisecond, max: 1700 * time.Millisecond, spread: 0.5, tail: 0.03, tailFactor: 7}

func init() { cases["gone"] = spec{3, playGone} }

// playGone sends uploads that wait for a server, and lets some clients leave meanwhile.
func playGone(p *play) (int, error) {
	for i := range goneServers {
		s := &server{id: fmt.Sprintf("i-%02d", i), service: "fascicoli", zone: p.fleet.daemons[i%3].zone, slots: goneSlots, work: upload}
		if err := p.add(s); err != nil {
			return notRun, err
		}
	}
	p.publish(7, []route{{"r-invio", "/invio/", "upload", "fascicoli", goneDeadline, goneObjective, 2}})
	if err := p.fleet.startAll(); err != nil {
		return notRun, err
	}
	l := &load{}
	for i := range goneClients {
		l.clients = append(l.clients, &client{fleet: p.fleet, zone: i % 3, holds: 1})
	}
	var mu sync.Mutex
	leaving := false
	stop := make(chan struct{})
	var group sync.WaitGroup
	group.Add(1)
	go func() {
		defer group.Done()
		l.run(stop, gonePerS, func() request {
			q := request{method: "POST", path: fmt.Sprintf("/invio/%x", rand.IntN(1<<16)), deadline: goneDeadline, body: goneBody}
			mu.Lock()
			defer mu.Unlock()
			if leaving && rand.Float64() < goneShare {
				q.leave = goneObjective / 2
			}
			return q
		})
	}()
	time.Sleep(10 * time.Second)
	for range goneTimes {
		mu.Lock()
		leaving = p.trouble
		mu.Unlock()
		p.note("a fifth of the clients leave: %v", p.trouble)
		time.Sleep(goneFor)
		mu.Lock()
		leaving = false
		mu.Unlock()
		time.Sleep(gonePauses)
	}
	close(stop)
	group.Wait()
	l.group.Wait()
	return p.judgeGone(l.results), nil
}

// judgeGone counts the requests that reach a server later than goneLate after their
// client has reset its connection.
func (p *play) judgeGone(results []result) int {
	p.describe(results)
	byID := p.arrivals()
	left, late, served, begun := 0, 0, 0, 0
	for _, r := range results {
		if r.signed {
			served++
		}
		if r.left.IsZero() {
			continue
		}
		left++
		for _, a := range byID[r.id] {
			if after := a.arrived.Sub(r.left); after > goneLate {
				late++
				if !a.begun.IsZero() {
					begun++
				}
				p.note("GONE: %s reached %s %.3f s after its client had left", r.id, a.server, after.Seconds())
			}
		}
	}
	p.say("%d requests, %d served; %d clients left, the requests of %d of them reached a server later than %s after that, %d ran; the rule allows a few, here %d",
		len(results), served, left, late, goneLate, begun, goneFew)
	if late > goneFew {
		return broken
	}
	return held
}
