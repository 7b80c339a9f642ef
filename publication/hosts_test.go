package publication

import (
	"fmt"
	"testing"

	"github.com/sebdah/goldie/v2"
)

const lists = `[Daemon milano-01]
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

// TestLists reads a list of each kind: good entries, and what is wrong with
// the others.
func TestLists(t *testing.T) {
	daemons, err := ParseDaemons([]byte(lists))
	out := fmt.Sprintf("daemons: %+v\n%v\n", daemons, err)
	targets, err := ParseTargets([]byte(lists))
	out += fmt.Sprintf("targets: %+v\n%v\n", targets, err)
	goldie.New(t).Assert(t, "lists", []byte(out))
}

// FuzzParseTargets looks for lists that make the parser fail.
func FuzzParseTargets(f *testing.F) {
	f.Add([]byte(lists))
	f.Fuzz(func(_ *testing.T, data []byte) { ParseTargets(data) })
}

// FuzzParseDaemons looks for lists that make the parser fail.
func FuzzParseDaemons(f *testing.F) {
	f.Add([]byte(lists))
	f.Fuzz(func(_ *testing.T, data []byte) { ParseDaemons(data) })
}
