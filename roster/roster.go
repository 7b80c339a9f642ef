// Package roster keeps one daemon's view of the membership: the list published by
// the platform, corrected by failure detection and gossip between the daemons in
// the manner of SWIM. It only decides; package peer sends the messages.
package roster

import (
	"cmp"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/briarrouter/briarrouter/id"
	"github.com/briarrouter/briarrouter/unit"
)

// State is the state of a member in one daemon's view.
type State int

// The states are in order of precedence: of two updates with the same incarnation
// and sequence, the one with the later state wins.
const (
	// Unseen members are listed by the platform, but no update about them has been
	// received from a peer.
	Unseen State = iota
	// Joining members are running but not yet ready for callers.
	Joining
	// Alive members serve callers.
	Alive
	// Leaving members are about to stop but still serve callers that hold their
	// address.
	Leaving
	// Suspect members did not respond to a probe.
	Suspect
	// Dead members did not refute the suspicion in time.
	Dead
)

var stateNames = [...]string{"Unseen", "Joining", "Alive", "Leaving", "Suspect", "Dead"}

func (s State) String() string {
	if s < 0 || int(s) >= len(stateNames) {
		return "Invalid"
	}
	return stateNames[s]
}

// MarshalText makes dumps show the name of the state.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// Member is one daemon as the updates about it describe it.
type Member struct {
	Host          id.Host
	FailureDomain id.FailureDomain
	// Callers and Peers are the addresses for callers and for other daemons.
	Callers id.Address
	Peers   id.Address
	// Incarnation identifies the process. It is zero for an Unseen member.
	Incarnation id.Incarnation
	// Precedence orders the processes of one host, the later one higher. It is the
	// incarnation, or more if the clock of the host was set back between two of them.
	Precedence uint64
	// Sequence orders the updates about one incarnation; it is what SWIM calls the
	// incarnation number. Only the member itself raises it.
	Sequence uint64
	State    State
	// Room is the CPU capacity of the daemon; zero if it did not state one.
	Room unit.Millicores
}

// precedence returns the precedence of a member that may come from a daemon of an
// earlier version, which sends none.
func (m Member) precedence() uint64 { return max(m.Precedence, uint64(m.Incarnation)) }

// newer reports whether update a about a host replaces b.
func newer(a, b Member) bool {
	return cmp.Or(
		cmp.Compare(a.precedence(), b.precedence()),
		cmp.Compare(a.Sequence, b.Sequence),
		cmp.Compare(a.State, b.State),
	) > 0
}

// entry is a member and what only this daemon records about it.
type entry struct {
	Member
	// since is the time at which the state or the incarnation last changed, or at
	// which the timeout of a suspicion was restarted.
	since time.Time
	// sendsLeft is how many more messages carry the update about the member.
	sendsLeft int
	// listed is set if the platform lists the host.
	listed bool
	// left is set if the process has announced that it leaves.
	left bool
	// disputed is set if another process of the host, which takes itself for the later
	// one, has sent an update with a lower precedence.
	disputed bool
	// listedLeaving is set if the platform's last entry for the host was marked as
	// leaving.
	listedLeaving bool
}

const (
	// leftRetention is how long a dead member is kept that had announced that it leaves
	// and that the platform does not list.
	leftRetention = time.Minute
	// lostRetention is how long any other dead member that the platform does not list
	// is kept. It may be on the other side of a network partition, and then has its part
	// in what the daemons share.
	lostRetention = 2 * time.Hour
	// retransmitFactor is the factor in the number of messages that carry each
	// update: retransmitFactor * ceil(log2(n+1)) for n daemons.
	retransmitFactor = 2
	// deadProbeShare is the share of probes that go to dead members, so that both
	// sides of a network partition find each other again once it has healed.
	deadProbeShare = 0.1
)

type Config struct {
	Self Member
	// SuspicionTimeout is how long a suspect member has to refute the suspicion
	// before it is declared dead.
	SuspicionTimeout time.Duration
	Random           *rand.Rand
}

// Table is one daemon's view of the membership. It is not safe for concurrent use.
type Table struct {
	cfg Config
	// self is this daemon as it describes itself to the others.
	self Member
	// members holds every other known daemon.
	members map[id.Host]*entry
	// probeRound lists the hosts still to be probed in the current round.
	probeRound []id.Host
	// pending is the set of members whose update is still to be sent. It may also
	// name members without sends left; NextUpdates removes these.
	pending map[id.Host]bool
	// generation counts the changes of what Members returns. cachedMembers is what
	// it returned at cachedGeneration.
	generation, cachedGeneration uint64
	cachedMembers                []Member
}

// New returns a table that has only the daemon itself.
func New(cfg Config) *Table {
	return &Table{cfg: cfg, self: cfg.Self, members: make(map[id.Host]*entry), pending: make(map[id.Host]bool)}
}

// Generation returns a number that increases with each change of what Members
// returns.
func (t *Table) Generation() uint64 { return t.generation }

// Self returns this daemon as it describes itself to the others.
func (t *Table) Self() Member { return t.self }

// SetState changes this daemon's own state and raises its sequence, so that the
// others accept the change.
func (t *Table) SetState(s State) {
	if t.self.State == s {
		return
	}
	t.self.State = s
	t.self.Sequence++
	t.generation++
}

// transmitLimit returns how many messages carry an update.
func (t *Table) transmitLimit() int {
	return retransmitFactor * int(math.Ceil(math.Log2(float64(len(t.members)+2))))
}

// ListedMember is a daemon's entry in the platform's list.
type ListedMember struct {
	Host          id.Host
	FailureDomain id.FailureDomain
	Callers       id.Address
	Peers         id.Address
	Leaving       bool
}

// SetListed applies the platform's list. The list lags behind the updates from
// peers, so it adds members and sets or clears the leaving mark of those that it
// lists, but replaces addresses and failure domains only of Unseen and Dead
// members. Of the members that it lacks, only Unseen ones are removed.
func (t *Table) SetListed(now time.Time, list []ListedMember) {
	t.generation++
	for _, e := range t.members {
		e.listed = false
	}
	for _, l := range list {
		if l.Host == t.self.Host {
			continue
		}
		e := t.members[l.Host]
		if e == nil {
			e = &entry{Member: Member{Host: l.Host, FailureDomain: l.FailureDomain, Callers: l.Callers, Peers: l.Peers}, since: now}
			t.members[l.Host] = e
		}
		if e.State == Unseen || e.State == Dead {
			e.Callers, e.Peers, e.FailureDomain = l.Callers, l.Peers, l.FailureDomain
		}
		e.listed, e.listedLeaving = true, l.Leaving
	}
	for host, e := range t.members {
		if !e.listed && e.State == Unseen {
			delete(t.members, host)
		}
	}
}

// Merge applies updates received from a peer. An update that is newer than what is
// known is adopted and gossiped on; an update that calls this daemon suspect or
// dead is refuted.
func (t *Table) Merge(now time.Time, updates []Member) {
	for _, m := range updates {
		if m.Host == t.self.Host {
			t.refute(m)
			continue
		}
		t.mergeUpdate(now, m)
	}
}

func (t *Table) mergeUpdate(now time.Time, m Member) {
	e := t.members[m.Host]
	if e == nil {
		if m.State == Dead {
			return
		}
		e = &entry{}
		t.members[m.Host] = e
	}
	if !newer(m, e.Member) {
		return
	}
	if e.State != m.State || e.Incarnation != m.Incarnation {
		e.since = now
	}
	if e.Incarnation != m.Incarnation || m.State < Leaving {
		e.left = false
	}
	e.left = e.left || m.State == Leaving
	e.Member, e.disputed = m, false
	t.enqueue(e)
}

// enqueue queues the update about a member for the next messages.
func (t *Table) enqueue(e *entry) {
	e.sendsLeft = t.transmitLimit()
	t.pending[e.Host] = true
	t.generation++
}

// refute raises this daemon's sequence above that of an update that calls it
// suspect or dead.
func (t *Table) refute(m Member) {
	if m.Incarnation != t.self.Incarnation {
		t.precede(m)
		return
	}
	if m.Sequence < t.self.Sequence {
		return
	}
	if m.State != Suspect && m.State != Dead {
		return
	}
	t.self.Sequence = m.Sequence + 1
	t.generation++
}

// precede raises this daemon's precedence above that of another process of its host. It
// does so only while it is joining: what is known of its host then is from a process that
// ran before. Later, this may be the earlier process, which was paused while the host was
// replaced.
func (t *Table) precede(m Member) {
	if t.self.State != Joining || m.precedence() < t.self.precedence() {
		return
	}
	t.self.Precedence = m.precedence() + 1
	t.generation++
}

// MergeSender applies an update that a member sent about itself. It does not clear a
// suspicion with the same sequence: the next message to the member carries the
// suspicion, and the member refutes it by a higher sequence. If this daemon cleared
// it without that, other daemons would send the suspicion again, and the state would
// alternate.
func (t *Table) MergeSender(now time.Time, m Member) {
	if m.Host == t.self.Host {
		return
	}
	t.mergeUpdate(now, m)
	if e := t.members[m.Host]; e != nil && e.Incarnation != m.Incarnation {
		e.disputed = true
	}
}

// ProbeFailed records that a member responded neither to a ping from this daemon
// nor to indirect pings, and makes it suspect.
func (t *Table) ProbeFailed(now time.Time, host id.Host) {
	e := t.members[host]
	if e == nil || e.State == Suspect || e.State == Dead || e.State == Unseen {
		return
	}
	e.State, e.since = Suspect, now
	t.enqueue(e)
}

// Tick declares members dead whose suspicion has timed out and removes dead members
// that the platform does not list after leftRetention or lostRetention.
func (t *Table) Tick(now time.Time) {
	for host, e := range t.members {
		switch {
		case e.State == Suspect && now.Sub(e.since) >= t.cfg.SuspicionTimeout:
			e.State, e.since = Dead, now
			t.enqueue(e)
		case e.State == Dead && !e.listed && now.Sub(e.since) >= e.retention():
			delete(t.members, host)
			t.generation++
		}
	}
}

// retention returns how long the member is kept once it is dead.
func (e *entry) retention() time.Duration {
	if e.left {
		return leftRetention
	}
	return lostRetention
}

// RestartSuspicions restarts the timeout of every suspicion. It is called after
// this process was paused, because no refutation could be received during the
// pause.
func (t *Table) RestartSuspicions(now time.Time) {
	for _, e := range t.members {
		if e.State == Suspect {
			e.since = now
		}
	}
}

// NextProbe returns the next member to probe. Each member that is not dead is
// probed once per round, in an order shuffled for each round. A share of
// deadProbeShare of the probes goes to random dead members instead, and all of them
// if every member is dead.
func (t *Table) NextProbe() (Member, bool) {
	if t.cfg.Random.Float64() < deadProbeShare {
		if m, ok := t.randomDead(); ok {
			return m, true
		}
	}
	for range 2 {
		for len(t.probeRound) > 0 {
			host := t.probeRound[0]
			t.probeRound = t.probeRound[1:]
			if e := t.members[host]; e != nil && e.State != Dead {
				return e.Member, true
			}
		}
		t.probeRound = slices.Sorted(maps.Keys(t.members))
		t.cfg.Random.Shuffle(len(t.probeRound), func(i, j int) { t.probeRound[i], t.probeRound[j] = t.probeRound[j], t.probeRound[i] })
	}
	return t.randomDead()
}

func (t *Table) randomDead() (Member, bool) {
	var dead []id.Host
	for _, host := range slices.Sorted(maps.Keys(t.members)) {
		if t.members[host].State == Dead {
			dead = append(dead, host)
		}
	}
	if len(dead) == 0 {
		return Member{}, false
	}
	return t.members[dead[t.cfg.Random.IntN(len(dead))]].Member, true
}

// RandomAlive returns up to n random members that are alive, excluding this daemon
// and the given host.
func (t *Table) RandomAlive(n int, except id.Host) []Member {
	var list []Member
	for _, m := range t.Members() {
		if m.State == Alive && m.Host != except && m.Host != t.self.Host {
			list = append(list, m)
		}
	}
	t.cfg.Random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(n, len(list))]
}

// NextUpdates returns up to n updates for a message to the receiver and counts
// them as sent. Those with the most sends left go first. An update about the
// receiver goes before all others and is always included while the receiver is
// suspect or dead, or another process of its host is taken for the later one, so that it
// can refute.
func (t *Table) NextUpdates(n int, receiver id.Host) []Member {
	var list []*entry
	for host := range t.pending {
		e := t.members[host]
		if e == nil || e.sendsLeft == 0 {
			delete(t.pending, host)
			continue
		}
		list = append(list, e)
	}
	if e := t.members[receiver]; e != nil && (e.State == Suspect || e.State == Dead || e.disputed) && !t.pending[receiver] {
		list = append(list, e)
	}
	slices.SortFunc(list, func(a, b *entry) int {
		return cmp.Or(
			cmp.Compare(receiverPriority(b, receiver), receiverPriority(a, receiver)),
			cmp.Compare(b.sendsLeft, a.sendsLeft),
			cmp.Compare(a.Host, b.Host),
		)
	})
	var updates []Member
	for _, e := range list[:min(n, len(list))] {
		e.sendsLeft = max(0, e.sendsLeft-1)
		updates = append(updates, e.Member)
	}
	return updates
}

// receiverPriority is 1 for the receiver's own entry and 0 for others.
func receiverPriority(e *entry, receiver id.Host) int {
	if e.Host == receiver {
		return 1
	}
	return 0
}

// Members returns every known member and this daemon, sorted by host. Alive members
// that the platform lists as leaving are returned as Leaving. The caller must not
// modify the slice.
func (t *Table) Members() []Member {
	if t.cachedMembers != nil && t.cachedGeneration == t.generation {
		return t.cachedMembers
	}
	list := []Member{t.self}
	for _, e := range t.members {
		m := e.Member
		if e.listedLeaving && m.State == Alive {
			m.State = Leaving
		}
		list = append(list, m)
	}
	slices.SortFunc(list, func(a, b Member) int { return cmp.Compare(a.Host, b.Host) })
	t.cachedMembers, t.cachedGeneration = list, t.generation
	return list
}

// Find returns the member that runs the given incarnation, unless it is dead.
func (t *Table) Find(i id.Incarnation) (Member, bool) {
	if i == t.self.Incarnation {
		return t.self, true
	}
	for _, e := range t.members {
		if e.Incarnation == i && e.State != Dead {
			return e.Member, true
		}
	}
	return Member{}, false
}
