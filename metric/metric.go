// Package metric gives the metrics of a process, by tally, in the Prometheus
// text format.
package metric

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/briarrouter/briarrouter/kernel"
	client "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// ServiceName is the name of the Registry in the kernel.
const ServiceName kernel.Name = "metric"

// reportEvery is the time between two reports of tally to its reporter.
const reportEvery = time.Second

// latencyBuckets bounds the buckets of latencies in seconds: from the time that
// a daemon adds to the longest deadlines of callers.
var latencyBuckets = []float64{0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.6, 1, 1.5, 2.5, 5, 10}

// Registry holds the metrics of a process.
type Registry struct {
	scope    tally.Scope
	closer   io.Closer
	reporter prometheus.Reporter
}

// New returns a registry without metrics.
func New() *Registry {
	own := client.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{
		Registerer: own, Gatherer: own, DefaultTimerType: prometheus.HistogramTimerType, DefaultHistogramBuckets: latencyBuckets,
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 "briarrouter",
		CachedReporter:         reporter,
		Separator:              prometheus.DefaultSeparator,
		SanitizeOptions:        &prometheus.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}, reportEvery)
	return &Registry{scope: scope, closer: closer, reporter: reporter}
}

// Scope is where the services make their metrics.
func (r *Registry) Scope() tally.Scope { return r.scope }

// Handler writes the metrics.
func (r *Registry) Handler() http.Handler { return r.reporter.HTTPHandler() }

// Start does nothing: metrics can be made at any time.
func (r *Registry) Start(context.Context, *kernel.Kernel) error { return nil }

// Stop reports the last values.
func (r *Registry) Stop(context.Context) error { return r.closer.Close() }

// State returns nothing: the metrics have an address of their own.
func (r *Registry) State() any { return nil }
