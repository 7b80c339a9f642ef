// Package metric collects the metrics of a process with tally and exposes them
// in the Prometheus text format.
package metric

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/briarrouter/briarrouter/kernel"
	promclient "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

const ServiceName kernel.Name = "metric"

// reportInterval is the interval at which tally passes the values to the
// Prometheus reporter.
const reportInterval = time.Second

// latencyBuckets holds the upper bounds of the buckets of the latency
// histograms, in seconds. The lowest is in the range of the latency that a
// daemon adds, the highest in that of the longest timeouts of callers.
var latencyBuckets = []float64{0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.6, 1, 1.5, 2.5, 5, 10}

// Registry holds the metrics of a process.
type Registry struct {
	scope    tally.Scope
	closer   io.Closer
	reporter prometheus.Reporter
}

func New() *Registry {
	registry := promclient.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{
		Registerer: registry, Gatherer: registry, DefaultTimerType: prometheus.HistogramTimerType, DefaultHistogramBuckets: latencyBuckets,
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 "briarrouter",
		CachedReporter:         reporter,
		Separator:              prometheus.DefaultSeparator,
		SanitizeOptions:        &prometheus.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Registry{scope: scope, closer: closer, reporter: reporter}
}

// Scope returns the scope in which the services create their metrics.
func (r *Registry) Scope() tally.Scope { return r.scope }

// Handler returns the handler of the metrics endpoint.
func (r *Registry) Handler() http.Handler { return r.reporter.HTTPHandler() }

// Start does nothing: metrics can be created before and after it.
func (r *Registry) Start(context.Context, *kernel.Kernel) error { return nil }

// Stop passes the values since the last report to the reporter.
func (r *Registry) Stop(context.Context) error { return r.closer.Close() }

// State returns nil: the metrics have an endpoint of their own.
func (r *Registry) State() any { return nil }
