package bench

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/briarrouter/briarrouter/answers"
	"github.com/briarrouter/briarrouter/configuration"
	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"
)

// benches returns the benchmark of the first service of each example, with few
// runs.
func benches(t testing.TB) []Bench {
	var list []Bench
	for _, c := range []struct {
		file    string
		service int
	}{{"../examples/agency.ini", 0}, {"../examples/asociacion.ini", 0}} {
		data, err := os.ReadFile(c.file)
		require.NoError(t, err)
		q, err := answers.Parse(c.file, data)
		require.NoError(t, err)
		snapshot, err := configuration.INI{}.Compose(q.Derive(1))
		require.NoError(t, err)
		s := q.Services[c.service]
		b := New(s, snapshot.Services[s.Name])
		b.DetectionRuns, b.TargetHours = 10, 3
		list = append(list, b)
	}
	return list
}

// TestGoals runs all measures with fixed seeds. It checks each figure against
// its goal, and all figures against the golden file.
func TestGoals(t *testing.T) {
	if testing.Short() {
		t.Skip("simulates hours of load; run without -short")
	}
	var out strings.Builder
	for _, b := range benches(t) {
		for _, f := range b.Run() {
			fmt.Fprintf(&out, "%-13s %-38s %-36s %-60s %s\n", f.Service, f.Measure, f.Balancer, f.Value, f.Goal)
			if f.Goal != "" {
				require.True(t, f.Met, "%s, %s: %s, goal %s", f.Service, f.Measure, f.Value, f.Goal)
			}
		}
	}
	goldie.New(t).Assert(t, "goals", []byte(out.String()))
}

// BenchmarkPolicy runs all measures of each service and logs the figures.
func BenchmarkPolicy(b *testing.B) {
	for _, bench := range benches(b) {
		b.Run(bench.Name, func(b *testing.B) {
			for range b.N {
				for _, f := range bench.Run() {
					b.Log(f.Measure, f.Balancer, f.Value, f.Goal)
				}
			}
		})
	}
}
