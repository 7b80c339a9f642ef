package quota

import (
	"cmp"
	"slices"
	"time"

	"github.com/briarrouter/briarrouter/id"
)

// A former replica that is not in contact is waited for until lostTime after it ceased to be
// one and for a Window after contact was lost. It may be cut off and takes some time itself
// to see that; and what it granted until then must have left the Window before the others
// use more than their parts.
const lostTime = 2 * time.Second

// peer is another daemon that is or lately was a replica.
type peer struct {
	host        id.Host
	incarnation id.Incarnation
	// required tells that the peer's acknowledgement is waited for.
	required bool
	// leftAt is when the peer ceased to be a replica; zero while it is one.
	leftAt time.Time
	// heardAt is when its last message arrived, and received what that covers.
	heardAt  time.Time
	received uint64
	// full tells that a full message of the incarnation was received.
	full bool
	// acked is the last publication of this daemon that the peer has received, and
	// behindSince since when it lacks one; zero if it lacks none.
	acked       uint64
	behindSince time.Time
}

// contact returns when the peer was last known to receive this daemon's publications and to
// be received.
func (p *peer) contact() time.Time {
	if !p.behindSince.IsZero() && p.behindSince.Before(p.heardAt) {
		return p.behindSince
	}
	return p.heardAt
}

func (p *peer) silent(now time.Time) bool { return now.Sub(p.contact()) > silenceTime }

// isRequired reports whether a former replica is still waited for.
func (p *peer) isRequired(now time.Time) bool {
	gone := now.Sub(p.leftAt)
	return gone < lostTime || gone < formerTime && (!p.silent(now) || now.Sub(p.contact()) < Window+silenceTime)
}

// SetFleet applies a changed view of the fleet.
func (l *Ledger) SetFleet(now time.Time, f Fleet) {
	l.advance(now)
	switch {
	case f.Serving && !l.participates(now):
		l.begin(now)
	case !f.Serving && l.fleet.Serving:
		l.servedAt = now
	}
	l.fleet = f
	for _, host := range f.Others {
		p := l.peers[host]
		if p == nil {
			p = &peer{host: host, heardAt: now}
			l.peers[host] = p
		}
		p.required, p.leftAt = true, time.Time{}
	}
	for host, p := range l.peers {
		if p.leftAt.IsZero() && !slices.Contains(f.Others, host) {
			p.leftAt = now
		}
	}
	l.Tick(now)
}

// begin forgets what was counted while this daemon was no replica.
func (l *Ledger) begin(now time.Time) {
	clear(l.buckets)
	clear(l.peers)
	l.changed = nil
	l.beganAt, l.beganClock = now, l.refillClock
	l.heard, l.seasoned = false, false
}

// Peers returns the daemons whose usage this daemon needs.
func (l *Ledger) Peers() []id.Host {
	var hosts []id.Host
	if l.participates(l.at) {
		for host, p := range l.peers {
			if p.required {
				hosts = append(hosts, host)
			}
		}
	}
	slices.Sort(hosts)
	return hosts
}

// Tick applies the passing of time. It is to be called a few times a second.
func (l *Ledger) Tick(now time.Time) {
	l.advance(now)
	l.updateShare()
	if !l.seasoned && l.fleet.Serving && !l.beganAt.IsZero() && now.Sub(l.beganAt) >= seasonTime {
		l.seasoned = true
	}
	for host, p := range l.peers {
		if p.leftAt.IsZero() {
			continue
		}
		p.required = p.isRequired(now)
		if now.Sub(p.leftAt) >= formerTime+Window {
			delete(l.peers, host)
		}
	}
	l.updateSettled()
	l.updateSilence(now)
	if now.Sub(l.sweptAt) >= sweepInterval {
		l.sweptAt = now
		l.sweep(now)
	}
}

// updateSettled computes which publications all replicas have acknowledged.
func (l *Ledger) updateSettled() {
	l.settled = l.sequence + 1
	for _, p := range l.peers {
		if p.required {
			l.settled = min(l.settled, p.acked)
		}
	}
}

// confirmed returns up to when all replicas are known to have heard of each other.
func (l *Ledger) confirmed() time.Time {
	at := l.at
	for _, p := range l.peers {
		if contact := p.contact(); p.required && contact.Before(at) {
			at = contact
		}
	}
	return at
}

// updateSilence notes since when a replica is silent. Until that ends, the grants since then
// count as unsettled, for which the weights must not change.
func (l *Ledger) updateSilence(now time.Time) {
	silent := false
	for _, p := range l.peers {
		silent = silent || p.required && p.silent(now)
	}
	switch {
	case !silent:
		l.quietFrom = lastSlot
	case l.quietFrom == lastSlot:
		l.quietFrom = slotOf(now.Add(-silenceTime))
	}
}

// joined reports whether all replicas told what they granted. Until then, they may use the
// whole total without this daemon's knowledge; in a part of the fleet, replicas that it has
// never heard of may do so until partTime after it began. Whether the others know of this
// daemon is not waited for: after a loss of all daemons that took 2 s and more, in which
// accounts below their limits were refused.
func (l *Ledger) joined(now time.Time) bool {
	if l.share < 1 && now.Sub(l.beganAt) < partTime {
		return false
	}
	if len(l.peers) == 0 {
		return l.fleet.Known <= 1 && !l.cfg.HasPeers
	}
	for _, p := range l.peers {
		if p.leftAt.IsZero() && !p.full {
			return false
		}
	}
	return true
}

const (
	sweepInterval = time.Second
	// refusalPause is the time without a refusal after which an account has ceased to be
	// refused.
	refusalPause = time.Second
	// forgetSlots is how long a peer's counts are kept after its last grant. A daemon that
	// grants nothing for a Window begins a new epoch.
	forgetSlots = slot(windowSlots) + slot(3*time.Second/slotDuration)
)

// sweep drops the accounts that are unused and full.
func (l *Ledger) sweep(now time.Time) {
	current := slotOf(now)
	for hash, b := range l.buckets {
		b.settle(current, l.settled, l.demandClock)
		if b.refusing && now.Sub(b.lastRefused) >= refusalPause {
			b.refusing = false
			l.announce(b)
		}
		b.peers = slices.DeleteFunc(b.peers, func(u *peerUsage) bool {
			return u.window.idleSince(current-forgetSlots) && now.Sub(u.heard) > formerTime
		})
		if b.changed || len(b.pending) > 0 || len(b.peers) > 0 || b.refusing || !b.window.idleSince(current-slot(windowSlots)) {
			continue
		}
		if !b.limit.IsUnlimited() {
			b.refill(l.refillClock, l.share)
		}
		if b.limit.IsUnlimited() || b.credit >= capacity(b.limit, l.share) {
			delete(l.buckets, hash)
		}
	}
}

const (
	// publishInterval is the least time between two publications, and urgentInterval that
	// for accounts close to their limits, for each replica: with more of them, each has a
	// smaller part of the requests and more messages to send.
	publishInterval   = 100 * time.Millisecond
	urgentInterval    = 10 * time.Millisecond
	minUrgentInterval = 30 * time.Millisecond
)

// due reports whether there is something to publish, and whether soon.
func (l *Ledger) due() (due, urgent bool) { return len(l.changed) > 0 || l.acknowledge, l.urgent }

// PublishAt returns when the next publication is due, and false if there is none.
func (l *Ledger) PublishAt() (time.Time, bool) {
	if due, _ := l.due(); !due {
		return time.Time{}, false
	}
	interval := publishInterval
	if l.urgent {
		interval = min(interval, max(minUrgentInterval, urgentInterval*time.Duration(len(l.peers)+1)))
	}
	return l.publishedAt.Add(interval), true
}

// Publish begins a publication. It returns the counts that changed since the last one, and
// whether the others are to acknowledge them soon.
func (l *Ledger) Publish(now time.Time) (list []Usage, urgent bool) {
	l.advance(now)
	urgent = l.urgent
	l.urgent, l.acknowledge, l.publishedAt = false, false, now
	if len(l.changed) == 0 {
		return nil, urgent
	}
	l.sequence++
	for _, b := range l.changed {
		b.changed = false
		list = append(list, b.usage())
	}
	l.changed = l.changed[:0]
	for _, p := range l.peers {
		if p.required && p.behindSince.IsZero() {
			p.behindSince = now
		}
	}
	l.updateSettled()
	return list, urgent
}

func (b *bucket) usage() Usage {
	return Usage{Account: b.hash, Epoch: b.epoch, Granted: b.granted, Offered: b.offered, Credit: float32(b.credit)}
}

// Full returns the counts of all accounts, as of the last publication or later. The
// accounts that only others use are there for their credit.
func (l *Ledger) Full(now time.Time, to Receiver) []Usage {
	l.advance(now)
	var list []Usage
	current := slotOf(now)
	p := l.peers[to.Host]
	for _, b := range l.buckets {
		u := b.usage()
		u.Recent = uint32(b.window.sum(current, lastSlot))
		if known := b.usageOf(p); known != nil && known.incarnation != to.Incarnation {
			u.Former = uint32(known.window.sum(current, lastSlot))
		}
		list = append(list, u)
	}
	slices.SortFunc(list, func(a, b Usage) int { return cmp.Compare(a.Account, b.Account) })
	return list
}

// Header returns a message without usages.
func (l *Ledger) Header(to Receiver) Message {
	m := Message{Incarnation: l.cfg.Incarnation, Sequence: l.sequence, Seasoned: l.seasoned}
	if p := l.peers[to.Host]; p != nil && p.incarnation == to.Incarnation {
		m.Acknowledged = p.received
	}
	return m
}
