package outcome

import (
	"fmt"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
)

// TestEndings checks, for each ending, the outcome and whether a retry is allowed.
func TestEndings(t *testing.T) {
	var b strings.Builder
	fmt.Fprintf(&b, "%-12s %-8s %-22s %s\n", "Ending", "Outcome", "RetryNotIdempotent", "RetryIdempotent")
	for _, e := range Endings {
		fmt.Fprintf(&b, "%-12s %-8s %-22v %v\n", e, e.Outcome(), e.Retryable(false), e.Retryable(true))
	}
	goldie.New(t).Assert(t, "endings", []byte(b.String()))
}

// TestCombine checks that proof that the last attempt did not run the request does
// not cover an earlier attempt.
func TestCombine(t *testing.T) {
	var b strings.Builder
	for _, earlier := range []Outcome{NotRun, Unknown} {
		for _, last := range []Outcome{Ran, NotRun, Unknown} {
			fmt.Fprintf(&b, "%-8s then %-8s = %s\n", earlier, last, Combine(earlier, last))
		}
	}
	goldie.New(t).Assert(t, "join", []byte(b.String()))
}
