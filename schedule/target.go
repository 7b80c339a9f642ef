package schedule

import (
	"time"

	"github.com/briarrouter/briarrouter/health"
	"github.com/briarrouter/briarrouter/id"
	"github.com/briarrouter/briarrouter/suspicion"
	"github.com/briarrouter/briarrouter/unit"
)

// Endpoint is a target as the platform lists it.
type Endpoint struct {
	ID            id.Target
	Address       id.Address
	FailureDomain id.FailureDomain
	// Leaving tells that the platform knows that the target goes away.
	Leaving bool
	// Incarnation tells two processes apart that are listed under one ID, one
	// after the other; zero where the platform does not tell.
	Incarnation uint64
	// Slots is how many requests the target runs at the same time; zero where
	// the policy's number holds.
	Slots unit.Slots
}

// Same tells whether two entries describe the same process.
func (e Endpoint) Same(f Endpoint) bool {
	return e.ID == f.ID && e.Address == f.Address && e.Incarnation == f.Incarnation
}

const (
	firstUnfit = 100 * time.Millisecond
	maxUnfit   = 2 * time.Second
	// limitRecovery is how many slots per second a target gains back after it
	// shed load.
	limitRecovery = 2.0
	// extraPause is how long a target that declined is given no request beyond
	// its slots.
	extraPause = 10 * time.Second
)

// target is one target as the scheduler sees it.
type target struct {
	endpoint Endpoint
	// running counts the requests granted and not finished; long and suspect
	// those of them that are long, or that may crash targets.
	running, long, suspect int
	// limit is how many requests the target showed that it takes; between 1
	// and the declared slots.
	limit float64
	// extraFrom is when the target may be given a request beyond its slots
	// again, after it declined one.
	extraFrom time.Time
	// leaving is set by the first sign of leaving. lastSign is the last one.
	leaving  bool
	lastSign time.Time
	// unfitUntil is when the next request may be tried after a failed
	// connection, unfitFor the length of that wait; zero after a success.
	unfitUntil time.Time
	unfitFor   time.Duration
	// warmSince is when the target was first seen.
	warmSince time.Time
	// belief is whether the target fails at this moment.
	belief suspicion.Estimate
	// overdue is when a request was last seen to run far longer than usual.
	overdue time.Time
	// others is how many requests of other daemons the target had at othersAt,
	// as it said itself.
	others   int
	othersAt time.Time
	// company is what other daemons told of their requests on the target.
	company map[id.Host]company
	told    told
	// used is when a request was last sent by this daemon or, as far as they
	// told, by others.
	used time.Time
	// failed is when a request was last seen to fail on the target rather than to
	// be declined, by this daemon or by others.
	failed time.Time
	// joined is when the target was first seen, if others were listed before it;
	// else zero.
	joined time.Time
}

const (
	// othersFade is how long what a target said of its load is of use.
	othersFade = 300 * time.Millisecond
	// overdueSick is the probability of being sick of a target with a request
	// that runs far longer than usual.
	overdueSick = 0.7
	// overdueFade is how long a request that was seen overdue counts.
	overdueFade = 100 * time.Millisecond
)

// load returns how many requests the target has, as far as it is known.
func (t *target) load(now time.Time) float64 {
	left := 1 - float64(now.Sub(t.othersAt))/float64(othersFade)
	company := 0
	for _, c := range t.company {
		if now.Sub(c.at) < companyFade {
			company += c.running
		}
	}
	return float64(t.running) + max(float64(company), float64(t.others)*max(0, left))
}

// sick returns the probability that the target fails now.
func (t *target) sick(now time.Time) float64 {
	p := t.belief.FailureProbability(now)
	if now.Sub(t.overdue) < overdueFade {
		return max(p, overdueSick)
	}
	return p
}

// capacity returns how many requests the target may run now.
func (t *target) capacity(now time.Time, slots unit.Slots, warmup time.Duration, state health.State) int {
	if t.leaving || now.Before(t.unfitUntil) || state == health.Ejected {
		return 0
	}
	if state == health.Trial {
		return 1
	}
	capacity := min(int(t.limit), int(slots))
	if age := now.Sub(t.warmSince); age < warmup {
		warm := 1 + int(float64(slots-1)*float64(age)/float64(warmup))
		capacity = min(capacity, warm)
	}
	return capacity
}

// leave records a sign of leaving.
func (t *target) leave(now time.Time) { t.leaving, t.lastSign = true, now }

// returnAfter is how long a target must give no sign of leaving before it is
// believed that it serves again. Health endpoints lag.
const returnAfter = 15 * time.Second

// serves records that the target's health endpoint gave no sign of leaving,
// and reports whether the target is back.
func (t *target) serves(now time.Time) bool {
	if !t.leaving || t.endpoint.Leaving || now.Sub(t.lastSign) < returnAfter {
		return false
	}
	t.leaving, t.warmSince = false, now
	return true
}

// unreachable keeps the target out for a time that doubles.
func (t *target) unreachable(now time.Time) {
	t.unfitFor = min(max(2*t.unfitFor, firstUnfit), maxUnfit)
	t.unfitUntil = now.Add(t.unfitFor)
}

// reached records that a connection worked.
func (t *target) reached() { t.unfitFor = 0 }

// shed lowers the limit to what the target was running when it declined.
func (t *target) shed(now time.Time) {
	t.limit = max(1, float64(t.running))
	t.extraFrom = now.Add(extraPause)
}

// recover raises the limit towards the declared slots.
func (t *target) recover(elapsed time.Duration, slots unit.Slots) {
	t.limit = min(float64(slots), t.limit+limitRecovery*elapsed.Seconds())
}
