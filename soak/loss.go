package soak

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/briarrouter/briarrouter/id"
	"github.com/briarrouter/briarrouter/platform/platformtest"
)

const (
	// Lost: while nothing but planned work happens, no request that a daemon passed on,
	// or whose last byte was sent more than lossSlack before its connection ended, ends
	// without a complete response; and after SIGTERM, until afterGrace after stopGrace, no
	// request that a target has begun gets a status of the daemon's own. The excuses are
	// those of lossChecker.excuse.
	Lost Promise = "Lost"

	lossSlack  = 200 * time.Millisecond
	afterGrace = time.Second
	// A request that was sent no later than takenTime after SIGTERM may be cut if its
	// target is still at work workBound after it.
	takenTime = 3 * time.Second
	workBound = stopGrace - stopGrace/6
)

// execution is the work of a target on a request.
type execution struct {
	target id.Target
	// ended is zero while the target is at work.
	began, ended time.Time
}

// LossCounts counts the requests that ended without a response of their target.
type LossCounts struct {
	// OwnStatus counts those lost with a status of the daemon's own, PassedOn those
	// lost with their connection after a daemon had passed them on, and Unread other
	// ones lost with their connection.
	OwnStatus, PassedOn, Unread int
	// WaitingAtCut counts those that no target had begun when a daemon gave its own
	// answer in the last sixth of the grace.
	WaitingAtCut int
	// Excused counts those that are not lost, by excuse.
	Excused map[string]int
}

// lossChecker checks Lost. It is part of a checker and used with its mutex held.
type lossChecker struct {
	counts LossCounts
	// gone holds when targets ended.
	gone map[id.Target]time.Time
	// logf receives a line for each excused request.
	logf func(format string, args ...any)
}

func newLossChecker(logf func(string, ...any)) *lossChecker {
	return &lossChecker{logf: logf, gone: make(map[id.Target]time.Time), counts: LossCounts{Excused: make(map[string]int)}}
}

// targetGone handles the end of a target that has left.
func (c *checker) targetGone(t id.Target) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.losses != nil {
		c.losses.gone[t] = time.Now()
	}
}

// requestFinished handles the end of a target's work on a request.
func (c *checker) requestFinished(r platformtest.Run) {
	c.mu.Lock()
	defer c.mu.Unlock()
	request := c.requests[r.Request]
	if request == nil {
		return
	}
	for i := range request.executions {
		if e := &request.executions[i]; e.target == r.Target && e.ended.IsZero() {
			e.ended = time.Now()
			return
		}
	}
}

// checkLost checks Lost for a request that has ended. The caller must hold c.mu.
func (c *checker) checkLost(call platformtest.Call, response platformtest.Response, written time.Time, err error) {
	r, now := c.requests[call.Request], time.Now()
	stop := r.process.stopTime()
	leaving := !stop.IsZero() && now.Before(stop.Add(stopGrace+afterGrace))
	counts := &c.losses.counts
	var counter *int
	switch {
	case err == nil && response.Signature != "":
		return
	case err == nil && len(r.executions) == 0:
		if r.arrived && leaving && now.After(stop.Add(workBound)) {
			counts.WaitingAtCut++
		}
		return
	case err == nil && !leaving:
		return
	case err == nil:
		counter = &counts.OwnStatus
	case r.arrived:
		counter = &counts.PassedOn
	case written.IsZero() || now.Sub(written) <= lossSlack:
		return
	default:
		counter = &counts.Unread
	}
	excuse := c.losses.excuse(call, r, now, stop)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		excuse = callerGaveUp
	}
	if excuse != "" {
		counts.Excused[excuse]++
		c.losses.logf("excused, %s: %s", excuse, r.describe(call, response, written, err, now, stop))
		return
	}
	*counter++
	c.recordViolationLocked(Lost, "%s", r.describe(call, response, written, err, now, stop))
}

// callerGaveUp is the excuse for a request whose deadline was reached, and for those that
// its caller had sent behind it.
const callerGaveUp = "deadline reached"

// excuse returns why a request that ended without a response is not lost; it is empty if
// the request is lost.
func (l *lossChecker) excuse(call platformtest.Call, r *requestRecord, now, stop time.Time) string {
	took := now.Sub(r.sent)
	switch {
	case took >= call.Timeout:
		return callerGaveUp
	case took >= findKind(call.Path).timeout-timeoutStep:
		return "timeout of the route reached"
	case r.behind && !r.arrived:
		return "not passed on behind another request"
	}
	for _, e := range r.executions {
		if at, ok := l.gone[e.target]; ok && !at.After(now) && (e.ended.IsZero() || !e.ended.Before(at)) {
			return "target broke off"
		}
		if !stop.IsZero() && !r.sent.After(stop.Add(takenTime)) && (e.ended.IsZero() || !e.ended.Before(stop.Add(workBound))) && now.After(stop.Add(workBound)) {
			return "target at work in the last sixth of the grace"
		}
	}
	return ""
}

// describe returns the line of a lost request. Its times are relative to the SIGTERM of
// the daemon, or to the sending of the request if there was none.
func (r *requestRecord) describe(call platformtest.Call, response platformtest.Response, written time.Time, err error, now, stop time.Time) string {
	origin, name := stop, "SIGTERM of "+string(r.process.daemon.name)
	if stop.IsZero() {
		origin, name = r.sent, "its sending to "+string(r.process.daemon.name)
	}
	after := func(t time.Time) string { return fmt.Sprintf("%.2f s", t.Sub(origin).Seconds()) }
	var b strings.Builder
	fmt.Fprintf(&b, "request %s (%s, idempotent %t, %d bytes) sent %s, ", call.Request, findKind(call.Path).route, call.Idempotent, len(call.Body), after(r.sent))
	if written.IsZero() {
		b.WriteString("not sent whole")
	} else {
		fmt.Fprintf(&b, "sent whole %s", after(written))
	}
	fmt.Fprintf(&b, ", ended %s after %s: ", after(now), name)
	if err != nil {
		fmt.Fprintf(&b, "%v", err)
	} else {
		fmt.Fprintf(&b, "status %d of the daemon's own", response.Status)
	}
	if len(r.executions) == 0 {
		fmt.Fprintf(&b, "; no target began it; reached a target: %t", r.arrived)
	}
	for _, e := range r.executions {
		fmt.Fprintf(&b, "; target %s began it %s", e.target, after(e.began))
		if e.ended.IsZero() {
			b.WriteString(" and was at work")
		} else {
			fmt.Fprintf(&b, " and ended %s", after(e.ended))
		}
	}
	return b.String()
}
