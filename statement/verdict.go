package statement

import (
	"fmt"
	"time"

	"github.com/briarrouter/briarrouter/unit"
)

// Verdict tells whether a target may be sent a request.
type Verdict struct {
	// Leaving means that the target may be sent no request any more.
	Leaving bool
	// Wait is how long no request may be sent; zero if one may be sent now.
	Wait time.Duration
	// Limited means that a limit is in force, and Limit is it.
	Limited bool
	Limit   unit.PerSecond
	// Share is the part of the limit that this daemon may use.
	Share unit.PerSecond
	// Age is the time since the target was last known to say that it is leaving, or to
	// name the limit.
	Age time.Duration
}

// Allowed reports whether a request may be sent now.
func (v Verdict) Allowed() bool { return !v.Leaving && v.Wait == 0 }

// String describes for operators which statement keeps requests away.
func (v Verdict) String() string {
	switch {
	case v.Leaving:
		return fmt.Sprintf("the target said %s ago that it is leaving", v.Age.Round(time.Millisecond))
	case v.Limited:
		return fmt.Sprintf("the target named a limit of %.3g requests/s %s ago, of which this daemon sends %.3g; next request in %s",
			float64(v.Limit), v.Age.Round(time.Millisecond), float64(v.Share), v.Wait.Round(time.Millisecond))
	case v.Wait > 0:
		return fmt.Sprintf("the target wants no requests for %s", v.Wait.Round(time.Millisecond))
	default:
		return ""
	}
}

// Verdict returns what the statements of a process allow now.
func (t *Table) Verdict(now time.Time, p Process) Verdict {
	if t.count.Load() == 0 {
		return Verdict{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[p]
	switch {
	case r == nil:
		return Verdict{}
	case r.leaving(now):
		return Verdict{Leaving: true, Age: now.Sub(r.leavingSaidAt)}
	}
	v := Verdict{Wait: max(0, r.backoffUntil.Sub(now))}
	if r.limited(now) {
		v.Limited, v.Limit, v.Age = true, r.limit, now.Sub(r.limitNamedAt)
		next := r.nextSend
		var sender bool
		if v.Share, sender = t.senders.share(p, r.limit); !sender {
			next = r.limitNamedAt.Add(r.ttl)
		}
		v.Wait = max(v.Wait, next.Sub(now))
	}
	return v
}
