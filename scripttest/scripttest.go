// Package scripttest runs test cases written as scripts, with one command per
// line, and compares the results of the commands with golden files.
package scripttest

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"
)

// Run runs each script in testdata with the given file extension as a subtest,
// in a testing/synctest bubble. For each script, newExecutor returns the
// function that executes it: called with the words of each line in turn, it
// returns the result of that line's command.
func Run(t *testing.T, extension string, newExecutor func(t *testing.T) func(words []string) string) {
	files, err := filepath.Glob(filepath.Join("testdata", "*"+extension))
	require.NoError(t, err)
	require.NotEmpty(t, files, "no script has the extension %s", extension)
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), extension)
		t.Run(name, func(t *testing.T) {
			data, err := os.ReadFile(file)
			require.NoError(t, err)
			synctest.Test(t, func(t *testing.T) {
				goldie.New(t).Assert(t, name, []byte(transcript(string(data), newExecutor(t))))
			})
		})
	}
}

// transcript returns the script with the result after each command. Empty lines
// and lines whose first word starts with # are not executed.
func transcript(script string, execute func([]string) string) string {
	var b strings.Builder
	for line := range strings.Lines(script) {
		line = strings.TrimRight(line, "\n")
		fmt.Fprintln(&b, line)
		words := strings.Fields(line)
		if len(words) == 0 || strings.HasPrefix(words[0], "#") {
			continue
		}
		if result := execute(words); result != "" {
			fmt.Fprintln(&b, "  ->", strings.ReplaceAll(strings.TrimRight(result, "\n"), "\n", "\n  -> "))
		}
	}
	return b.String()
}

// Clock is a fake clock that advances only when the script says so.
type Clock struct{ now time.Time }

// NewClock returns a clock that starts at a fixed time.
func NewClock() *Clock { return &Clock{now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)} }

func (c *Clock) Now() time.Time { return c.now }

// Advance advances the clock by a duration in the syntax of time.ParseDuration.
// It returns a parse error as the result of the command, or else an empty result.
func (c *Clock) Advance(duration string) string {
	d, err := time.ParseDuration(duration)
	if err != nil {
		return err.Error()
	}
	c.now = c.now.Add(d)
	return ""
}
