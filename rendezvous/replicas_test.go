package rendezvous

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/briarrouter/briarrouter/id"
	"github.com/briarrouter/briarrouter/roster"
	"github.com/briarrouter/briarrouter/unit"
	"github.com/sebdah/goldie/v2"
)

// mixedFleet returns alive members in four failure domains: first the large ones
// with 800 millicores, then the small ones with 160.
func mixedFleet(large, small int) []roster.Member {
	var list []roster.Member
	for i := range large + small {
		capacity := unit.Millicores(800)
		if i >= large {
			capacity = 160
		}
		list = append(list, roster.Member{
			Host: id.Host(fmt.Sprintf("%c%d", 'a'+i%4, i)), FailureDomain: id.FailureDomain(fmt.Sprintf("%c", 'a'+i%4)),
			State: roster.Alive, Room: capacity,
		})
	}
	return list
}

// TestReplicas checks the choice of replicas in fleets of equal and of mixed
// capacity, and after the loss of members.
func TestReplicas(t *testing.T) {
	var b strings.Builder
	show := func(name string, members []roster.Member) {
		list := New(members).Replicas(roster.Member{Host: "self"}, members)
		capacity, domains := unit.Millicores(0), make(map[id.FailureDomain]bool)
		var hosts []string
		for _, m := range list {
			capacity += m.Room
			domains[m.FailureDomain] = true
			hosts = append(hosts, string(m.Host))
		}
		fmt.Fprintf(&b, "%s: %d daemons, capacity %d, in %d domains: %s\n", name, len(list), capacity, len(domains), strings.Join(hosts, " "))
	}
	show("no members", nil)
	show("one member", mixedFleet(1, 0))
	show("32 of equal capacity", mixedFleet(32, 0))
	show("8 large of 132", mixedFleet(8, 124))
	allLost := mixedFleet(8, 124)
	for i := range 8 {
		allLost[i].State = roster.Dead
	}
	show("all large ones lost", allLost)
	twoLost := mixedFleet(8, 124)
	twoLost[0].State, twoLost[1].State = roster.Suspect, roster.Leaving
	show("two large ones lost", twoLost)
	oneDomain := slices.DeleteFunc(mixedFleet(32, 0), func(m roster.Member) bool { return m.FailureDomain != "a" })
	show("one domain left", oneDomain)
	goldie.New(t).Assert(t, "replicas", []byte(b.String()))
}
