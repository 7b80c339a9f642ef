package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// The load of the case "memory": searches of the sheet posti-rsa (ricerca-posti) on one
// service, and uploads (invio-fascicolo) on another one.
const (
	memoryDaemons  = 2
	memoryServers  = 12
	memorySlots    = 2
	memoryUploads  = 90.0
	memorySearches = 80.0
	memoryClients  = 160
	// memoryBody is larger than what a daemon holds of a body.
	memoryBody = 1280 << 10
	// memoryLimit is memoryMb of the site posti-rsa.
	memoryLimit = 284 << 20
	// memoryShed of the uploads are turned away for memoryFor at a time.
	memoryShed   = 0.55
	memoryFor    = 8500 * time.Millisecond
	memoryPause  = 1500 * time.Millisecond
	memoryTimes  = 9
	memoryAllows = 3
)

var search = work{mean: 180 * time.Millisecond, max: 1900 * time.Millisecond, spread: 0.8, tail: 0.03, tailFactor: 7}

// killed is the end of a process over its memory.
type killed struct {
	daemon string
	at     time.Time
}

func init() { cases["memory"] = spec{memoryDaemons, playMemory} }

// playMemory lets the servers of the uploads turn requests away, and kills a daemon that
// exceeds its memory, as the platform does.
func playMemory(p *play) (int, error) {
	var shedding atomic.Bool
	for i := range memoryServers {
		zone := p.fleet.daemons[i%memoryDaemons].zone
		uploads := &server{
			id: fmt.Sprintf("i-u%02d", i), service: "fascicoli", zone: zone, slots: memorySlots, work: upload,
			sheds: func() bool { return shedding.Load() && rand.Float64() < memoryShed },
		}
		searches := &server{id: fmt.Sprintf("i-s%02d", i), service: "cerca", zone: zone, slots: memorySlots, work: search}
		for _, s := range []*server{uploads, searches} {
			if err := p.add(s); err != nil {
				return notRun, err
			}
		}
	}
	p.publish(7, []route{
		{"r-invio", "/invio/", "upload", "fascicoli", 1200 * time.Millisecond, 600 * time.Millisecond, 2},
		{"r-ricerca", "/ricerca/", "idempotent", "cerca", 2 * time.Second, 600 * time.Millisecond, 2},
	})
	if err := p.fleet.startAll(); err != nil {
		return notRun, err
	}
	searches, uploads := &load{}, &load{}
	for i := range memoryClients {
		searches.clients = append(searches.clients, &client{fleet: p.fleet, zone: i % memoryDaemons, holds: 1})
		uploads.clients = append(uploads.clients, &client{fleet: p.fleet, zone: i % memoryDaemons, holds: 1})
	}
	stop := make(chan struct{})
	var group sync.WaitGroup
	group.Add(3)
	go func() {
		defer group.Done()
		searches.run(stop, memorySearches, func() request {
			return request{method: "GET", path: fmt.Sprintf("/ricerca/%x", rand.IntN(256)), deadline: 2 * time.Second}
		})
	}()
	go func() {
		defer group.Done()
		uploads.run(stop, memoryUploads, func() request {
			return request{method: "POST", path: fmt.Sprintf("/invio/%x", rand.IntN(1<<16)), deadline: 2500 * time.Millisecond, body: memoryBody}
		})
	}()
	var kills []killed
	go func() {
		defer group.Done()
		kills = p.watchMemory(stop)
	}()
	time.Sleep(10 * time.Second)
	for range memoryTimes {
		shedding.Store(p.trouble)
		time.Sleep(memoryFor)
		shedding.Store(false)
		time.Sleep(memoryPause)
	}
	close(stop)
	group.Wait()
	searches.group.Wait()
	uploads.group.Wait()
	var ends sync.WaitGroup
	for _, d := range p.fleet.daemons {
		ends.Add(1)
		go func() {
			defer ends.Done()
			begun := time.Now()
			d.signal(syscall.SIGTERM)
			if d.awaitEnd(grace) {
				p.say("%s had not ended %s after its SIGTERM, in calm, and was killed", d.name, grace)
				return
			}
			p.say("%s ended %.1f s after its SIGTERM", d.name, time.Since(begun).Seconds())
		}()
	}
	ends.Wait()
	return p.judgeMemory(searches.results, uploads.results, kills), nil
}

// watchMemory kills a daemon whose memory exceeds its limit and starts it again.
func (p *play) watchMemory(stop chan struct{}) []killed {
	var kills []killed
	for i := 0; ; i++ {
		select {
		case <-stop:
			return kills
		case <-time.After(100 * time.Millisecond):
		}
		for _, d := range p.fleet.daemons {
			used := d.memory()
			if i%20 == 0 {
				p.note("memory of %s: %d MB", d.name, used>>20)
			}
			if used <= memoryLimit {
				continue
			}
			kills = append(kills, killed{d.name, time.Now()})
			p.say("%s has %d MB, more than its %d MB, and is killed", d.name, used>>20, memoryLimit>>20)
			d.signal(syscall.SIGKILL)
			d.awaitEnd(time.Second)
			if err := p.fleet.start(d); err != nil {
				p.say("restart of %s: %v", d.name, err)
			}
		}
	}
}

// judgeMemory counts the searches that were sent on a kept connection, were at work at a
// sound server, and got no answer when their daemon ended over its memory.
func (p *play) judgeMemory(searches, uploads []result, kills []killed) int {
	p.note("uploads")
	p.describe(uploads)
	p.note("searches")
	p.describe(searches)
	byID := p.arrivals()
	refused := 0
	for _, r := range uploads {
		if !r.signed {
			refused++
		}
	}
	lost, served := 0, 0
	for _, r := range searches {
		if r.signed {
			served++
		}
		for _, k := range kills {
			if k.daemon != r.daemon || !r.kept || r.err == nil || r.begun.After(k.at) || r.ended.Before(k.at) || r.ended.Sub(k.at) > time.Second {
				continue
			}
			for _, a := range byID[r.id] {
				if !a.begun.IsZero() {
					lost++
					p.note("LOST: %s, begun by %s %.3f s before %s was killed: %v", r.id, a.server, k.at.Sub(a.begun).Seconds(), k.daemon, r.err)
				}
			}
		}
	}
	p.say("%d uploads, %d not served; %d searches, %d served; %d processes ended over their memory, %d searches lost by that; the rule allows %d",
		len(uploads), refused, len(searches), served, len(kills), lost, memoryAllows)
	if served < len(searches)/2 {
		p.say("less than half was served: the case is not valid")
		return notRun
	}
	if lost > memoryAllows {
		return broken
	}
	return held
}
