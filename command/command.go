// Package command implements the command line of briarrouter.
package command

import (
	"errors"
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"
)

const (
	exitOK = 0
	// exitFailed means that the command failed for a reason that has no exit code
	// of its own.
	exitFailed = 1
	// exitUsage means that the command line is invalid.
	exitUsage = 2
	// exitInvalid means that an input file is invalid.
	exitInvalid = 3
	// exitPromiseBroken means that a load or soak test saw the system break a
	// guarantee: a load.Promise or a soak.Promise.
	exitPromiseBroken = 4
)

const exitCodes = `Exit codes: 0 success; 1 failure; 2 invalid command line; 3 invalid input file; 4 a load or soak test saw a broken promise.`

// exitError is an error that sets the exit code of the process.
type exitError struct {
	error
	code int
}

func (e exitError) Unwrap() error { return e.error }

func invalidInputError(err error) error { return exitError{err, exitInvalid} }

// streams holds the standard output and standard error of a command.
type streams struct{ out, err io.Writer }

// Run runs the subcommand given by the arguments and returns the exit code.
func Run(args []string, out, errOut io.Writer) int {
	std := streams{out, errOut}
	parser := flags.NewNamedParser("briarrouter", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = "A fleet of proxy daemons for targets with gray failures: targets that are up but slow or respond with errors.\n\n" + exitCodes
	addCommands(parser, std)
	_, err := parser.ParseArgs(args)
	return exitCode(err, std)
}

func exitCode(err error, std streams) int {
	var flagErr *flags.Error
	var withCode exitError
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &flagErr) && flagErr.Type == flags.ErrHelp:
		fmt.Fprintln(std.out, flagErr.Message)
		return exitOK
	case errors.As(err, &flagErr):
		fmt.Fprintln(std.err, "briarrouter:", flagErr.Message)
		return exitUsage
	}
	fmt.Fprintln(std.err, "briarrouter:", err)
	if errors.As(err, &withCode) {
		return withCode.code
	}
	return exitFailed
}

// mustAdd panics on an error of AddCommand, which only a programming error
// causes.
func mustAdd(c *flags.Command, err error) *flags.Command {
	if err != nil {
		panic(err)
	}
	return c
}

func addCommands(parser *flags.Parser, std streams) {
	mustAdd(parser.AddCommand("serve", "Run a daemon",
		"Runs a daemon until SIGTERM or SIGINT. It then leaves the fleet and completes the requests in progress.\n\n"+
			"Example:\n  briarrouter serve --settings /etc/briarrouter.ini\n\n"+exitCodes, &serveCommand{streams: std}))
	mustAdd(parser.AddCommand("generate", "Generate a configuration from questionnaire answers",
		"Derives a configuration from the answers to the questionnaire (the deployment description), with the reason for each value.\n\n"+
			"Examples:\n  briarrouter generate --answers examples/agency.ini\n"+
			"  briarrouter generate --answers examples/agency.ini --previous inforce --out next\n\n"+exitCodes, &generateCommand{streams: std}))
	mustAdd(parser.AddCommand("check", "Validate files",
		"Validates settings, questionnaire answers and configurations, and reports every problem. For a configuration in the format of the platform's store, it also reports what can never take effect, limits that contradict each other and, with --in-force, what changes for callers.\n\n"+
			"Examples:\n  briarrouter check --answers examples/agency.ini --settings daemon.ini\n"+
			"  briarrouter check --configuration next.json --in-force current.json\n\n"+exitCodes, &checkCommand{streams: std}))
	mustAdd(parser.AddCommand("dump", "Show the state of a daemon",
		"Shows the whole state of a daemon: configuration, membership, targets with the reason for their state, queues, quarantined requests, idempotency keys.\n\n"+
			"Example:\n  briarrouter dump --address 127.0.0.1:7002\n\n"+exitCodes, &dumpCommand{streams: std}))
	mustAdd(parser.AddCommand("load", "Send load to a fleet",
		"Sends open-loop load with a peak in the middle, and reports how many requests ran, did not run, have an unknown outcome or got a broken response.\n\n"+
			"Example:\n  briarrouter load --answers examples/agency.ini --entry 127.0.0.1:7000 --rate 300 --swing 3\n\n"+exitCodes, &loadCommand{streams: std}))
	mustAdd(parser.AddCommand("bench", "Measure load balancing in a simulation",
		"Simulates the targets of each service in virtual time, and measures failure detection, false ejections, service at peak load, waiting times and flapping, compared with baselines.\n\n"+
			"Example:\n  briarrouter bench --answers examples/agency.ini --service reservations --plot curve.svg", &benchCommand{streams: std}))
	mustAdd(parser.AddCommand("soak", "Inject random faults into a fleet of processes",
		"Runs daemons as separate processes behind loopback proxies; kills, pauses and stops the daemons, and delays, cuts and resets their connections, in a random order given by a seed; and checks what callers and targets see.\n\n"+
			"Example:\n  briarrouter soak --seed 1 --seeds 50\n\n"+exitCodes, &soakCommand{streams: std}))
	standin := mustAdd(parser.AddCommand("standin", "Run a stand-in for an external system",
		"Runs a small program that replaces an external system in a test.", &struct{}{}))
	mustAdd(standin.AddCommand("platform", "Run a stand-in for the platform",
		"Serves values that can be read and watched. Requests to the control address publish values and switch faults on and off.\n\n"+
			"Example:\n  briarrouter standin platform --listen 127.0.0.1:7000 --control 127.0.0.1:7001\n"+
			"  curl -X PUT 127.0.0.1:7001/faults/down", &standinPlatformCommand{streams: std}))
	mustAdd(standin.AddCommand("layout", "Prepare the files of a test fleet",
		"Finds free ports and writes the daemons' settings and the values that the platform publishes.\n\n"+
			"Example:\n  briarrouter standin layout --answers examples/agency.ini --daemons 8 --directory test-fleet", &standinLayoutCommand{streams: std}))
	mustAdd(standin.AddCommand("target", "Run a stand-in for a target",
		"Runs requests in a limited number of slots and records each run. Requests to the control address set faults.\n\n"+
			"Example:\n  briarrouter standin target --listen 127.0.0.1:7100 --control 127.0.0.1:7101 --slots 2\n"+
			`  curl -X PUT 127.0.0.1:7101/faults -d '{"Slow":5}'`, &standinTargetCommand{streams: std}))
}
