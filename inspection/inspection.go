// Package inspection checks a configuration before it is published: it reports what is
// invalid, what can never take effect, which limits contradict each other, and what
// changes for callers compared with the configuration in force.
package inspection

import (
	"fmt"
	"io"

	"github.com/briarrouter/briarrouter/configuration"
)

// Place says which part of a configuration a finding is about, such as a route or a
// client account.
type Place string

// Finding is an error, which keeps the configuration from being accepted, or a warning.
type Finding struct {
	Place Place
	// Text says what was found and what is accepted.
	Text string
}

// Change is a difference from the configuration in force.
type Change struct {
	Place Place
	Text  string
	// Effect is what callers notice; empty if they notice nothing.
	Effect string `json:",omitempty"`
}

// Report is the result of an inspection.
type Report struct {
	// Source names the configuration, such as its file.
	Source   string
	Errors   []Finding
	Warnings []Finding
	// Changes is empty if there is no configuration in force to compare with.
	Changes []Change
}

// Clean reports whether there are neither errors nor warnings.
func (r Report) Clean() bool { return len(r.Errors) == 0 && len(r.Warnings) == 0 }

// Inspect inspects a configuration, and compares it with the one in force unless that is
// nil.
func Inspect(source string, next configuration.Draft, inForce *configuration.Draft) Report {
	i := &inspector{draft: next, report: Report{Source: source, Errors: []Finding{}, Warnings: []Finding{}, Changes: []Change{}}}
	i.checkVersion(inForce)
	if _, err := configuration.NewSnapshot(next); err != nil {
		i.addErrors(err)
	}
	for _, text := range next.Ignored {
		i.warn(configurationPlace, "%s", text)
	}
	i.checkLimits()
	i.checkRoutes()
	i.checkServices()
	i.checkAccounts()
	if inForce != nil {
		i.report.Changes = compare(*inForce, next)
	}
	return i.report
}

// WriteTo writes the report for a person to read.
func (r Report) WriteTo(w io.Writer) (int64, error) {
	c := &countingWriter{Writer: w}
	fmt.Fprintf(c, "%s:\n", r.Source)
	for _, f := range r.Errors {
		fmt.Fprintf(c, "error: %s: %s\n", f.Place, f.Text)
	}
	for _, f := range r.Warnings {
		fmt.Fprintf(c, "warning: %s: %s\n", f.Place, f.Text)
	}
	for _, d := range r.Changes {
		fmt.Fprintf(c, "change: %s: %s\n", d.Place, d.Text)
		if d.Effect != "" {
			fmt.Fprintf(c, "  callers: %s\n", d.Effect)
		}
	}
	if r.Clean() {
		fmt.Fprintln(c, "no problems found")
	}
	return c.written, c.err
}

// countingWriter keeps the first error, after which it writes nothing.
type countingWriter struct {
	io.Writer
	written int64
	err     error
}

func (c *countingWriter) Write(p []byte) (int, error) {
	if c.err != nil {
		return 0, c.err
	}
	n, err := c.Writer.Write(p)
	c.written += int64(n)
	c.err = err
	return n, err
}
