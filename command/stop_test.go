package command

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/briarrouter/briarrouter/platform"
	"github.com/briarrouter/briarrouter/settings"
	"github.com/sebdah/goldie/v2"
)

// TestStopBound derives the bound of a stop from the settings and from the grace that
// platforms grant.
func TestStopBound(t *testing.T) {
	var out strings.Builder
	for _, grace := range []time.Duration{0, 2 * time.Second, 4 * time.Second, 6 * time.Second, 10 * time.Second} {
		for _, stop := range []time.Duration{0, time.Second, 3 * time.Second, 5500 * time.Millisecond, 9 * time.Second} {
			daemon := settings.Daemon{Timing: settings.Timing{Hold: 2 * time.Second, LeaveMargin: 2 * time.Second, Stop: stop}}
			if grace > 0 {
				daemon.Store.Address = "10.0.0.1:1"
			}
			bound, err := stopBound(daemon, platform.Terms{Grace: grace})
			fmt.Fprintf(&out, "grace %s, Stop %s: %s", grace, stop, bound)
			if err != nil {
				fmt.Fprintf(&out, ", %v", err)
			}
			out.WriteString("\n")
		}
	}
	goldie.New(t).Assert(t, "stopbound", []byte(out.String()))
}
