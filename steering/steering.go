// Package steering decides which daemons stand for a service and in what
// order. Every daemon with the same view of the roster decides the same.
package steering

import (
	"cmp"
	"slices"

	"github.com/briarrouter/briarrouter/id"
	"github.com/briarrouter/briarrouter/roster"
	"github.com/cespare/xxhash/v2"
)

// weight is the rendezvous weight of a host for a service.
func weight(s id.Service, h id.Host) uint64 {
	return xxhash.Sum64String(string(s) + "\x00" + string(h))
}

// Rank orders the members that serve for a service. The first is the active
// dispatcher. The next ones are standbys in failure domains that do not stand
// before them, as far as there are any; the rest follow by weight. Members
// that are suspected come only where no member is known to be alive.
func Rank(s id.Service, members []roster.Member) []roster.Member {
	list := withState(members, roster.Alive)
	if len(list) == 0 {
		list = withState(members, roster.Suspect)
	}
	slices.SortFunc(list, func(a, b roster.Member) int {
		return cmp.Or(cmp.Compare(weight(s, b.Host), weight(s, a.Host)), cmp.Compare(a.Host, b.Host))
	})
	return spread(list)
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

// spread moves the first member of each failure domain to the front and keeps
// the order otherwise.
func spread(list []roster.Member) []roster.Member {
	seen := make(map[id.FailureDomain]bool)
	var first, rest []roster.Member
	for _, m := range list {
		if seen[m.FailureDomain] {
			rest = append(rest, m)
			continue
		}
		seen[m.FailureDomain] = true
		first = append(first, m)
	}
	return append(first, rest...)
}

// Answers returns the members whose addresses a caller gets, at most n of the
// ranked ones. A member that stands for the service names itself first, so that its
// callers stay with it; any other one starts at the turn, so that callers
// spread. While no other member is known to serve, it names this daemon.
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
