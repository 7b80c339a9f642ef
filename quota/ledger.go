package quota

import (
	"math"
	"time"

	"github.com/briarrouter/briarrouter/account"
	"github.com/briarrouter/briarrouter/id"
	"github.com/cespare/xxhash/v2"
)

// Config configures a Ledger.
type Config struct {
	Host        id.Host
	Incarnation id.Incarnation
	Start       time.Time
	// HasPeers tells that this daemon is one of several, whether or not it knows others.
	HasPeers bool
}

// Ledger decides on requests. It is not safe for concurrent use.
type Ledger struct {
	cfg   Config
	fleet Fleet
	// servedAt is when this daemon was last a replica, and beganAt when it became one.
	servedAt, beganAt time.Time
	// heard tells that a peer's message has been received, and seasoned that the credit
	// of accounts without a bucket is known to be full.
	heard, seasoned bool

	// at is the time up to which the clocks run. The refill clock counts the seconds of a
	// whole rate that this daemon's group of replicas has had; the demand clock stands
	// while a replica is silent.
	at          time.Time
	refillClock float64
	beganClock  float64
	demandClock float64
	share       float64
	quietFrom   slot
	sweptAt     time.Time
	buckets     map[Hash]*bucket
	// changed lists the accounts for the next publication. It is due if changed is not
	// empty or acknowledge is set, and soon if urgent is set.
	changed             []*bucket
	acknowledge, urgent bool
	publishedAt         time.Time
	epochs              uint32
	sequence            uint64
	settled             uint64
	peers               map[id.Host]*peer
	counts              Counts
	announcements       []Announcement
}

// Counts counts the decisions since the start.
type Counts struct {
	Granted, Refused, Returned int64
}

// Announcement tells that an account begins or ceases to be refused.
type Announcement struct {
	Account  id.Caller
	Refusing bool
	Credit   float64
	Limit    account.Limit
}

// NewLedger returns a ledger without accounts. Until the first view of the fleet, the
// daemon counts as a replica that has not heard from any other.
func NewLedger(cfg Config) *Ledger {
	return &Ledger{
		cfg: cfg, at: cfg.Start, beganAt: cfg.Start, share: aloneShare, quietFrom: lastSlot,
		buckets: make(map[Hash]*bucket), peers: make(map[id.Host]*peer),
	}
}

const (
	// formerTime is how long a daemon that is no replica any more takes part in the
	// exchange: callers keep its address for 6 s.
	formerTime = 8 * time.Second
	// seasonTime is how long after its start a replica takes an unused account's credit for
	// full.
	seasonTime = 2 * Window
)

// participates reports whether this daemon is one of those that share limits.
func (l *Ledger) participates(now time.Time) bool {
	return l.fleet.Serving || l.fleet.Known == 0 || !l.servedAt.IsZero() && now.Sub(l.servedAt) < formerTime
}

// advance moves the clocks to now.
func (l *Ledger) advance(now time.Time) {
	elapsed := now.Sub(l.at).Seconds()
	if elapsed <= 0 {
		return
	}
	l.at = now
	l.refillClock += elapsed * l.paceShare()
	if l.quietFrom == lastSlot {
		l.demandClock += elapsed
	}
}

// Take decides on a request of an account.
func (l *Ledger) Take(now time.Time, name id.Caller, limit account.Limit) Verdict {
	l.advance(now)
	hash := HashOf(name)
	if !l.participates(now) {
		return l.takeStray(now, l.bucket(hash, name), limit)
	}
	b := l.bucket(hash, name)
	if b.limit != limit {
		b.limit, b.nextRetry = limit, time.Time{}
	}
	b.assumeCredit()
	b.refill(l.refillClock, l.share)
	current := slotOf(now)
	b.settle(current, l.settled, l.demandClock)
	if b.epoch == 0 || b.window.idleSince(current-slot(windowSlots)) && !b.changed && len(b.pending) == 0 {
		l.epochs++
		b.epoch, b.granted, b.offered = l.epochs, 0, 0
	}
	granted := b.credit >= 1 && l.withinBound(now, b)
	l.record(now, b, granted)
	if !granted {
		return Verdict{RetryAfter: l.refuse(now, b)}
	}
	b.credit--
	if b.credit > b.limit.Burst/2 {
		// The refused requests that were given later times have not returned.
		b.nextRetry = time.Time{}
	}
	l.counts.Granted++
	l.checkUrgency(b)
	return Verdict{Granted: true}
}

// record counts a request for the next publication.
func (l *Ledger) record(now time.Time, b *bucket, granted bool) {
	if !b.changed {
		l.changed = append(l.changed, b)
	}
	n := int64(0)
	if granted {
		n = 1
	}
	b.record(slotOf(now), l.sequence+1, n, l.quietFrom != lastSlot)
}

// checkUrgency asks for a publication soon if the account is close to its limit, or if the
// grants that the other replicas have not acknowledged use much of this daemon's part.
func (l *Ledger) checkUrgency(b *bucket) {
	if b.credit < b.limit.Burst/4 || float64(b.unsettled) > b.room/4 {
		l.urgent = true
	}
}

// bucket returns the bucket of an account. A new one is full, unless this daemon began too
// lately to know that.
func (l *Ledger) bucket(hash Hash, name id.Caller) *bucket {
	b := l.buckets[hash]
	if b == nil {
		b = l.newBucket(hash)
	}
	if b.name == "" {
		b.name = name
	}
	return b
}

func (l *Ledger) newBucket(hash Hash) *bucket {
	b := &bucket{hash: hash, credit: math.Inf(1), refilled: l.refillClock, demand: demand{at: l.demandClock}}
	if !l.seasoned {
		b.credit, b.refilled, b.unknown = 0, l.beganClock, true
	}
	l.buckets[hash] = b
	return b
}

const (
	// maxRetryAfter bounds the times that refused requests are given. Callers wait for at
	// most a few seconds, so that later times would be reserved for nobody.
	maxRetryAfter = Window
	// minRetryAfter is about the time in which the other replicas acknowledge grants.
	minRetryAfter = 100 * time.Millisecond
)

// refuse counts a refusal and returns when the request may come again. Each gets a later
// time than the one before, by this daemon's part of the rate.
func (l *Ledger) refuse(now time.Time, b *bucket) time.Duration {
	l.counts.Refused++
	b.refused++
	b.lastRefused = now
	if !b.refusing {
		b.refusing = true
		l.announce(b)
	}
	l.weigh(now, b)
	rate := max(1e-3, float64(b.limit.Rate)*l.share)
	wait := minRetryAfter
	if b.credit < 1 {
		wait = max(wait, seconds((1-b.credit)/rate))
	}
	at := now.Add(wait)
	if b.nextRetry.After(at) {
		at = b.nextRetry
	}
	if latest := now.Add(maxRetryAfter); at.After(latest) {
		at = latest
	}
	b.nextRetry = at.Add(seconds(1 / (rate * max(0.01, b.weight))))
	return at.Sub(now)
}

func seconds(s float64) time.Duration {
	return time.Duration(min(s, maxRetryAfter.Seconds()) * float64(time.Second))
}

// Return gives back the credit of a request that was granted and has not run.
func (l *Ledger) Return(now time.Time, name id.Caller) {
	l.advance(now)
	b := l.buckets[HashOf(name)]
	if b == nil {
		return
	}
	published := !b.changed
	if !b.giveBack(slotOf(now)) {
		return
	}
	if published {
		l.changed = append(l.changed, b)
	}
	l.counts.Returned++
}

// takeStray decides on a request that reached a daemon to which callers are not directed.
// All such daemons divide a small part of the total. If that is less than one request
// each, some of them, by a hash of the host and the account, may grant one.
func (l *Ledger) takeStray(now time.Time, b *bucket, limit account.Limit) Verdict {
	b.limit = limit
	daemons := max(1, l.fleet.Known-len(l.fleet.Others))
	part := l.whole(strayShare*Total(limit)/float64(daemons), b)
	current := slotOf(now)
	if b.window.sum(current, lastSlot)+1 > part {
		l.counts.Refused++
		b.refused++
		return Verdict{RetryAfter: strayRetryAfter}
	}
	b.window.add(current, 1)
	b.granted++
	l.counts.Granted++
	return Verdict{Granted: true}
}

// whole returns a number of requests that this daemon may grant, if it and others have the
// given number each. If that is below 1, some of them, by a hash of the host and the
// account, have 1.
func (l *Ledger) whole(each float64, b *bucket) float64 {
	if each >= 1 {
		return each
	}
	const steps = 1 << 20
	if draw := xxhash.Sum64String(string(l.cfg.Host)+"\x00"+string(b.name)) % steps; float64(draw) < each*steps {
		return 1
	}
	return 0
}

// strayRetryAfter is when a caller may try another daemon after a refusal by one that
// callers are not directed to.
const strayRetryAfter = 200 * time.Millisecond

func (l *Ledger) announce(b *bucket) {
	l.announcements = append(l.announcements, Announcement{Account: b.name, Refusing: b.refusing, Credit: b.finiteCredit(), Limit: b.limit})
}

// Announcements returns the announcements since the last call.
func (l *Ledger) Announcements() []Announcement {
	list := l.announcements
	l.announcements = nil
	return list
}
