package quota

import (
	"math"
	"time"

	"github.com/briarrouter/briarrouter/account"
	"github.com/briarrouter/briarrouter/id"
)

// startBurst is the part of the burst that an account has if this daemon began too lately
// to know its credit.
const startBurst = 0.5

// assumeCredit adds what an account of unknown credit may use at once.
func (b *bucket) assumeCredit() {
	if b.unknown {
		b.unknown = false
		b.credit += 1 + startBurst*b.limit.Burst
	}
}

// demandTime is the time in which the demand that a daemon had loses most of its weight.
const demandTime = 0.7

// pendingGrants are grants of one publication that some replica has not acknowledged.
type pendingGrants struct {
	sequence         uint64
	granted, offered int64
	slot             slot
}

// demand is an average of the requests offered, in which older ones weigh less.
type demand struct {
	value float64
	// at is the time of the demand clock to which value refers.
	at float64
}

// add adds requests, up to a bound. Without the bound, a flood on one replica would keep
// its weight long after the callers have gone to another one.
func (d *demand) add(clock float64, n int64, bound float64) {
	d.value = min(d.current(clock)+float64(max(n, 0)), bound)
	d.at = clock
}

func (d *demand) current(clock float64) float64 {
	return d.value * math.Exp((d.at-clock)/demandTime)
}

// peerUsage is what another replica granted to an account.
type peerUsage struct {
	peer *peer
	// incarnation and epoch tell what granted and offered refer to.
	incarnation      id.Incarnation
	epoch            uint32
	granted, offered uint64
	window           window
	demand           demand
	// waiting is what was offered since waitingAt and is not in demand yet.
	waiting   int64
	waitingAt time.Time
	// heard is when the peer last reported usage.
	heard time.Time
}

// bucket is the state of one account. An account that only other replicas use has no
// name and no limit.
type bucket struct {
	name  id.Caller
	hash  Hash
	limit account.Limit
	// credit is what the account may use, at the time refilled of the refill clock. It is
	// infinite where the account is known to be unused.
	credit, refilled float64
	// unknown tells that credit starts at zero because this daemon began too lately to know
	// it, until assumeCredit.
	unknown bool

	epoch            uint32
	granted, offered uint64
	// window counts the own grants, also the former ones: those of an earlier process of
	// this daemon that a peer told of. unsettled counts those in pending.
	window    window
	former    int64
	pending   []pendingGrants
	unsettled int64
	demand    demand
	peers     []*peerUsage

	// weight is the part of this daemon in the unsettled grants of all replicas, as of
	// weighedAt, and room how many it may have.
	weight, room float64
	weighedAt    time.Time
	// changed tells that the counts changed since the last publication.
	changed bool

	refused     int64
	refusing    bool
	lastRefused time.Time
	// nextRetry is the earliest time for the next refused request.
	nextRetry time.Time
}

// capacity returns the largest credit of an account for a group of daemons with a share.
func capacity(l account.Limit, share float64) float64 {
	return max(1, (paceBurst*l.Burst+windowBurst*inWindow(l)+paceSlack)*share)
}

// floor returns the lowest credit: as much as the replicas may grant in a Window beyond the
// limit. Without it, one daemon with wrong counts would block an account for long.
func floor(l account.Limit) float64 {
	return float64(l.Rate)*Window.Seconds() + l.Burst - groupShare*Total(l)
}

func (b *bucket) refill(clock, share float64) {
	b.credit = min(b.credit+paceRate*float64(b.limit.Rate)*(clock-b.refilled), capacity(b.limit, share))
	b.refilled = clock
}

// debit takes the grants of another replica from the credit.
func (b *bucket) debit(n int64) {
	b.credit -= float64(n)
	if !b.limit.IsUnlimited() {
		b.credit = max(b.credit, floor(b.limit))
	}
}

// settle removes the grants that all replicas have acknowledged, and those that are older
// than a Window. The former count for this daemon's demand.
func (b *bucket) settle(now slot, settled uint64, clock float64) {
	n := 0
	for ; n < len(b.pending); n++ {
		p := &b.pending[n]
		if p.sequence > settled {
			if now-p.slot < slot(windowSlots) {
				break
			}
		} else {
			b.demand.add(clock, p.offered, b.maxDemand())
		}
		b.unsettled -= p.granted
	}
	if n > 0 {
		b.pending = b.pending[:copy(b.pending, b.pending[n:])]
	}
}

// record adds a request to those of the next publication.
func (b *bucket) record(now slot, sequence uint64, granted int64, merge bool) {
	b.offered++
	b.changed = true
	if granted > 0 {
		b.granted++
		b.window.add(now, 1)
		b.unsettled++
	}
	if last := len(b.pending) - 1; last >= 0 && (b.pending[last].sequence == sequence || merge && b.pending[last].slot == now) {
		p := &b.pending[last]
		p.sequence, p.slot = sequence, now
		p.granted += granted
		p.offered++
		return
	}
	b.pending = append(b.pending, pendingGrants{sequence: sequence, granted: granted, offered: 1, slot: now})
}

// giveBack reverses a grant.
func (b *bucket) giveBack(now slot) bool {
	if b.granted == 0 {
		return false
	}
	b.granted--
	b.credit++
	b.changed = true
	b.window.add(now, -1)
	for i := len(b.pending) - 1; i >= 0; i-- {
		if p := &b.pending[i]; p.granted > 0 {
			p.granted--
			b.unsettled--
			break
		}
	}
	return true
}

// finiteCredit returns the credit in a form that JSON has.
func (b *bucket) finiteCredit() float64 { return min(b.credit, math.MaxFloat64) }

// maxDemand bounds the demand of one replica. It is not known where only other replicas
// use the account.
func (b *bucket) maxDemand() float64 {
	if b.limit.IsUnlimited() {
		return math.Inf(1)
	}
	return demandTime*float64(b.limit.Rate) + b.limit.Burst
}

// promote adds to the demand what was offered until confirmed, up to which all replicas
// have heard of each other. This daemon's own demand is counted when all have acknowledged
// it, so that all compare the demand of about the same time also while one is silent.
func (u *peerUsage) promote(confirmed time.Time, clock, bound float64) {
	if u.waiting != 0 && !u.waitingAt.After(confirmed) {
		u.demand.add(clock, u.waiting, bound)
		u.waiting = 0
	}
}

// usageOf returns the usage of a peer, or nil.
func (b *bucket) usageOf(p *peer) *peerUsage {
	for _, u := range b.peers {
		if u.peer == p {
			return u
		}
	}
	return nil
}
