// Package steering decides which daemons stand for a service and in what
// order. Every daemon with the same view of the roster decides the same.
package steering

import (
	"cmp"
	"slices"

	"github.com/briarrouter/briarrouter/id"
	"github.com/briarrouter/briarrouter/roster"
	"github.com/briarrouter/briarrouter/unit"
	"github.com/cespare/xxhash/v2"
)

// Order ranks one view of the roster for any service.
type Order struct {
	// members lists those that may serve, hashes the hash of each one's host.
	members []roster.Member
	hashes  []uint64
}

// New returns the order of the members that are alive. Members that are
// suspected count only where no member is known to be alive.
func New(members []roster.Member) *Order {
	o := &Order{members: withState(members, roster.Alive)}
	if len(o.members) == 0 {
		o.members = withState(members, roster.Suspect)
	}
	for _, m := range o.members {
		o.hashes = append(o.hashes, xxhash.Sum64String(string(m.Host)))
	}
	return o
}

func withState(members []roster.Member, state roster.State) []roster.Member {
	var list []roster.Member
	for _, m := range members {
		if m.State == state {
			list = append(list, m)
		}
	}
	return list
}

// mix spreads the bits of x evenly. It is the finalizer of splitmix64 (Steele,
// Lea and Flood 2014).
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// ranked is a member with its rendezvous weight for a service.
type ranked struct {
	index  int
	weight uint64
}

// maxRanked is how many members are ranked for a service.
const maxRanked = 8

// Rank returns the first members for a service, at most maxRanked. The first
// one is the active dispatcher. The next ones are standbys in failure domains
// that do not stand before them, as far as there are any; the rest follow by
// weight.
func (o *Order) Rank(s id.Service) []roster.Member { return o.rank(s, maxRanked) }

// RankAll returns all members, ranked as by Rank.
func (o *Order) RankAll(s id.Service) []roster.Member { return o.rank(s, len(o.members)) }

func (o *Order) rank(s id.Service, n int) []roster.Member {
	service := xxhash.Sum64String(string(s))
	best := make(map[id.FailureDomain]ranked)
	// rest holds the heaviest members that are not the best of their domain.
	var rest []ranked
	for i, hash := range o.hashes {
		r := ranked{i, mix(service ^ hash)}
		domain := o.members[i].FailureDomain
		if b, ok := best[domain]; !ok || r.weight > b.weight {
			best[domain] = r
			if !ok {
				continue
			}
			r = b
		}
		rest = keepHeaviest(rest, r, n)
	}
	var first []ranked
	for _, r := range best {
		first = append(first, r)
	}
	slices.SortFunc(first, heavier)
	slices.SortFunc(rest, heavier)
	first = append(first, rest...)
	var list []roster.Member
	for _, r := range first[:min(n, len(first))] {
		list = append(list, o.members[r.index])
	}
	return list
}

func heavier(a, b ranked) int {
	return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.index, b.index))
}

// keepHeaviest adds r to a list that keeps its n heaviest entries.
func keepHeaviest(list []ranked, r ranked, n int) []ranked {
	if len(list) < n {
		return append(list, r)
	}
	lightest := 0
	for i := range list {
		if list[i].weight < list[lightest].weight {
			lightest = i
		}
	}
	if r.weight > list[lightest].weight {
		list[lightest] = r
	}
	return list
}

// Answers returns the members whose addresses a caller gets, at most n of the
// ranked ones. A member that stands for the service names itself first, so
// that its callers stay with it; any other one starts at the turn, so that
// callers spread. While no other member is known to serve, it names this
// daemon.
func Answers(ranked []roster.Member, self roster.Member, n, turn int) []roster.Member {
	if len(ranked) == 0 {
		return []roster.Member{self}
	}
	ranked = ranked[:min(n, len(ranked))]
	first := slices.IndexFunc(ranked, func(m roster.Member) bool { return m.Host == self.Host })
	if first < 0 {
		first = turn % len(ranked)
	}
	return append(slices.Clone(ranked[first:]), ranked[:first]...)
}

// shared is the service by whose rank callers are steered who use one set of
// daemons for all services.
const shared id.Service = ""

const (
	// minShared is how many daemons callers share at least: three survive the
	// loss of two, and each more sees less of the targets.
	minShared = 3
	// fleetPerShared is how many daemons there are for each that callers share:
	// in the fleets that were measured, two daemons of 0.8 cores for a hundred
	// targets or three of 0.3 cores for thirty are a tenth busy.
	fleetPerShared = 16
)

// RankRoomy returns all members, those of much room before those of little, and
// those of about the same room ranked as by Rank.
func (o *Order) RankRoomy(s id.Service) []roster.Member {
	ranked := o.RankAll(s)
	largest := largestRoom(ranked)
	slices.SortStableFunc(ranked, func(a, b roster.Member) int {
		return cmp.Compare(roomClass(a, largest), roomClass(b, largest))
	})
	return ranked
}

// roomClass returns how often the largest room must be halved to fit into that
// of a member.
func roomClass(m roster.Member, largest unit.Millicores) int {
	class := 0
	for room := largest / 2; m.Room < room; room /= 2 {
		class++
	}
	return class
}

func largestRoom(members []roster.Member) unit.Millicores {
	var largest unit.Millicores
	for _, m := range members {
		largest = max(largest, m.Room)
	}
	return largest
}

// Shared returns the members that callers of every service use. A few daemons
// see many requests each, so that each soon knows how the targets do; standing
// in different failure domains, they are seldom lost together. They are those
// with the most room. Where most of the roomy ones are lost, more of the others
// take their place; until then they would only divide what is seen. Known lists all members that are known, alive or not. While no
// member is known to serve, it is this daemon.
func (o *Order) Shared(self roster.Member, known []roster.Member) []roster.Member {
	ranked := o.RankRoomy(shared)
	if len(ranked) == 0 {
		return []roster.Member{self}
	}
	largest := largestRoom(known)
	need := unit.Millicores(max(minShared, len(known)/fleetPerShared)) * largest
	taken, end := unit.Millicores(0), 0
	for ; end < len(ranked) && (end < minShared || taken < need); end++ {
		smaller := roomClass(ranked[end], largest) > roomClass(ranked[0], largest)
		if end >= minShared && smaller && taken >= need/2 {
			break
		}
		taken += ranked[end].Room
	}
	return ranked[:end]
}
