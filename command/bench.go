package command

import (
	"fmt"
	"os"
	"text/tabwriter"

	"github.com/briarrouter/briarrouter/answers"
	"github.com/briarrouter/briarrouter/bench"
	"github.com/briarrouter/briarrouter/configuration"
)

// benchCommand implements the subcommand that measures the load-balancing policy
// in a simulation with virtual time.
type benchCommand struct {
	streams  streams
	Answers  string   `long:"answers" value-name:"FILE" required:"yes" description:"questionnaire answers (INI)"`
	Service  string   `long:"service" value-name:"NAME" description:"service to measure (default: all)"`
	Runs     int      `long:"runs" value-name:"N" default:"100" description:"number of simulations that measure detection"`
	Hours    float64  `long:"hours" value-name:"N" default:"20" description:"simulated target-hours in which false ejections are counted"`
	Seed     uint64   `long:"seed" value-name:"N" default:"1" description:"random seed of the simulation"`
	Measures []string `long:"measure" choice:"detection" choice:"ejections" choice:"peak" choice:"waiting" choice:"flapping" choice:"probes" description:"measurement to run; may be repeated (default: all)"`
	Plot     string   `long:"plot" value-name:"FILE" description:"file for a plot of detection against false ejections (.svg or .png)"`
}

// Execute runs the measurements of each service and prints them as a table.
func (b *benchCommand) Execute([]string) error {
	benches, err := b.benches()
	if err != nil {
		return err
	}
	table := tabwriter.NewWriter(b.streams.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "Service\tMeasure\tBalancer\tResult\tGoal\t")
	for _, serviceBench := range benches {
		for _, f := range serviceBench.Run(b.Measures...) {
			fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\n", f.Service, f.Measure, f.Balancer, f.Value, f.Goal, verdict(f))
		}
	}
	if err := table.Flush(); err != nil {
		return err
	}
	if b.Plot == "" {
		return nil
	}
	return bench.Plot(b.Plot, benches)
}

func verdict(f bench.Figure) string {
	switch {
	case f.Goal == "":
		return ""
	case f.Met:
		return "met"
	default:
		return "NOT MET"
	}
}

// benches returns a bench for each selected service.
func (b *benchCommand) benches() ([]bench.Bench, error) {
	data, err := os.ReadFile(b.Answers)
	if err != nil {
		return nil, err
	}
	q, err := answers.Parse(b.Answers, data)
	if err != nil {
		return nil, invalidInputError(err)
	}
	snapshot, err := configuration.INI{}.Compose(q.Derive(1))
	if err != nil {
		return nil, invalidInputError(err)
	}
	var list []bench.Bench
	for _, s := range q.Services {
		if b.Service != "" && string(s.Name) != b.Service {
			continue
		}
		serviceBench := bench.New(s, snapshot.Services[s.Name])
		serviceBench.DetectionRuns, serviceBench.TargetHours, serviceBench.Seed = b.Runs, b.Hours, b.Seed
		list = append(list, serviceBench)
	}
	return list, nil
}
