package command

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/briarrouter/briarrouter/soak"
)

// soakCommand implements the subcommand that injects random faults into a fleet of
// processes.
type soakCommand struct {
	streams   streams
	Seed      uint64        `long:"seed" value-name:"N" default:"1" description:"random seed of the faults"`
	Seeds     int           `long:"seeds" value-name:"N" default:"1" description:"number of successive seeds to run"`
	Cases     string        `long:"cases" value-name:"FILE" description:"runs the cases of a file instead; each line has a seed, a duration and the reason for the case"`
	Duration  time.Duration `long:"span" value-name:"DURATION" default:"30s" description:"how long faults are injected for each seed"`
	Daemons   int           `long:"daemons" value-name:"N" default:"6" description:"number of daemon processes"`
	Targets   int           `long:"targets" value-name:"N" description:"number of targets of each of the three services (default: 5, or 8 with --stops)"`
	Callers   int           `long:"callers" value-name:"N" description:"number of callers (default: 12, or 160 with --stops)"`
	Pause     time.Duration `long:"pause" value-name:"DURATION" description:"mean time between two requests of a caller (default: 60ms, or 250ms with --stops)"`
	Stops     bool          `long:"stops" description:"plans work instead of faults: stops, changed settings, configurations, targets that leave and join"`
	RunShare  float64       `long:"run-share" value-name:"SHARE" description:"share of the time in which the daemons may run (default: all of it)"`
	Program   string        `long:"program" value-name:"FILE" description:"program under test (default: this one)"`
	Directory string        `long:"directory" value-name:"DIR" description:"directory for settings and logs (default: a temporary directory, removed unless a promise is broken)"`
}

// Execute runs the cases one after the other and reports broken promises.
func (c *soakCommand) Execute([]string) error {
	program := c.Program
	if program == "" {
		var err error
		if program, err = os.Executable(); err != nil {
			return err
		}
	}
	if err := c.setDefaults(); err != nil {
		return invalidInputError(err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	cases, err := c.cases()
	if err != nil {
		return invalidInputError(err)
	}
	broken := 0
	for _, sc := range cases {
		kept, err := c.run(ctx, program, sc)
		if err != nil {
			return err
		}
		if !kept {
			broken++
		}
	}
	if broken > 0 {
		return exitError{fmt.Errorf("promises broken with %d of %d seeds", broken, len(cases)), exitPromiseBroken}
	}
	return nil
}

// The load without and with planned work.
const (
	defaultTargets, defaultCallers, defaultPause = 5, 12, 60 * time.Millisecond
	plannedTargets, plannedCallers, plannedPause = 8, 160, 250 * time.Millisecond
)

// setDefaults sets the options whose defaults depend on others, and checks the rest.
func (c *soakCommand) setDefaults() error {
	targets, callers, pause := defaultTargets, defaultCallers, defaultPause
	if c.Stops {
		targets, callers, pause = plannedTargets, plannedCallers, plannedPause
	}
	if c.Targets == 0 {
		c.Targets = targets
	}
	if c.Callers == 0 {
		c.Callers = callers
	}
	if c.Pause == 0 {
		c.Pause = pause
	}
	if c.RunShare < 0 || c.RunShare >= 1 {
		return fmt.Errorf("invalid run-share %g; accepted: at least 0 and less than 1", c.RunShare)
	}
	return nil
}

// soakCase holds the seed of a soak and how long faults are injected.
type soakCase struct {
	seed     uint64
	duration time.Duration
}

// cases returns the cases of the file. If no file is given, it returns a case for
// each of the successive seeds.
func (c *soakCommand) cases() ([]soakCase, error) {
	var list []soakCase
	if c.Cases == "" {
		for n := range c.Seeds {
			list = append(list, soakCase{c.Seed + uint64(n), c.Duration})
		}
		return list, nil
	}
	data, err := os.ReadFile(c.Cases)
	if err != nil {
		return nil, err
	}
	for n, line := range strings.Split(string(data), "\n") {
		fields := strings.Fields(line)
		if len(fields) == 0 || strings.HasPrefix(fields[0], "#") {
			continue
		}
		parsed, err := parseCase(fields)
		if err != nil {
			return nil, fmt.Errorf("%s:%d: %w", c.Cases, n+1, err)
		}
		list = append(list, parsed)
	}
	return list, nil
}

// parseCase reads a seed, a duration, and the reason for keeping the case. The
// reason is required, but not stored.
func parseCase(fields []string) (soakCase, error) {
	const accepted = "accepted: a seed, a duration such as 10s, and the reason for the case"
	if len(fields) < 3 {
		return soakCase{}, errors.New("fewer than three fields; " + accepted)
	}
	seed, err := strconv.ParseUint(fields[0], 10, 64)
	if err != nil {
		return soakCase{}, fmt.Errorf("invalid seed %q; %s", fields[0], accepted)
	}
	duration, err := time.ParseDuration(fields[1])
	if err != nil || duration <= 0 {
		return soakCase{}, fmt.Errorf("invalid duration %q; %s", fields[1], accepted)
	}
	return soakCase{seed, duration}, nil
}

// run runs one case and reports whether every promise was kept. It removes the
// directory of the case only if that is a temporary one and the run neither failed
// nor broke a promise.
func (c *soakCommand) run(ctx context.Context, program string, sc soakCase) (bool, error) {
	seed, dir := sc.seed, c.Directory
	var err error
	if dir == "" {
		if dir, err = os.MkdirTemp("", "soak"); err != nil {
			return false, err
		}
	} else if dir = filepath.Join(dir, fmt.Sprint(seed)); os.MkdirAll(dir, 0o700) != nil {
		return false, fmt.Errorf("cannot create directory %s", dir)
	}
	out, err := os.Create(filepath.Join(dir, "faults.log"))
	if err != nil {
		return false, err
	}
	defer out.Close()
	report, err := soak.New(soak.Config{
		Program: program, Directory: dir, Seed: seed, Duration: sc.duration, Daemons: c.Daemons, Targets: c.Targets, Callers: c.Callers, Pause: c.Pause, PlannedWork: c.Stops, RunShare: c.RunShare, Out: out,
	}).Run(ctx)
	if err != nil {
		return false, errors.Join(err, fmt.Errorf("logs are in %s", dir))
	}
	fmt.Fprintf(c.streams.out, "seed %d: %s\n", seed, report)
	for _, violation := range report.Violations {
		fmt.Fprintf(c.streams.out, "  %s\n", violation)
	}
	if len(report.Violations) > 0 {
		fmt.Fprintf(c.streams.out, "  logs are in %s\n", dir)
		return false, nil
	}
	if c.Directory == "" {
		return true, os.RemoveAll(dir)
	}
	return true, nil
}
