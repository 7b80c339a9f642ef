// Package roster keeps one daemon's view of the daemons: the published list,
// corrected by what the daemons observe of each other. It holds the decisions
// only; package peer asks and answers the probes.
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

// State is what is believed of a member.
type State int

// The states, in the order in which a later one wins within one sequence.
const (
	// Unseen members are listed by the platform and were never heard.
	Unseen State = iota
	// Joining members run and are not ready for callers.
	Joining
	// Alive members serve.
	Alive
	// Leaving members serve those who hold their address, and end soon.
	Leaving
	// Suspect members did not answer a probe.
	Suspect
	// Dead members did not refute the suspicion in time.
	Dead
)

var stateNames = [...]string{"Unseen", "Joining", "Alive", "Leaving", "Suspect", "Dead"}

// String returns the name of the state.
func (s State) String() string {
	if s < 0 || int(s) >= len(stateNames) {
		return "Invalid"
	}
	return stateNames[s]
}

// MarshalText writes the name of the state into dumps.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// Member is one daemon.
type Member struct {
	Host          id.Host
	FailureDomain id.FailureDomain
	Callers       id.Address
	Peers         id.Address
	// Incarnation is zero for a member that was never heard.
	Incarnation id.Incarnation
	// Sequence orders the statements about one incarnation. Only the member
	// itself raises it.
	Sequence uint64
	State    State
	// Room is the processor time that the host has; zero where it did not say.
	Room unit.Millicores
}

// newer tells whether statement a about a host replaces b.
func newer(a, b Member) bool {
	return cmp.Or(
		cmp.Compare(a.Incarnation, b.Incarnation),
		cmp.Compare(a.Sequence, b.Sequence),
		cmp.Compare(a.State, b.State),
	) > 0
}

// entry is what is known about a member.
type entry struct {
	Member
	// since is when the state was last changed.
	since time.Time
	// sendsLeft is how many more messages carry the member's state.
	sendsLeft int
	// listed tells that the platform lists the host.
	listed bool
	// listedLeaving tells that the platform lists the host as leaving.
	listedLeaving bool
}

const (
	// tombstone is how long a dead member that is not listed is remembered.
	tombstone = time.Minute
	// sendFactor times the logarithm of the roster's size is how often a piece
	// of news is sent.
	sendFactor = 2
	// deadProbeShare is the share of probes that go to dead members, so that
	// both sides of a healed partition find each other again.
	deadProbeShare = 0.1
)

// Config makes a Table.
type Config struct {
	Self Member
	// Suspect is how long a suspected member may take to refute.
	Suspect time.Duration
	Random  *rand.Rand
}

// Table is one daemon's view. It is not safe for concurrent use.
type Table struct {
	cfg Config
	// self is the daemon's own statement.
	self Member
	// members holds every other daemon that is known.
	members map[id.Host]*entry
	// round lists the hosts still to be probed in this round.
	round []id.Host
	// fresh names the members with sends left.
	fresh map[id.Host]bool
	// generation counts the changes of what Members returns; view is what it
	// returned at viewed.
	generation, viewed uint64
	view               []Member
}

// New returns a view that knows only the daemon itself.
func New(cfg Config) *Table {
	return &Table{cfg: cfg, self: cfg.Self, members: make(map[id.Host]*entry), fresh: make(map[id.Host]bool)}
}

// Generation returns a number that grows with each change of what Members
// returns.
func (t *Table) Generation() uint64 { return t.generation }

// Self returns the daemon's own statement.
func (t *Table) Self() Member { return t.self }

// SetState changes the daemon's own state and makes it news.
func (t *Table) SetState(s State) {
	if t.self.State == s {
		return
	}
	t.self.State = s
	t.self.Sequence++
	t.generation++
}

// sends returns how often a piece of news is sent.
func (t *Table) sends() int {
	return sendFactor * int(math.Ceil(math.Log2(float64(len(t.members)+2))))
}

// Listed is a daemon as the platform lists it.
type Listed struct {
	Host          id.Host
	FailureDomain id.FailureDomain
	Callers       id.Address
	Peers         id.Address
	Leaving       bool
}

// SetListed takes the platform's list. The list lags, so it only adds names
// and marks of leaving: it takes nobody out who was heard.
func (t *Table) SetListed(now time.Time, list []Listed) {
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

// Merge takes statements from a peer. What is newer than what is known is
// taken over and passed on; a false statement about this daemon is refuted.
func (t *Table) Merge(now time.Time, news []Member) {
	for _, m := range news {
		if m.Host == t.self.Host {
			t.refute(m)
			continue
		}
		t.merge(now, m)
	}
}

func (t *Table) merge(now time.Time, m Member) {
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
	e.Member = m
	t.makeNews(e)
}

// makeNews lets the next messages carry what is known of a member.
func (t *Table) makeNews(e *entry) {
	e.sendsLeft = t.sends()
	t.fresh[e.Host] = true
	t.generation++
}

// refute answers a statement that puts this daemon worse than it is.
func (t *Table) refute(m Member) {
	if m.Incarnation != t.self.Incarnation || m.Sequence < t.self.Sequence {
		return
	}
	if m.State != Suspect && m.State != Dead {
		return
	}
	t.self.Sequence = m.Sequence + 1
	t.generation++
}

// Heard takes a statement that a member made about itself to this daemon. A
// suspicion about the same sequence stands until the member, which learns of
// it from the next message, refutes it: taking it back here would set it
// against the same suspicion of others, back and forth.
func (t *Table) Heard(now time.Time, m Member) {
	if m.Host != t.self.Host {
		t.merge(now, m)
	}
}

// Missed records that a member did not answer this daemon, nor others that
// were asked to try.
func (t *Table) Missed(now time.Time, host id.Host) {
	e := t.members[host]
	if e == nil || e.State == Suspect || e.State == Dead || e.State == Unseen {
		return
	}
	e.State, e.since = Suspect, now
	t.makeNews(e)
}

// Tick turns old suspicions into deaths and forgets old deaths.
func (t *Table) Tick(now time.Time) {
	for host, e := range t.members {
		switch {
		case e.State == Suspect && now.Sub(e.since) >= t.cfg.Suspect:
			e.State, e.since = Dead, now
			t.makeNews(e)
		case e.State == Dead && !e.listed && now.Sub(e.since) >= tombstone:
			delete(t.members, host)
			t.generation++
		}
	}
}

// Woke restarts every suspicion, because this daemon was paused: the others
// had no chance to be heard meanwhile.
func (t *Table) Woke(now time.Time) {
	for _, e := range t.members {
		if e.State == Suspect {
			e.since = now
		}
	}
}

// NextProbe returns the next member to probe. Each member that may be alive
// comes once a round, in an order drawn anew for each round.
func (t *Table) NextProbe() (Member, bool) {
	if t.cfg.Random.Float64() < deadProbeShare {
		if m, ok := t.anyDead(); ok {
			return m, true
		}
	}
	for range 2 {
		for len(t.round) > 0 {
			host := t.round[0]
			t.round = t.round[1:]
			if e := t.members[host]; e != nil && e.State != Dead {
				return e.Member, true
			}
		}
		t.round = slices.Sorted(maps.Keys(t.members))
		t.cfg.Random.Shuffle(len(t.round), func(i, j int) { t.round[i], t.round[j] = t.round[j], t.round[i] })
	}
	return t.anyDead()
}

func (t *Table) anyDead() (Member, bool) {
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

// Helpers returns up to n members that are alive, other than the one named.
func (t *Table) Helpers(n int, except id.Host) []Member {
	var list []Member
	for _, m := range t.Members() {
		if m.State == Alive && m.Host != except && m.Host != t.self.Host {
			list = append(list, m)
		}
	}
	t.cfg.Random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(n, len(list))]
}

// News returns up to n statements that most need to be passed on, and counts
// them as sent. A statement about the receiver goes first if it is suspected,
// so that it can refute.
func (t *Table) News(n int, receiver id.Host) []Member {
	var list []*entry
	for host := range t.fresh {
		e := t.members[host]
		if e == nil || e.sendsLeft == 0 {
			delete(t.fresh, host)
			continue
		}
		list = append(list, e)
	}
	if e := t.members[receiver]; e != nil && (e.State == Suspect || e.State == Dead) && !t.fresh[receiver] {
		list = append(list, e)
	}
	slices.SortFunc(list, func(a, b *entry) int {
		return cmp.Or(
			cmp.Compare(rankFor(b, receiver), rankFor(a, receiver)),
			cmp.Compare(b.sendsLeft, a.sendsLeft),
			cmp.Compare(a.Host, b.Host),
		)
	})
	var news []Member
	for _, e := range list[:min(n, len(list))] {
		e.sendsLeft = max(0, e.sendsLeft-1)
		news = append(news, e.Member)
	}
	return news
}

func rankFor(e *entry, receiver id.Host) int {
	if e.Host == receiver {
		return 1
	}
	return 0
}

// Members returns every member that is known, with this daemon, by host. The
// list must not be changed.
func (t *Table) Members() []Member {
	if t.view != nil && t.viewed == t.generation {
		return t.view
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
	t.view, t.viewed = list, t.generation
	return list
}

// Find returns the member that runs the given incarnation, if it may be alive.
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
