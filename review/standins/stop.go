package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

// The load of the case "stop": non-idempotent requests of the sheet ppsol-gw
// (slip-upload: work, size, objective and deadline), spread over many routes.
const (
	stopRoutes   = 500
	stopServers  = 130
	stopSlots    = 4
	stopPerS     = 1090.0
	stopClients  = 400
	stopLongHold = 0.5
	stopLength   = 107 * time.Second
	stopTimeout  = 4 * time.Second
	stopDeadline = 5 * time.Second
)

var slipUpload = work{mean: 310 * time.Millisecond, max: 3300 * time.Millisecond, spread: 0.3, tail: 0.03, tailFactor: 7}

// stopped is one planned stop of a daemon.
type stopped struct {
	daemon string
	at     time.Time
}

func init() { cases["stop"] = spec{3, playStop} }

// playStop stops the daemons in turn, one at a time, each with its whole grace.
func playStop(p *play) (int, error) {
	for i := range stopServers {
		s := &server{id: fmt.Sprintf("i-%02d", i), service: "despacho", zone: p.fleet.daemons[i%3].zone, slots: stopSlots, work: slipUpload}
		if err := p.add(s); err != nil {
			return notRun, err
		}
	}
	var routes []route
	for i := range stopRoutes {
		routes = append(routes, route{fmt.Sprintf("r-%d", i), fmt.Sprintf("/slip%d/", i), "upload", "despacho", stopTimeout, 1500 * time.Millisecond, 2})
	}
	p.publish(7, routes)
	if err := p.fleet.startAll(); err != nil {
		return notRun, err
	}
	l := &load{}
	for i := range stopClients {
		c := &client{fleet: p.fleet, zone: i % 3, holds: 1}
		if float64(i) < stopLongHold*stopClients {
			c.holds = 3
		}
		l.clients = append(l.clients, c)
	}
	stop := make(chan struct{})
	var group sync.WaitGroup
	group.Add(1)
	go func() {
		defer group.Done()
		l.run(stop, stopPerS, func() request {
			return request{method: "POST", path: fmt.Sprintf("/slip%d/%x", rand.IntN(stopRoutes), rand.IntN(1<<16)), deadline: stopDeadline, body: 60000}
		})
	}()
	end := p.started.Add(stopLength)
	time.Sleep(10 * time.Second)
	var stops []stopped
	for i := 0; p.trouble && time.Until(end) > 8*time.Second; i++ {
		d := p.fleet.daemons[i%3]
		stops = append(stops, stopped{d.name, time.Now()})
		p.note("SIGTERM to %s", d.name)
		d.signal(syscall.SIGTERM)
		if d.awaitEnd(grace) {
			p.note("%s killed at the end of its grace", d.name)
		}
		if err := p.fleet.start(d); err != nil {
			return notRun, err
		}
		if !d.awaitReady(10 * time.Second) {
			return notRun, fmt.Errorf("%s is not ready again", d.name)
		}
		time.Sleep(500 * time.Millisecond)
	}
	time.Sleep(time.Until(end))
	close(stop)
	group.Wait()
	l.group.Wait()
	return p.judgeStop(l.results, stops), nil
}

// judgeStop counts the requests that LOST names: sent to a daemon later than 3 s after
// its SIGTERM, begun by a server, and ended by the daemon without that server's answer
// while the server was at work, before the route's timeout and the client's deadline.
func (p *play) judgeStop(results []result, stops []stopped) int {
	p.describe(results)
	byID := p.arrivals()
	lost, late, served := 0, 0, 0
	for _, r := range results {
		if r.signed {
			served++
		}
		since, ok := sinceStop(r, stops)
		if p.trouble && (!ok || since <= 3*time.Second) {
			continue
		}
		if ok {
			late++
		}
		for _, a := range byID[r.id] {
			if a.begun.IsZero() || r.signed || !a.left || r.ended.Sub(r.begun) >= stopTimeout-100*time.Millisecond {
				continue
			}
			lost++
			p.say("LOST: %s, sent to %s %.3f s after its SIGTERM, begun by %s after %.3f s, ended with status %d %q %.3f s after it was sent",
				r.id, r.daemon, since.Seconds(), a.server, a.begun.Sub(r.begun).Seconds(), r.status, errorText(r), r.ended.Sub(r.begun).Seconds())
		}
	}
	p.say("%d requests, %d served, %d stops, %d sent later than 3 s after a SIGTERM and read by that daemon, %d of them lost", len(results), served, len(stops), late, lost)
	if served < len(results)/2 {
		p.say("less than half was served: the case is not valid")
		return notRun
	}
	if lost > 0 {
		return broken
	}
	return held
}

// sinceStop returns how long after the SIGTERM of its daemon a request was sent.
func sinceStop(r result, stops []stopped) (time.Duration, bool) {
	for _, s := range stops {
		if since := r.sent.Sub(s.at); s.daemon == r.daemon && since > 0 && since < grace {
			return since, true
		}
	}
	return 0, false
}
