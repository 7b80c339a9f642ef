package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sort"
	"sync"
	"time"
)

// The load of the case "crash": idempotent requests of the sheet posti-rsa
// (stato-struttura: work, rate, deadline) on its service fascicoli.
const (
	crashServers  = 8
	crashSlots    = 2
	crashPerS     = 14.3
	crashClients  = 40
	crashPaths    = 4
	crashPause    = 4 * time.Second
	crashTimes    = 14
	crashDownTime = 3 * time.Second
	// crashBeats is how long the entry of a crashed server stays: three heartbeats.
	crashBeats    = 4500 * time.Millisecond
	crashDeadline = 800 * time.Millisecond
	// settleWindow and maxCrashRetries are those of the rule.
	settleWindow    = 3 * time.Second
	maxCrashRetries = 3
	// crashCaller is the address of the client whose request crashes servers. The
	// servers know it by a header field, as they do not see the client's address.
	crashCaller = "127.0.0.99"
	crashField  = "X-Session"
)

var status = work{mean: 54 * time.Millisecond, max: 580 * time.Millisecond, spread: 0.3, tail: 0.03, tailFactor: 7}

func init() { cases["crash"] = spec{3, playCrash} }

// playCrash sends one request that crashes each server that begins to run it again and
// again, among the requests of other clients for the same path.
func playCrash(p *play) (int, error) {
	var mu sync.Mutex
	starts := crashServers
	var onCrash func(s *server)
	add := func(address string, zone int) error {
		mu.Lock()
		starts++
		name := fmt.Sprintf("i-%03d", starts)
		mu.Unlock()
		return p.add(&server{
			id: name, service: "fascicoli", zone: p.fleet.daemons[zone%3].zone, address: address, slots: crashSlots, work: status, onCrash: onCrash,
			crashes: func(r *http.Request) bool { return p.trouble && r.Header.Get(crashField) == crashCaller },
		})
	}
	onCrash = func(s *server) {
		p.note("%s crashes", s.id)
		s.crash()
		time.AfterFunc(crashDownTime, func() {
			if err := add(s.address, len(s.id)); err != nil {
				p.note("restart at %s: %v", s.address, err)
			}
		})
		time.AfterFunc(crashBeats, func() { p.store.remove("servers/" + s.id) })
	}
	for i := range crashServers {
		if err := add("", i); err != nil {
			return notRun, err
		}
	}
	p.publish(7, []route{{"r-stato", "/stato/", "idempotent", "fascicoli", crashDeadline, 200 * time.Millisecond, 2}})
	if err := p.fleet.startAll(); err != nil {
		return notRun, err
	}
	l := &load{}
	for i := range crashClients {
		l.clients = append(l.clients, &client{fleet: p.fleet, zone: i % 3, holds: 1})
	}
	// ALONE=1 keeps the other clients away from the path of the crashing request.
	first := 0
	if os.Getenv("ALONE") == "1" {
		first = 1
	}
	stop := make(chan struct{})
	var group sync.WaitGroup
	group.Add(1)
	go func() {
		defer group.Done()
		l.run(stop, crashPerS, func() request {
			return request{method: "GET", path: fmt.Sprintf("/stato/%x", first+rand.IntN(crashPaths)), deadline: crashDeadline}
		})
	}()
	time.Sleep(10 * time.Second)
	crasher := &load{}
	c := &client{fleet: p.fleet, holds: 1, local: crashCaller}
	for range crashTimes {
		crasher.sendBy(c, request{method: "GET", path: "/stato/0", deadline: crashDeadline, header: crashField + ": " + crashCaller + "\r\n"})
		time.Sleep(crashPause)
	}
	close(stop)
	group.Wait()
	l.group.Wait()
	crasher.group.Wait()
	return p.judgeCrash(l.results, crasher.results), nil
}

// judgeCrash counts the repeats of the request that reach a server later than
// settleWindow after it has crashed the third one.
func (p *play) judgeCrash(others, crashing []result) int {
	p.note("requests of the other clients")
	p.describe(others)
	p.note("the request of %s", crashCaller)
	p.describe(crashing)
	byID := p.arrivals()
	var begun []time.Time
	for _, r := range crashing {
		for _, a := range byID[r.id] {
			if !a.begun.IsZero() {
				begun = append(begun, a.begun)
			}
		}
	}
	sort.Slice(begun, func(i, j int) bool { return begun[i].Before(begun[j]) })
	served, otherPaths := 0, 0
	for _, r := range others {
		if r.signed {
			served++
		}
		if r.path != "/stato/0" {
			otherPaths++
		}
	}
	repeats, arrivals := 0, 0
	if p.trouble && len(begun) >= 3 {
		end := begun[2].Add(settleWindow)
		for _, r := range crashing {
			reached := 0
			for _, a := range byID[r.id] {
				if !a.begun.IsZero() && a.begun.After(end) {
					reached++
				}
			}
			arrivals += reached
			if reached > 0 {
				repeats++
			}
		}
	}
	p.say("%d requests of other clients, %d for other paths, %d served; the request of %s was sent %d times and begun %d times",
		len(others), otherPaths, served, crashCaller, len(crashing), len(begun))
	p.say("later than %s after its third crash, %d of its repeats reached a server, and crashed %d; the rule allows %d", settleWindow, repeats, arrivals, maxCrashRetries)
	if served < len(others)/2 {
		p.say("less than half was served: the case is not valid")
		return notRun
	}
	if repeats > maxCrashRetries {
		return broken
	}
	return held
}
