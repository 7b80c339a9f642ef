// Package scripttest runs test cases that are written as scripts, a command a
// line, and compares what the commands return with golden files.
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

// Run runs each script of testdata with the given ending, in a bubble of
// testing/synctest. Create returns what executes one script: it takes the
// words of a line and returns the result.
func Run(t *testing.T, ending string, create func(t *testing.T) func(words []string) string) {
	files, err := filepath.Glob(filepath.Join("testdata", "*"+ending))
	require.NoError(t, err)
	require.NotEmpty(t, files, "no script ends in %s", ending)
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), ending)
		t.Run(name, func(t *testing.T) {
			data, err := os.ReadFile(file)
			require.NoError(t, err)
			synctest.Test(t, func(t *testing.T) {
				goldie.New(t).Assert(t, name, []byte(transcript(string(data), create(t))))
			})
		})
	}
}

// transcript returns the script with the result after each command.
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

// Clock is the time of a script. It moves only when the script says so.
type Clock struct{ now time.Time }

// NewClock returns a clock at a fixed time.
func NewClock() *Clock { return &Clock{now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)} }

// Now returns the time.
func (c *Clock) Now() time.Time { return c.now }

// Wait lets the time pass that a word of the script names.
func (c *Clock) Wait(span string) string {
	d, err := time.ParseDuration(span)
	if err != nil {
		return err.Error()
	}
	c.now = c.now.Add(d)
	return ""
}
