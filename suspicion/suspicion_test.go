package suspicion

import (
	"fmt"
	"strings"
	"testing"

	"github.com/briarrouter/briarrouter/scripttest"
)

var names = map[string]Evidence{"ok": Success, "failure": Failure, "fast": FastFailure, "declined": Declined}

// TestScripts shows what is believed of a target after what its requests showed.
func TestScripts(t *testing.T) {
	scripttest.Run(t, ".script", func(*testing.T) func([]string) string {
		clock, belief := scripttest.NewClock(), &Belief{}
		return func(w []string) string {
			switch w[0] {
			case "new":
				belief = &Belief{}
			case "wait":
				clock.Wait(w[1])
			case "see":
				for _, name := range strings.Split(w[1], ",") {
					belief.Observe(clock.Now(), names[name])
				}
			}
			return fmt.Sprintf("%.3f", belief.Sick(clock.Now()))
		}
	})
}
