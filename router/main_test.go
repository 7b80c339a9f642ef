package router

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the random schedules, unless the command line
// gives one.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		f.Value.Set("20261204")
	}
	os.Exit(m.Run())
}
