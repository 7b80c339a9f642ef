package departure

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
)

// TestTakes decides about requests with different deadlines at different times of stops
// with a short and a long grace.
func TestTakes(t *testing.T) {
	var out strings.Builder
	signal := time.Unix(0, 0)
	for _, cut := range []time.Duration{5500 * time.Millisecond, 9500 * time.Millisecond} {
		p := &Plan{HeldUntil: signal.Add(2 * time.Second), CutAt: signal.Add(cut)}
		fmt.Fprintf(&out, "callers told for 2s, cut after %s\n", cut)
		for _, at := range []time.Duration{0, 1999 * time.Millisecond, 2 * time.Second, 3 * time.Second, 4 * time.Second, 5 * time.Second, 9 * time.Second} {
			fmt.Fprintf(&out, "  after %s:", at)
			for _, kind := range []struct {
				name string
				left time.Duration
			}{
				{"lookup", 800 * time.Millisecond},
				{"payment", 4 * time.Second},
				{"roster", 12 * time.Second},
				{"upload", 30 * time.Second},
			} {
				now := signal.Add(at)
				verdict := "reject"
				if p.Takes(now, now.Add(kind.left)) {
					verdict = "take"
				}
				fmt.Fprintf(&out, " %s %s", kind.name, verdict)
			}
			out.WriteString("\n")
		}
	}
	goldie.New(t).Assert(t, "takes", []byte(out.String()))
}
