package command

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/briarrouter/briarrouter/standin"
	"github.com/sourcegraph/conc"
)

// standinPlatformCommand implements the subcommand that runs a stand-in for the
// platform.
type standinPlatformCommand struct {
	streams streams
	Listen  string `long:"listen" value-name:"ADDRESS" required:"yes" description:"address for the daemons, which read the values"`
	Control string `long:"control" value-name:"ADDRESS" required:"yes" description:"control address, where a test publishes values and injects faults"`
	Rate    int    `long:"rate" value-name:"N" default:"2000" description:"maximum number of calls per second"`
}

// Execute runs the stand-in until SIGINT or SIGTERM.
func (s *standinPlatformCommand) Execute([]string) error {
	p := standin.NewPlatform(standin.PlatformConfig{Rate: s.Rate})
	return serveHTTP([]endpoint{{s.Listen, p.Handler()}, {s.Control, p.Control()}})
}

// standinTargetCommand implements the subcommand that runs a stand-in for a target.
type standinTargetCommand struct {
	streams   streams
	Listen    string        `long:"listen" value-name:"ADDRESS" required:"yes" description:"address for requests"`
	Control   string        `long:"control" value-name:"ADDRESS" required:"yes" description:"control address, where a test sets faults and reads the recorded runs"`
	Slots     int           `long:"slots" value-name:"N" default:"2" description:"number of requests that run at the same time"`
	Backlog   int           `long:"backlog" value-name:"N" default:"2" description:"number of requests that may wait for a slot"`
	ColdStart time.Duration `long:"cold" value-name:"DURATION" default:"0s" description:"time until the target reaches its full speed"`
	ProbeTime time.Duration `long:"probe-cost" value-name:"DURATION" default:"25ms" description:"time that a health probe takes"`
	Record    string        `long:"record" value-name:"FILE" description:"file that gets a line for each run"`
	Seed      uint64        `long:"seed" value-name:"N" default:"1" description:"random seed of the faults"`
}

// Execute runs the stand-in until SIGINT or SIGTERM.
func (s *standinTargetCommand) Execute([]string) error {
	cfg := standin.TargetConfig{Slots: s.Slots, Backlog: s.Backlog, ColdStart: s.ColdStart, ProbeTime: s.ProbeTime, Seed: s.Seed}
	if s.Record != "" {
		record, err := os.OpenFile(s.Record, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
		if err != nil {
			return fmt.Errorf("standin: %w", err)
		}
		defer record.Close()
		cfg.Record = record
	}
	t := standin.NewTarget(cfg)
	return serveHTTP([]endpoint{{s.Listen, t.Handler()}, {s.Control, t.Control()}})
}

// endpoint is an address and the handler of its requests.
type endpoint struct {
	address string
	handler http.Handler
}

// listener serves one endpoint.
type listener struct {
	net.Listener
	server *http.Server
}

func (l *listener) run() {
	if err := l.server.Serve(l.Listener); !errors.Is(err, http.ErrServerClosed) {
		fmt.Fprintln(os.Stderr, "briarrouter:", err)
	}
}

// serveHTTP serves the endpoints until SIGINT or SIGTERM.
func serveHTTP(endpoints []endpoint) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	var group conc.WaitGroup
	defer group.Wait()
	for _, e := range endpoints {
		bound, err := net.Listen("tcp", e.address)
		if err != nil {
			return fmt.Errorf("standin: %w", err)
		}
		l := &listener{Listener: bound, server: &http.Server{Handler: e.handler, ReadHeaderTimeout: readHeaderTimeout}}
		defer l.server.Close()
		group.Go(l.run)
	}
	<-ctx.Done()
	return nil
}

const readHeaderTimeout = 10 * time.Second
