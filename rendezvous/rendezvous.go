// Package rendezvous ranks the daemons for a service by rendezvous hashing. Daemons
// with the same view of the membership compute the same ranking, without
// coordination.
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/briarrouter/briarrouter/id"
	"github.com/briarrouter/briarrouter/roster"
	"github.com/briarrouter/briarrouter/unit"
	"github.com/cespare/xxhash/v2"
)

// Ranker ranks the daemons of one view of the membership for any service. It is
// immutable.
type Ranker struct {
	// members lists the eligible members. The hashes of their host names are in
	// hashes, in the same order.
	members []roster.Member
	hashes  []uint64
}

// New returns a Ranker of the members that are alive, or of the suspect ones if
// none is alive.
func New(members []roster.Member) *Ranker {
	r := &Ranker{members: withState(members, roster.Alive)}
	if len(r.members) == 0 {
		r.members = withState(members, roster.Suspect)
	}
	for _, m := range r.members {
		r.hashes = append(r.hashes, xxhash.Sum64String(string(m.Host)))
	}
	return r
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

// mix is the finalizer of splitmix64 (Steele, Lea and Flood 2014).
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// candidate is the index of a member and its rendezvous weight for a service.
type candidate struct {
	index  int
	weight uint64
}

// maxRanked is the maximum number of members that Rank returns.
const maxRanked = 8

// Rank returns at most maxRanked members for a service. The first one is the
// active dispatcher, the others are its standbys. The best member of each failure
// domain precedes all others, so that the first standbys are in different
// domains; the rest follow by weight.
func (r *Ranker) Rank(s id.Service) []roster.Member { return r.rank(s, maxRanked) }

// RankAll returns all members in the order of Rank.
func (r *Ranker) RankAll(s id.Service) []roster.Member { return r.rank(s, len(r.members)) }

func (r *Ranker) rank(s id.Service, n int) []roster.Member {
	serviceHash := xxhash.Sum64String(string(s))
	best := make(map[id.FailureDomain]candidate)
	// rest holds the n members with the highest weights among those that are not
	// the best of their domain.
	var rest []candidate
	for i, hash := range r.hashes {
		c := candidate{i, mix(serviceHash ^ hash)}
		domain := r.members[i].FailureDomain
		if b, ok := best[domain]; !ok || c.weight > b.weight {
			best[domain] = c
			if !ok {
				continue
			}
			c = b
		}
		rest = keepHeaviest(rest, c, n)
	}
	var first []candidate
	for _, c := range best {
		first = append(first, c)
	}
	slices.SortFunc(first, compareByWeight)
	slices.SortFunc(rest, compareByWeight)
	first = append(first, rest...)
	var list []roster.Member
	for _, c := range first[:min(n, len(first))] {
		list = append(list, r.members[c.index])
	}
	return list
}

// compareByWeight orders the candidate with the higher weight first.
func compareByWeight(a, b candidate) int {
	return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.index, b.index))
}

// keepHeaviest adds c to a list that keeps the n entries with the highest weights.
func keepHeaviest(list []candidate, c candidate, n int) []candidate {
	if len(list) < n {
		return append(list, c)
	}
	lightest := 0
	for i := range list {
		if list[i].weight < list[lightest].weight {
			lightest = i
		}
	}
	if c.weight > list[lightest].weight {
		list[lightest] = c
	}
	return list
}

// ForCaller returns the members whose addresses self gives to a caller: the first n
// of ranked, rotated. If self is among them, the list starts with self, so that its
// callers stay with it. Otherwise it starts at index rotation modulo its length, so
// that different rotations distribute the callers over all of them. If ranked is
// empty, the result is self alone.
func ForCaller(ranked []roster.Member, self roster.Member, n, rotation int) []roster.Member {
	if len(ranked) == 0 {
		return []roster.Member{self}
	}
	ranked = ranked[:min(n, len(ranked))]
	first := slices.IndexFunc(ranked, func(m roster.Member) bool { return m.Host == self.Host })
	if first < 0 {
		first = rotation % len(ranked)
	}
	return append(slices.Clone(ranked[first:]), ranked[:first]...)
}

// replicaRankingKey is hashed in place of a service name to rank the replicas,
// which are the same for all services.
const replicaRankingKey id.Service = ""

const (
	// minReplicas is the least number of replicas; if fewer members are eligible,
	// all of them are replicas. Three tolerate the loss of two. With each further
	// one, every replica receives fewer requests and so makes fewer observations of
	// the targets.
	minReplicas = 3
	// daemonsPerReplica sets the CPU capacity that the replicas need together: that
	// of one daemon of the largest capacity for every daemonsPerReplica known
	// daemons, but at least that of minReplicas such daemons. More is not needed:
	// two of 0.8 cores for 100 targets, or three of 0.3 cores for 30 targets, use
	// 10 % of their CPU capacity.
	daemonsPerReplica = 16
)

// RankByCapacity returns all members, those with the most CPU capacity first.
// Members of the same capacityClass are in the order of Rank.
func (r *Ranker) RankByCapacity(s id.Service) []roster.Member {
	ranked := r.RankAll(s)
	largest := largestCapacity(ranked)
	slices.SortStableFunc(ranked, func(a, b roster.Member) int {
		return cmp.Compare(capacityClass(a, largest), capacityClass(b, largest))
	})
	return ranked
}

// capacityClass groups members of similar CPU capacity (field Room): class 0 has
// at least half of the largest capacity, class 1 at least a quarter, and so on.
func capacityClass(m roster.Member, largest unit.Millicores) int {
	class := 0
	for capacity := largest / 2; m.Room < capacity; capacity /= 2 {
		class++
	}
	return class
}

func largestCapacity(members []roster.Member) unit.Millicores {
	var largest unit.Millicores
	for _, m := range members {
		largest = max(largest, m.Room)
	}
	return largest
}

// Replicas returns the replicas: the members that callers of every service use.
// Few replicas receive many requests each, so that each soon observes the state of
// all targets. They are the members with the most CPU capacity, as far as possible
// in different failure domains, so that they are seldom lost together. Beyond
// minReplicas, members are added until the replicas have the required capacity.
// Members with less capacity than the first replica (a higher capacityClass) are
// added only while the replicas have less than half of it; otherwise they would only
// divide the observations among more daemons.
//
// The slice known lists all known members, alive or not. If no member is eligible,
// the result is self alone.
func (r *Ranker) Replicas(self roster.Member, known []roster.Member) []roster.Member {
	ranked := r.RankByCapacity(replicaRankingKey)
	if len(ranked) == 0 {
		return []roster.Member{self}
	}
	largest := largestCapacity(known)
	required := unit.Millicores(max(minReplicas, len(known)/daemonsPerReplica)) * largest
	total, end := unit.Millicores(0), 0
	for ; end < len(ranked) && (end < minReplicas || total < required); end++ {
		smaller := capacityClass(ranked[end], largest) > capacityClass(ranked[0], largest)
		if end >= minReplicas && smaller && total >= required/2 {
			break
		}
		total += ranked[end].Room
	}
	return ranked[:end]
}
