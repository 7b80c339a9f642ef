package router

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed seed for rapid, so that runs are reproducible, unless
// -rapid.seed is given.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		f.Value.Set("20261204")
	}
	os.Exit(m.Run())
}
