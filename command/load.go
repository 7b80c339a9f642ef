package command

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/briarrouter/briarrouter/answers"
	"github.com/briarrouter/briarrouter/id"
	"github.com/briarrouter/briarrouter/load"
	"github.com/briarrouter/briarrouter/operator"
)

// loadCommand implements the subcommand that sends load to a fleet.
type loadCommand struct {
	streams            streams
	Answers            string        `long:"answers" value-name:"FILE" required:"yes" description:"questionnaire answers (INI), which list the services and their requests"`
	BootstrapAddresses []string      `long:"entry" value-name:"ADDRESS" required:"yes" description:"callers' address of a daemon; may be repeated"`
	Operators          []string      `long:"operator" value-name:"ADDRESS" description:"operators' address of a daemon whose configuration in force is compared at the end; may be repeated"`
	Records            string        `long:"records" value-name:"DIR" description:"directory in which the target stand-ins record their runs"`
	Rate               float64       `long:"rate" value-name:"N" default:"300" description:"requests per second outside the middle third of the duration"`
	PeakFactor         float64       `long:"swing" value-name:"X" default:"1" description:"factor that multiplies the rate in the middle third of the duration"`
	Duration           time.Duration `long:"duration" value-name:"DURATION" default:"15s" description:"how long requests are sent"`
	LongShare          float64       `long:"long" value-name:"SHARE" default:"0.05" description:"share of long requests"`
	NonIdempotentShare float64       `long:"unrepeatable" value-name:"SHARE" default:"0.2" description:"share of non-idempotent requests"`
	ShortTime          time.Duration `long:"short-time" value-name:"DURATION" default:"20ms" description:"mean service time of short requests"`
	LongTime           time.Duration `long:"long-time" value-name:"DURATION" default:"400ms" description:"mean service time of long requests"`
	MaxRetries         int           `long:"repeats" value-name:"N" default:"2" description:"maximum number of retries of a request with an unknown outcome or without a response, or of an idempotent one that did not run"`
	Seed               uint64        `long:"seed" value-name:"N" default:"1" description:"random seed of the load"`
}

// Execute sends the load, prints the report, and checks the guarantees of the
// system, each of which is a load.Promise.
func (l *loadCommand) Execute([]string) error {
	data, err := os.ReadFile(l.Answers)
	if err != nil {
		return err
	}
	q, err := answers.Parse(l.Answers, data)
	if err != nil {
		return invalidInputError(err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	report := load.New(l.config(q)).Run(ctx)
	report.Write(l.streams.out)
	promises, err := l.checkPromises(report)
	if err != nil {
		return err
	}
	return l.printPromises(promises)
}

func (l *loadCommand) config(q answers.Questionnaire) load.Config {
	cfg := load.Config{
		Questionnaire: q, Rate: l.Rate, PeakFactor: l.PeakFactor, Duration: l.Duration,
		LongShare: l.LongShare, NonIdempotentShare: l.NonIdempotentShare, ShortTime: l.ShortTime, LongTime: l.LongTime,
		MaxRetries: l.MaxRetries, Seed: l.Seed,
	}
	for _, address := range l.BootstrapAddresses {
		cfg.BootstrapAddresses = append(cfg.BootstrapAddresses, id.Address(address))
	}
	return cfg
}

func (l *loadCommand) checkPromises(report *load.Report) ([]load.Promise, error) {
	var promises []load.Promise
	if l.Records != "" {
		runs, err := readRecords(l.Records)
		if err != nil {
			return nil, err
		}
		promises = report.CheckPromises(runs)
	}
	if len(l.Operators) > 0 {
		promises = append(promises, l.checkVersions())
	}
	return promises, nil
}

// readRecords counts the runs by work id, the id that identifies a request. The
// target stand-ins record each run as a line with this id.
func readRecords(dir string) (map[string]int, error) {
	files, err := filepath.Glob(filepath.Join(dir, "*"))
	if err != nil {
		return nil, err
	}
	runs := make(map[string]int)
	for _, file := range files {
		f, err := os.Open(file)
		if err != nil {
			return nil, err
		}
		for lines := bufio.NewScanner(f); lines.Scan(); {
			runs[lines.Text()]++
		}
		f.Close()
	}
	return runs, nil
}

// checkVersions checks that the daemons have the same configuration version in
// force. Daemons that do not respond are left out; if none responds, the check
// fails.
func (l *loadCommand) checkVersions() load.Promise {
	versions := make(map[string]int)
	responding := 0
	for _, address := range l.Operators {
		if v, err := versionInForce(address); err == nil {
			versions[v]++
			responding++
		}
	}
	return load.Promise{
		Text:     "one accepted configuration is in force everywhere",
		Kept:     len(versions) == 1,
		Observed: fmt.Sprintf("%d daemons responded, daemons by version: %v", responding, versions),
	}
}

// versionInForce reads the configuration version from the dump of a daemon.
func versionInForce(address string) (string, error) {
	client := &http.Client{Timeout: dumpTimeout}
	resp, err := client.Get("http://" + address + operator.DumpPath)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	var states []struct {
		Name  string
		State struct{ Version id.ConfigVersion }
	}
	if err := json.NewDecoder(resp.Body).Decode(&states); err != nil {
		return "", err
	}
	for _, s := range states {
		if s.Name == "configuration" {
			return s.State.Version.String(), nil
		}
	}
	return "", errors.New("dump has no state of the configuration service")
}

// printPromises prints whether each promise was kept, and returns an error if one
// was broken.
func (l *loadCommand) printPromises(promises []load.Promise) error {
	broken := 0
	for _, p := range promises {
		verdict := "kept  "
		if !p.Kept {
			verdict = "BROKEN"
			broken++
		}
		fmt.Fprintf(l.streams.out, "%s  %s (%s)\n", verdict, p.Text, p.Observed)
	}
	if broken > 0 {
		return exitError{fmt.Errorf("load: %d promises broken", broken), exitPromiseBroken}
	}
	return nil
}
