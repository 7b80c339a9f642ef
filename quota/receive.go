package quota

import (
	"math"
	"time"

	"github.com/briarrouter/briarrouter/id"
)

// Receive applies a message of a peer.
func (l *Ledger) Receive(now time.Time, from id.Host, m Message) {
	l.advance(now)
	p := l.peers[from]
	if p == nil || m.Incarnation == 0 {
		return
	}
	// While a peer was out of contact and not waited for, its group refilled at a part of
	// the rate of its own. A peer that was unknown granted from a credit that it knew.
	separate := now.Sub(p.heardAt) > lostTime && !p.required || p.incarnation == 0 && m.Seasoned
	if p.incarnation != m.Incarnation {
		p.incarnation, p.received, p.acked, p.full = m.Incarnation, 0, 0, false
		p.behindSince = now
	}
	p.heardAt = now
	p.received = max(p.received, m.Sequence)
	l.receiveAcknowledgement(now, p, m.Acknowledged)
	adopt := m.Full && m.Seasoned && !l.seasoned
	if adopt {
		l.adoptCredit()
	}
	l.heard = true
	if len(m.Usages) > 0 {
		l.acknowledge, l.urgent = true, l.urgent || m.Urgent
	}
	for _, u := range m.Usages {
		b, granted := l.receiveUsage(now, p, u, m)
		switch {
		case adopt || b.limit.IsUnlimited() && l.seasoned && m.Seasoned:
			b.credit, b.refilled, b.unknown = float64(u.Credit), l.refillClock, false
		case !separate:
			b.debit(granted)
		}
	}
	p.full = p.full || m.Full
	l.updateSettled()
	l.updateSilence(now)
}

func (l *Ledger) receiveAcknowledgement(now time.Time, p *peer, sequence uint64) {
	if sequence > p.acked {
		p.acked, p.behindSince = sequence, now
	}
	if p.acked >= l.sequence {
		p.behindSince = time.Time{}
	}
}

// adoptCredit takes the credit of all accounts for full, before those that the peer lists
// are set to its view.
func (l *Ledger) adoptCredit() {
	l.seasoned = true
	for _, b := range l.buckets {
		b.credit, b.refilled, b.unknown = math.Inf(1), l.refillClock, false
	}
}

// receiveUsage counts what a peer granted to an account since its last message.
func (l *Ledger) receiveUsage(now time.Time, p *peer, u Usage, m Message) (*bucket, int64) {
	b := l.buckets[u.Account]
	if b == nil {
		b = l.newBucket(u.Account)
	}
	known := b.usageOf(p)
	unknown := known == nil
	if unknown {
		known = &peerUsage{peer: p, demand: demand{at: l.demandClock}}
		b.peers = append(b.peers, known)
	}
	if known.incarnation != m.Incarnation || known.epoch != u.Epoch {
		known.incarnation, known.epoch, known.granted, known.offered = m.Incarnation, u.Epoch, 0, 0
		unknown = true
	}
	granted, offered := int64(u.Granted-known.granted), int64(u.Offered-known.offered)
	known.granted, known.offered, known.heard = u.Granted, u.Offered, now
	if unknown && m.Full {
		granted, offered = min(granted, int64(u.Recent)), min(offered, int64(u.Recent))
		known.window.spread(slotOf(now), granted)
	} else {
		known.window.add(slotOf(now), granted)
	}
	if former := int64(min(u.Former, maxCount)); former > b.former {
		b.window.spread(slotOf(now), former-b.former)
		b.former = former
	}
	known.promote(l.confirmed(), l.demandClock, b.maxDemand())
	if known.waiting == 0 {
		known.waitingAt = now
	}
	known.waiting += offered
	return b, granted
}
