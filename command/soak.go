package command

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/briarrouter/briarrouter/soak"
)

// soakFleet is the command that brings random faults upon real processes.
type soakFleet struct {
	streams   streams
	Seed      uint64        `long:"seed" value-name:"N" default:"1" description:"seed of the faults"`
	Seeds     int           `long:"seeds" value-name:"N" default:"1" description:"how many seeds are played, one after the other"`
	Span      time.Duration `long:"span" value-name:"SPAN" default:"30s" description:"how long faults are brought about for each seed"`
	Daemons   int           `long:"daemons" value-name:"N" default:"6" description:"daemon processes"`
	Targets   int           `long:"targets" value-name:"N" default:"5" description:"targets of each of three services"`
	Callers   int           `long:"callers" value-name:"N" default:"12" description:"callers"`
	Pause     time.Duration `long:"pause" value-name:"SPAN" default:"60ms" description:"mean time between two requests of a caller"`
	Directory string        `long:"directory" value-name:"DIR" description:"where settings and logs are kept; a temporary one, removed unless a promise breaks, where it is not named"`
}

// Execute plays the seeds and tells what broke.
func (c *soakFleet) Execute([]string) error {
	program, err := os.Executable()
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	broken := 0
	for n := range c.Seeds {
		ok, err := c.play(ctx, program, c.Seed+uint64(n))
		if err != nil {
			return err
		}
		if !ok {
			broken++
		}
	}
	if broken > 0 {
		return coded{fmt.Errorf("promises broke with %d of %d seeds", broken, c.Seeds), exitBroken}
	}
	return nil
}

// play plays one seed, and tells whether every promise was kept.
func (c *soakFleet) play(ctx context.Context, program string, seed uint64) (bool, error) {
	dir := c.Directory
	var err error
	if dir == "" {
		if dir, err = os.MkdirTemp("", "soak"); err != nil {
			return false, err
		}
	} else if dir = filepath.Join(dir, fmt.Sprint(seed)); os.MkdirAll(dir, 0o700) != nil {
		return false, fmt.Errorf("directory %s cannot be made", dir)
	}
	out, err := os.Create(filepath.Join(dir, "faults.log"))
	if err != nil {
		return false, err
	}
	defer out.Close()
	report, err := soak.New(soak.Config{
		Program: program, Directory: dir, Seed: seed, Span: c.Span, Daemons: c.Daemons, Targets: c.Targets, Callers: c.Callers, Pause: c.Pause, Out: out,
	}).Run(ctx)
	if err != nil {
		return false, errors.Join(err, fmt.Errorf("logs are in %s", dir))
	}
	fmt.Fprintf(c.streams.out, "seed %d: %s\n", seed, report)
	for _, b := range report.Breaches {
		fmt.Fprintf(c.streams.out, "  %s\n", b)
	}
	if len(report.Breaches) > 0 {
		fmt.Fprintf(c.streams.out, "  logs are in %s\n", dir)
		return false, nil
	}
	if c.Directory == "" {
		return true, os.RemoveAll(dir)
	}
	return true, nil
}
