// Command standins plays the cases of the review: it starts the daemons of the
// repository as processes of their own, with stand-ins for the store, the upstreams and
// the clients, and checks one rule.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sort"
	"time"
)

const (
	held   = 0
	broken = 1
	notRun = 2
)

// play is one run of a case.
type play struct {
	trouble bool
	started time.Time
	record  *os.File
	*deployment
	fleet *fleet
}

// spec is a case: how many daemons it has, and what it plays.
type spec struct {
	daemons int
	play    func(p *play) (verdict int, err error)
}

// cases holds the cases by name; each file adds its own.
var cases = make(map[string]spec)

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]].play == nil {
		fmt.Fprintln(os.Stderr, "usage: standins CASE REPOSITORY RECORD")
		os.Exit(notRun)
	}
	verdict, err := run(os.Args[1], os.Args[2], os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		verdict = notRun
	}
	os.Exit(verdict)
}

func run(name, root, record string) (int, error) {
	root, err := filepath.Abs(root)
	if err != nil {
		return notRun, err
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return notRun, err
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(folder)
	} else {
		fmt.Println("logs:", folder)
	}
	p := &play{trouble: os.Getenv("TROUBLE") != "0", started: time.Now()}
	if p.record, err = os.Create(record); err != nil {
		return notRun, err
	}
	defer p.record.Close()
	if p.deployment, err = newDeployment(); err != nil {
		return notRun, err
	}
	if p.fleet, err = newFleet(root, folder, p.address, cases[name].daemons); err != nil {
		return notRun, err
	}
	defer p.fleet.killAll()
	p.note("trouble: %v", p.trouble)
	return cases[name].play(p)
}

// note writes a line to the record, with the time since the start.
func (p *play) note(format string, args ...any) {
	fmt.Fprintf(p.record, "%8.3f %s\n", time.Since(p.started).Seconds(), fmt.Sprintf(format, args...))
}

// say writes a line to the record and to the standard output.
func (p *play) say(format string, args ...any) {
	p.note(format, args...)
	fmt.Printf(format+"\n", args...)
}

// at is a time in the record's terms.
func (p *play) at(t time.Time) string {
	if t.IsZero() {
		return "-"
	}
	return fmt.Sprintf("%.3f", t.Sub(p.started).Seconds())
}

// describe writes what the clients and the servers saw of each request: a short line for
// one that was served by the only server that it reached, a long one for any other.
func (p *play) describe(results []result) {
	sort.Slice(results, func(i, j int) bool { return results[i].begun.Before(results[j].begun) })
	byID := p.arrivals()
	fmt.Fprintln(p.record, "served: id daemon sent ended server")
	fmt.Fprintln(p.record, "other: id path daemon begun sent ended status signed error | server arrived whole begun takes ended left")
	for _, r := range results {
		arrivals := byID[r.id]
		if r.signed && len(arrivals) == 1 {
			fmt.Fprintf(p.record, "%s %s %s %s %s\n", r.id, r.daemon, p.at(r.sent), p.at(r.ended), arrivals[0].server)
			continue
		}
		fmt.Fprintf(p.record, "%s %s %s %s %s %s %d %v %q", r.id, r.path, r.daemon, p.at(r.begun), p.at(r.sent), p.at(r.ended), r.status, r.signed, errorText(r))
		for _, a := range arrivals {
			fmt.Fprintf(p.record, " | %s %s %v %s %v %s %v", a.server, p.at(a.arrived), a.whole, p.at(a.begun), a.takes.Round(time.Millisecond), p.at(a.ended), a.left)
		}
		fmt.Fprintln(p.record)
	}
}

func errorText(r result) string {
	if r.err != nil {
		return r.err.Error()
	}
	return r.reason
}
