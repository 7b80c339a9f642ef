package quota

import (
	"time"
)

const (
	// evenShare is the part of the unsettled grants that the replicas divide evenly. They
	// divide the rest by the demand that each has. For a small limit it is larger, so that
	// each replica may have minUnsettled.
	evenShare    = 0.3
	minUnsettled = 2
	// silenceTime is how long a replica may be silent, or leave publications unacknowledged,
	// until the others take it for silent. The streams have a heartbeat of 300 ms.
	silenceTime = 700 * time.Millisecond
	// unjoinedShare is the part of the total that all new replicas together may grant before
	// they know what the others granted. The pace leaves about this part unused.
	unjoinedShare = 0.14
	// joinTime is how long a new replica grants no more than that unless all others tell
	// what they granted. After that its part grows for a Window.
	joinTime = 2 * time.Second
	// partTime is how long a new replica of a part of the fleet does the same. A daemon
	// becomes one at least 2 s after the cut, when the others' probes have failed; the grants
	// from before that have left the Window after this.
	partTime = 4 * time.Second
	// weightTime is how long a weight is used before it is computed again.
	weightTime = 20 * time.Millisecond
)

// alone reports whether this daemon should have peers but knows none.
func (l *Ledger) alone() bool { return l.fleet.Known <= 1 && l.cfg.HasPeers }

// paceShare returns the part of the rate that this daemon's group of replicas has.
func (l *Ledger) paceShare() float64 {
	if !l.heard && l.fleet.Known > 1 && len(l.fleet.Others) > 0 {
		return min(l.share, aloneShare)
	}
	return l.share
}

// updateShare computes the part of the total that this daemon's group of replicas has.
func (l *Ledger) updateShare() {
	switch {
	case l.alone() || l.fleet.Known == 0:
		l.share = aloneShare
	default:
		l.share = min(1, margin*float64(l.fleet.Reachable)/float64(l.fleet.Known))
	}
}

// withinBound reports whether one more grant keeps the grants of all daemons in the last
// Window within the total, whatever the other replicas granted without this daemon having
// heard of it.
func (l *Ledger) withinBound(now time.Time, b *bucket) bool {
	current := slotOf(now)
	total := groupShare * Total(b.limit) * l.share
	own := b.window.sum(current, lastSlot)
	if !l.joined(now) {
		if own+1 <= l.whole(l.unjoinedPart()*Total(b.limit), b) {
			return true
		}
		total *= max(0, min(1, (now.Sub(l.beganAt)-joinTime).Seconds()/Window.Seconds()))
	}
	known, settled := own, own-float64(b.unsettled)
	for _, u := range b.peers {
		if !u.peer.required {
			continue
		}
		n := u.window.sum(current, lastSlot)
		known += n
		if l.quietFrom != lastSlot {
			n = u.window.sum(current, l.quietFrom)
		}
		settled += n
	}
	if known+1 > total {
		return false
	}
	l.weigh(now, b)
	b.room = b.weight * (total - settled)
	return float64(b.unsettled)+1 <= b.room
}

// unjoinedPart is the part of the total that this daemon may grant before it knows what
// the other replicas granted.
func (l *Ledger) unjoinedPart() float64 {
	if l.fleet.Known <= 1 && l.cfg.HasPeers {
		return unjoinedShare / assumedReplicas
	}
	return unjoinedShare * l.share / float64(l.replicas())
}

// assumedReplicas is the number of replicas that a daemon without a view of the fleet
// assumes, which is more than most fleets have.
const assumedReplicas = 10

// replicas returns the number of replicas, this daemon included.
func (l *Ledger) replicas() int {
	n := 1
	for _, p := range l.peers {
		if p.required {
			n++
		}
	}
	return n
}

// weigh computes this daemon's part of the unsettled grants.
func (l *Ledger) weigh(now time.Time, b *bucket) {
	if now.Sub(b.weighedAt) < weightTime {
		return
	}
	b.weighedAt = now
	replicas := l.replicas()
	own := min(b.demand.current(l.demandClock), b.maxDemand())
	all, confirmed := own, l.confirmed()
	for _, u := range b.peers {
		if u.peer.required {
			u.promote(confirmed, l.demandClock, b.maxDemand())
			all += min(u.demand.current(l.demandClock), b.maxDemand())
		}
	}
	n := float64(replicas)
	even := min(1, max(evenShare, minUnsettled*n/(groupShare*Total(b.limit))))
	b.weight = even/n + (1-even)*(own+priorDemand)/(all+n*priorDemand)
}

// priorDemand is added to the demand of each replica, so that replicas with next to no
// demand divide the grants evenly.
const priorDemand = 0.5
