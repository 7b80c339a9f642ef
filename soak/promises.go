package soak

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/briarrouter/briarrouter/id"
	"github.com/briarrouter/briarrouter/platform/platformtest"
)

// Promise names what the system promises.
type Promise string

// The promises that are checked while the soak runs.
const (
	// OnlyAsked: targets run only what a caller sent.
	OnlyAsked Promise = "OnlyAsked"
	// AtMostOnce: unrepeatable work runs once at most.
	AtMostOnce Promise = "AtMostOnce"
	// NotRunIsTrue: a request that was refused as not run never runs.
	NotRunIsTrue Promise = "NotRunIsTrue"
	// OwnAnswer: an answer of success is complete and the caller's own.
	OwnAnswer Promise = "OwnAnswer"
	// LeavingGetsNothing: a target that leaves gets no work after the bound.
	LeavingGetsNothing Promise = "LeavingGetsNothing"
	// ConfigurationInForce: a configuration is in force everywhere after the
	// bound.
	ConfigurationInForce Promise = "ConfigurationInForce"
	// ConfigurationNeverBack: a daemon does not go back to an older one.
	ConfigurationNeverBack Promise = "ConfigurationNeverBack"
	// StopCutsNothing: a planned stop cuts no request, and ends in its time.
	StopCutsNothing Promise = "StopCutsNothing"
	// Served: once faults are over, callers are served again.
	Served Promise = "Served"
)

// Breach is a promise that was broken.
type Breach struct {
	Promise Promise
	// At is the time since the start.
	At   time.Duration
	What string
}

// String returns the breach as one line of a report.
func (b Breach) String() string {
	return fmt.Sprintf("%s at %.1f s: %s", b.Promise, b.At.Seconds(), b.What)
}

// asked is what is known of one request.
type asked struct {
	idempotent bool
	sent       time.Time
	// daemon is the run of a daemon that the request was sent to.
	daemon *daemonRun
	// runs counts the times that it began to run.
	runs int
	// refused tells that the caller was promised that it has not run.
	refused bool
}

// Counts is what became of the requests.
type Counts struct {
	Sent, Served, Refused, Failed, Cut int
}

// promises checks what callers and targets see.
type promises struct {
	started time.Time
	calm    *calm

	mu       sync.Mutex
	asked    map[id.Request]*asked
	breaches []Breach
	counts   Counts
	// calmSent counts what was sent in calm times, and calmServed what was served
	// of it.
	calmSent, calmServed int
	// moves holds since when each service has the moving route.
	moves []move
	// leaving holds since when targets leave.
	leaving map[id.Target]time.Time
}

// move is a configuration that gave the moving route to a service.
type move struct {
	service id.Service
	at      time.Time
}

func newPromises(now time.Time, c *calm) *promises {
	return &promises{started: now, calm: c, asked: make(map[id.Request]*asked), leaving: make(map[id.Target]time.Time)}
}

// maxBreaches bounds the list: the first ones show the cause.
const maxBreaches = 50

// broke notes a breach. The lock is held.
func (p *promises) broke(name Promise, format string, args ...any) {
	if len(p.breaches) < maxBreaches {
		p.breaches = append(p.breaches, Breach{name, time.Since(p.started), fmt.Sprintf(format, args...)})
	}
}

// note notes a breach that was found outside.
func (p *promises) note(name Promise, format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.broke(name, format, args...)
}

// sends notes a request before it is sent.
func (p *promises) sends(call platformtest.Call, to *daemonRun) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts.Sent++
	p.asked[call.Request] = &asked{idempotent: call.Idempotent, sent: time.Now(), daemon: to}
}

const (
	// inForce is within which a change of the store must be in force at daemons
	// that no fault touches, with a slack for a busy machine.
	inForce = 2*time.Second + 500*time.Millisecond
	// backSlack is how much later than a sign of a newer configuration a request
	// may still go the old way: it was on its way.
	backSlack = 250 * time.Millisecond
)

// began notes that a target runs a request.
func (p *promises) began(r platformtest.Run) {
	p.mu.Lock()
	defer p.mu.Unlock()
	a := p.asked[r.Request]
	if a == nil {
		p.broke(OnlyAsked, "target %s runs %s, which nobody sent", r.Target, r.Request)
		return
	}
	a.runs++
	if a.runs > 1 && !a.idempotent {
		p.broke(AtMostOnce, "request %s runs %d times, now on %s", r.Request, a.runs, r.Target)
	}
	if a.refused && !a.idempotent {
		p.broke(NotRunIsTrue, "request %s runs on %s after it was refused as not run", r.Request, r.Target)
	}
	if since, ok := p.leaving[r.Target]; ok && a.sent.After(since.Add(inForce)) && p.calm.since(since) {
		p.broke(LeavingGetsNothing, "request %s came to %s %.1f s after it began to leave", r.Request, r.Target, time.Since(since).Seconds())
	}
	if r.Path == movingPath {
		p.checkMove(a, r)
	}
}

// checkMove checks that a request on the moving route ran where the
// configuration wants it. The lock is held.
func (p *promises) checkMove(a *asked, r platformtest.Run) {
	version := 0
	for i, m := range p.moves {
		if m.service == r.Service {
			version = i + 1
		}
	}
	newest := p.moves[len(p.moves)-1]
	if version < len(p.moves) && a.sent.After(newest.at.Add(inForce)) && p.calm.since(newest.at) {
		p.broke(ConfigurationInForce, "request %s ran on %s %.1f s after its route moved to %s", r.Request, r.Service, a.sent.Sub(newest.at).Seconds(), newest.service)
	}
	d := a.daemon
	if version < d.seen && a.sent.After(d.seenAt.Add(backSlack)) {
		p.broke(ConfigurationNeverBack, "daemon %s ran %s by version %d after version %d", d.daemon.name, r.Request, version, d.seen)
	}
	if version > d.seen {
		d.seen, d.seenAt = version, time.Now()
	}
}

// ended notes what a caller got.
func (p *promises) ended(call platformtest.Call, reply platformtest.Reply, written bool, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	a := p.asked[call.Request]
	served := err == nil && reply.Status == 200
	if p.calm.since(a.sent.Add(-settle)) {
		p.calmSent++
		if served {
			p.calmServed++
		}
	}
	switch {
	case err != nil:
		p.counts.Cut++
		if written && a.runs > 0 && a.daemon.stoppedCalmly(p.calm) {
			p.broke(StopCutsNothing, "request %s ran, and daemon %s ended its connection in a planned stop: %v", call.Request, a.daemon.daemon.name, err)
		}
	case served:
		p.counts.Served++
		p.checkAnswer(call, reply, a)
	case reply.Promised():
		p.counts.Refused++
		a.refused = true
		if a.runs > 0 && !call.Idempotent {
			p.broke(NotRunIsTrue, "request %s was refused with %d and has run", call.Request, reply.Status)
		}
	default:
		p.counts.Failed++
	}
}

// checkAnswer checks an answer of success. The lock is held.
func (p *promises) checkAnswer(call platformtest.Call, reply platformtest.Reply, a *asked) {
	target, _, _ := strings.Cut(reply.Body, " ")
	want := platformtest.Answer(id.Target(target), call.Request, call.Path, call.Body)
	if reply.Body != want || reply.Signature != platformtest.Sign(want) || reply.Attempt != call.Request || a.runs == 0 {
		p.broke(OwnAnswer, "request %s got %q, signed %q, for %q, after %d runs", call.Request, reply.Body, reply.Signature, reply.Attempt, a.runs)
	}
}
