package rendezvous

import (
	"fmt"
	"strings"
	"testing"

	"github.com/briarrouter/briarrouter/id"
	"github.com/briarrouter/briarrouter/roster"
	"github.com/sebdah/goldie/v2"
)

var domains = []id.FailureDomain{"Milano", "Torino", "Verona", "Bologna"}

func fleet(n int) []roster.Member {
	var list []roster.Member
	for i := range n {
		list = append(list, roster.Member{
			Host: id.Host(fmt.Sprintf("host-%02d", i+1)), FailureDomain: domains[i%len(domains)], State: roster.Alive,
		})
	}
	return list
}

func formatHosts(list []roster.Member) string {
	var words []string
	for _, m := range list {
		words = append(words, fmt.Sprintf("%s(%s)", m.Host, m.FailureDomain))
	}
	return strings.Join(words, " ")
}

// TestRank checks the ranking for three services, and that the next members move
// up when the first one is dead, leaving, suspect or joining.
func TestRank(t *testing.T) {
	var b strings.Builder
	for _, s := range []id.Service{"vacancies", "reservations", "dossiers"} {
		members := fleet(8)
		ranked := New(members).Rank(s)
		fmt.Fprintln(&b, s, "ranked:", formatHosts(ranked))
		for _, state := range []roster.State{roster.Dead, roster.Leaving, roster.Suspect, roster.Joining} {
			fmt.Fprintln(&b, s, "first is", state, ":", formatHosts(New(withHostState(members, ranked[0].Host, state)).Rank(s)[:4]))
		}
	}
	suspects := fleet(2)
	suspects[0].State, suspects[1].State = roster.Suspect, roster.Dead
	fmt.Fprintln(&b, "suspect members only:", formatHosts(New(suspects).Rank("vacancies")))
	goldie.New(t).Assert(t, "rank", []byte(b.String()))
}

func withHostState(members []roster.Member, host id.Host, state roster.State) []roster.Member {
	changed := append([]roster.Member(nil), members...)
	for i := range changed {
		if changed[i].Host == host {
			changed[i].State = state
		}
	}
	return changed
}

// TestAddressesForCaller checks the order of the members that each daemon returns
// to callers.
func TestAddressesForCaller(t *testing.T) {
	var b strings.Builder
	members := fleet(8)
	for _, self := range members {
		fmt.Fprintln(&b, self.Host, "returns:", formatHosts(ForCaller(New(members).Rank("reservations"), self, 4, 1)))
	}
	joining := roster.Member{Host: "host-09", State: roster.Joining}
	fmt.Fprintln(&b, "no member is eligible:", formatHosts(ForCaller(nil, joining, 4, 1)))
	goldie.New(t).Assert(t, "addresses", []byte(b.String()))
}

// TestMembershipChange counts the services whose dispatcher changes when one host
// leaves: with rendezvous hashing, only those of that host.
func TestMembershipChange(t *testing.T) {
	var b strings.Builder
	const services = 370
	for _, n := range []int{40, 160, 940} {
		members := fleet(n)
		moved := 0
		before, after := New(members), New(members[:n-1])
		for i := range services {
			s := id.Service(fmt.Sprintf("service-%d", i))
			if before.Rank(s)[0].Host != after.Rank(s)[0].Host {
				moved++
			}
		}
		fmt.Fprintf(&b, "%d hosts: one leaves, %d of %d services move\n", n, moved, services)
	}
	goldie.New(t).Assert(t, "membership_change", []byte(b.String()))
}

// BenchmarkRank measures Rank, which computes the ranking anew on each call.
func BenchmarkRank(b *testing.B) {
	for _, n := range []int{40, 160, 940} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			ranker := New(fleet(n))
			for range b.N {
				ranker.Rank("reservations")
			}
		})
	}
}
