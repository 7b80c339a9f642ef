package departure

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
)

// TestTakes decides about requests of different kinds at different times of stops with
// a short and a long grace.
func TestTakes(t *testing.T) {
	var out strings.Builder
	signal := time.Unix(0, 0)
	for _, cut := range []time.Duration{5500 * time.Millisecond, 9500 * time.Millisecond} {
		p := &Plan{HeldUntil: signal.Add(2 * time.Second), CutAt: signal.Add(cut)}
		fmt.Fprintf(&out, "callers told for 2s, cut after %s\n", cut)
		for _, at := range []time.Duration{0, 1999 * time.Millisecond, 2 * time.Second, 3 * time.Second, 4 * time.Second, 5 * time.Second, 9 * time.Second} {
			fmt.Fprintf(&out, "  after %s:", at)
			for _, kind := range []struct {
				name        string
				left, usual time.Duration
			}{
				{"lookup", 800 * time.Millisecond, 54 * time.Millisecond},
				{"payment", 4 * time.Second, 410 * time.Millisecond},
				{"roster", 12 * time.Second, 1600 * time.Millisecond},
				{"upload", 30 * time.Second, 240 * time.Millisecond},
				{"unobserved", 4 * time.Second, 0},
			} {
				now := signal.Add(at)
				verdict := "reject"
				if p.Takes(now, Request{Deadline: now.Add(kind.left), Usual: kind.usual}) {
					verdict = "take"
				}
				fmt.Fprintf(&out, " %s %s", kind.name, verdict)
			}
			out.WriteString("\n")
		}
	}
	goldie.New(t).Assert(t, "takes", []byte(out.String()))
}
