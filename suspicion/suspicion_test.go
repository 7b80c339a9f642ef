package suspicion

import (
	"fmt"
	"strings"
	"testing"

	"github.com/briarrouter/briarrouter/scripttest"
)

var observations = map[string]Observation{"ok": Success, "failure": Failure, "fast": FastFailure, "declined": Declined}

// TestScripts shows the failure probability of a target after sequences of
// observations and pauses.
func TestScripts(t *testing.T) {
	scripttest.Run(t, ".script", func(*testing.T) func([]string) string {
		clock, estimate := scripttest.NewClock(), &Estimate{}
		return func(w []string) string {
			switch w[0] {
			case "new":
				estimate = &Estimate{}
			case "wait":
				clock.Advance(w[1])
			case "observe":
				for _, name := range strings.Split(w[1], ",") {
					estimate.Observe(clock.Now(), observations[name])
				}
			}
			return fmt.Sprintf("%.3f", estimate.FailureProbability(clock.Now()))
		}
	})
}
