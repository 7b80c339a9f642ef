package steering

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

// roomyFleet returns hosts that are alive in four failure domains: first those of
// much room, then those of little.
func roomyFleet(roomy, small int) []roster.Member {
	var list []roster.Member
	for i := range roomy + small {
		room := unit.Millicores(800)
		if i >= roomy {
			room = 160
		}
		list = append(list, roster.Member{
			Host: id.Host(fmt.Sprintf("%c%d", 'a'+i%4, i)), FailureDomain: id.FailureDomain(fmt.Sprintf("%c", 'a'+i%4)),
			State: roster.Alive, Room: room,
		})
	}
	return list
}

// TestShared shows whom callers share in fleets of different make, and what
// becomes of that when hosts are lost.
func TestShared(t *testing.T) {
	var b strings.Builder
	show := func(name string, members []roster.Member) {
		list := New(members).Shared(roster.Member{Host: "self"}, members)
		room, domains := unit.Millicores(0), make(map[id.FailureDomain]bool)
		var hosts []string
		for _, m := range list {
			room += m.Room
			domains[m.FailureDomain] = true
			hosts = append(hosts, string(m.Host))
		}
		fmt.Fprintf(&b, "%s: %d daemons, room %d, in %d domains: %s\n", name, len(list), room, len(domains), strings.Join(hosts, " "))
	}
	show("nobody", nil)
	show("one", roomyFleet(1, 0))
	show("32 alike", roomyFleet(32, 0))
	show("8 roomy of 132", roomyFleet(8, 124))
	lost := roomyFleet(8, 124)
	for i := range 8 {
		lost[i].State = roster.Dead
	}
	show("the roomy ones lost", lost)
	half := roomyFleet(8, 124)
	half[0].State, half[1].State = roster.Suspect, roster.Leaving
	show("two roomy ones lost", half)
	apart := slices.DeleteFunc(roomyFleet(32, 0), func(m roster.Member) bool { return m.FailureDomain != "a" })
	show("one domain left", apart)
	goldie.New(t).Assert(t, "shared", []byte(b.String()))
}
