package schedule

import (
	"iter"
	"time"

	"github.com/briarrouter/briarrouter/health"
	"github.com/briarrouter/briarrouter/id"
	"github.com/briarrouter/briarrouter/statement"
	"github.com/briarrouter/briarrouter/suspicion"
	"github.com/briarrouter/briarrouter/unit"
)

// Endpoint is a target as the platform lists it.
type Endpoint struct {
	ID            id.Target
	Address       id.Address
	FailureDomain id.FailureDomain
	// Leaving means that the platform lists the target as leaving.
	Leaving bool
	// Incarnation distinguishes processes that are listed one after the other
	// under the same ID; zero if the platform does not report it.
	Incarnation uint64
	// Slots is the number of requests that the target runs concurrently; zero
	// means the policy's number.
	Slots unit.Slots
}

// Process identifies the process in the statements of targets.
func (e Endpoint) Process() statement.Process {
	return statement.Process{Target: e.ID, Address: e.Address, Incarnation: e.Incarnation}
}

// SameProcess reports whether two entries describe the same process.
func (e Endpoint) SameProcess(f Endpoint) bool {
	return e.ID == f.ID && e.Address == f.Address && e.Incarnation == f.Incarnation
}

// TargetChange is a change of the targets that a platform lists for a service.
type TargetChange struct {
	// Full means that Listed is the whole list: targets that it lacks are gone.
	Full bool
	// Listed holds the targets that were added or changed, each at most once.
	Listed []Endpoint
	// Gone holds targets that are no longer listed. It may name unknown targets.
	Gone []id.Target
}

// Unlisted returns those of the known targets that a whole list lacks.
func (c TargetChange) Unlisted(known iter.Seq[id.Target]) []id.Target {
	listed := make(map[id.Target]bool, len(c.Listed))
	for _, e := range c.Listed {
		listed[e.ID] = true
	}
	var gone []id.Target
	for name := range known {
		if !listed[name] {
			gone = append(gone, name)
		}
	}
	return gone
}

const (
	minDialBackoff = 100 * time.Millisecond
	maxDialBackoff = 2 * time.Second
	// limitRecoveryRate is the number of slots per second that a target regains
	// after it shed load.
	limitRecoveryRate = 2.0
	// overcommitPause is how long a target that declined a request gets none
	// beyond its slots.
	overcommitPause = 10 * time.Second
)

// target is the scheduler's state of one target.
type target struct {
	endpoint Endpoint
	// running counts the requests granted and not finished; long and suspect count
	// those of them on long routes and those that may crash targets.
	running, long, suspect int
	// bytes is the total size of their bodies.
	bytes unit.Bytes
	// limit is the number of concurrent requests that the target is expected to
	// accept, between 1 and its slots. It falls when the target declines a request,
	// and rises at limitRecoveryRate by a fraction of a slot in each tick. The target
	// may be given more requests than the limit, see full.
	limit float64
	// rising tells that the target is in Scheduler.rising.
	rising bool
	// overcommitAfter is when the target may again be given a request beyond its
	// slots, after it declined a request.
	overcommitAfter time.Time
	// leaving is set by the first sign of leaving; lastLeavingSign is the time of
	// the last one.
	leaving         bool
	lastLeavingSign time.Time
	// backoffUntil is when the next request may be sent after a failed connection.
	// backoff is the length of that wait; zero once a connection worked.
	backoffUntil time.Time
	backoff      time.Duration
	warmupStart  time.Time
	estimate     suspicion.Estimate
	// lastOverdue is when a request was last found overdue.
	lastOverdue time.Time
	// reportedLoad is the number of other daemons' requests on the target by its
	// own report at reportedAt.
	reportedLoad int
	reportedAt   time.Time
	// remoteLoads holds the load that other daemons reported in their sightings.
	remoteLoads map[id.Host]remoteLoad
	unsent      unsentSighting
	// lastUsed is when a request was last known to be sent to the target, by this
	// daemon or another.
	lastUsed time.Time
	// lastFailed is when a request last failed on the target, by this daemon's or
	// another's observation. A declined request does not count.
	lastFailed time.Time
	// joinedAt is when the target was first listed; zero for targets of the
	// initial list.
	joinedAt time.Time
}

const (
	// reportedLoadTTL is the time over which the weight of a reported load falls
	// linearly to zero.
	reportedLoadTTL = 300 * time.Millisecond
	// overdueProbability is the least failure probability of a target with an
	// overdue request.
	overdueProbability = 0.7
	// overdueTTL is how long an overdue request counts after a tick last found it
	// overdue.
	overdueTTL = 100 * time.Millisecond
)

// load returns the number of requests on the target, including those of other
// daemons as far as they are known. Their sightings and the target's own report
// count the same requests, so the larger number is used.
func (t *target) load(now time.Time) float64 {
	weight := 1 - float64(now.Sub(t.reportedAt))/float64(reportedLoadTTL)
	remote := 0
	for _, c := range t.remoteLoads {
		if now.Sub(c.at) < remoteLoadTTL {
			remote += c.running
		}
	}
	return float64(t.running) + max(float64(remote), float64(t.reportedLoad)*max(0, weight))
}

// failureProbability returns the probability that the target is failing now.
func (t *target) failureProbability(now time.Time) float64 {
	p := t.estimate.FailureProbability(now)
	if now.Sub(t.lastOverdue) < overdueTTL {
		return max(p, overdueProbability)
	}
	return p
}

// soundProbability returns the probability that the target is sound: that no request
// failed on it within failedWindow, and that it is healthy now.
func (t *target) soundProbability(now time.Time) float64 {
	if now.Sub(t.lastFailed) < failedWindow {
		return 0
	}
	return 1 - t.failureProbability(now)
}

// capacity returns how many requests the target can run concurrently now.
func (t *target) capacity(now time.Time, slots unit.Slots, warmup time.Duration, state health.State) int {
	if t.leaving || now.Before(t.backoffUntil) || state == health.Ejected {
		return 0
	}
	if state == health.Trial {
		return 1
	}
	capacity := min(int(t.limit), int(slots))
	if age := now.Sub(t.warmupStart); age < warmup {
		warm := 1 + int(float64(slots-1)*float64(age)/float64(warmup))
		capacity = min(capacity, warm)
	}
	return capacity
}

// markLeaving records a sign that the target is leaving.
func (t *target) markLeaving(now time.Time) { t.leaving, t.lastLeavingSign = true, now }

// servingDelay is how long a target must show no sign of leaving before it
// counts as serving again, because health endpoints lag.
const servingDelay = 15 * time.Second

// startBackoff excludes the target after a failed connection; each consecutive
// failure doubles the time.
func (t *target) startBackoff(now time.Time) {
	t.backoff = min(max(2*t.backoff, minDialBackoff), maxDialBackoff)
	t.backoffUntil = now.Add(t.backoff)
}

// resetBackoff records that a connection worked.
func (t *target) resetBackoff() { t.backoff = 0 }

// lowerLimit sets the limit, after the target declined a request, to the number of
// this daemon's other requests on it; at least 1.
func (t *target) lowerLimit(now time.Time) {
	t.limit = max(1, float64(t.running))
	t.overcommitAfter = now.Add(overcommitPause)
}

// raiseLimit raises the limit towards the declared slots, and reports whether it has
// reached them.
func (t *target) raiseLimit(elapsed time.Duration, slots unit.Slots) bool {
	t.limit = min(float64(slots), t.limit+limitRecoveryRate*elapsed.Seconds())
	return t.limit == float64(slots)
}
