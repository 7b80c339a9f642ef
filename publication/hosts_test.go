package publication

import (
	"fmt"
	"testing"

	"github.com/sebdah/goldie/v2"
)

const hostLists = `[Daemon milano-01]
Callers = 10.1.0.1:8000
Peers = 10.1.0.1:8001
FailureDomain = Milano
State = live

[Target beds-01]
Address = 10.2.0.1:80
FailureDomain = Torino
State = leaving

[Target beds-02]
Address = beds
State = gone
`

// TestParseHostLists parses one text as a list of each kind and prints the
// entries and the problems found.
func TestParseHostLists(t *testing.T) {
	daemons, err := ParseDaemons([]byte(hostLists))
	out := fmt.Sprintf("daemons: %+v\n%v\n", daemons, err)
	targets, err := ParseTargets([]byte(hostLists))
	out += fmt.Sprintf("targets: %+v\n%v\n", targets, err)
	goldie.New(t).Assert(t, "lists", []byte(out))
}

// FuzzParseTargets checks that no list makes the parser panic.
func FuzzParseTargets(f *testing.F) {
	f.Add([]byte(hostLists))
	f.Fuzz(func(_ *testing.T, data []byte) { ParseTargets(data) })
}

// FuzzParseDaemons checks that no list makes the parser panic.
func FuzzParseDaemons(f *testing.F) {
	f.Add([]byte(hostLists))
	f.Fuzz(func(_ *testing.T, data []byte) { ParseDaemons(data) })
}
