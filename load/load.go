// Package load generates open-loop load against a fleet of daemons and checks
// the responses against what the targets recorded. Callers don't slow down when
// the fleet is overloaded, and they retry requests without a final result.
package load

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/briarrouter/briarrouter/answers"
	"github.com/briarrouter/briarrouter/id"
	"github.com/sourcegraph/conc"
)

// Config configures a Generator.
type Config struct {
	// Questionnaire gives the services and their requests.
	Questionnaire answers.Questionnaire
	// BootstrapAddresses is the addresses of daemons at which callers bootstrap, before
	// they have been told which addresses to use.
	BootstrapAddresses []id.Address
	// Rate is the requests per second outside of the load peak.
	Rate float64
	// PeakFactor is the factor of the rate during the load peak, the middle third of
	// Duration.
	PeakFactor float64
	// Duration is how long new requests arrive.
	Duration time.Duration
	// LongShare and UnsafeShare are the shares of long and of non-idempotent
	// requests.
	LongShare, NonIdempotentShare float64
	// ShortTime and LongTime are the mean service times.
	ShortTime, LongTime time.Duration
	// MaxRetries bounds the retries of a request whose attempts gave no final
	// result.
	MaxRetries int
	Seed       uint64
}

// Generator generates the load of one run.
type Generator struct {
	cfg    Config
	client *http.Client
	// resolvers holds the address resolver of each client account.
	resolvers []*addressResolver
	random    *rand.Rand
	// byClass lists the kinds of request of each class.
	byClass map[Class][]requestKind
	report  *Report
	// lastNumber is the number of the last request.
	lastNumber atomic.Uint64
}

// Class groups requests in the report.
type Class string

const (
	Short         Class = "short"
	Long          Class = "long"
	NonIdempotent Class = "unrepeatable"
)

// Classes lists the classes in the order of the report's rows.
var Classes = []Class{Short, Long, NonIdempotent}

// requestKind is a route that requests can be drawn for.
type requestKind struct {
	service id.Service
	request answers.Request
	// weight is the number of slots of the service, so that load is proportional
	// to capacity.
	weight float64
}

// accounts is the number of client accounts that requests are sent for.
const accounts = 50

const (
	dialTimeout      = time.Second
	maxIdlePerDaemon = 256
)

// New returns a generator that has not started.
func New(cfg Config) *Generator {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: maxIdlePerDaemon,
		DisableCompression:  true,
	}
	client := &http.Client{Transport: transport}
	g := &Generator{
		cfg:     cfg,
		client:  client,
		random:  rand.New(rand.NewPCG(cfg.Seed, 0)),
		byClass: make(map[Class][]requestKind),
		report:  newReport(),
	}
	for i := range accounts {
		g.resolvers = append(g.resolvers, newAddressResolver(client, cfg.BootstrapAddresses, cfg.Seed+uint64(i)))
	}
	for _, s := range cfg.Questionnaire.Services {
		for _, r := range s.Requests {
			class := classOf(r)
			g.byClass[class] = append(g.byClass[class], requestKind{service: s.Name, request: r, weight: float64(s.TotalSlots())})
		}
	}
	return g
}

func classOf(r answers.Request) Class {
	switch {
	case !r.MayRepeat:
		return NonIdempotent
	case r.RunsLong:
		return Long
	default:
		return Short
	}
}

// Run generates the load, waits for the last request and returns the report.
func (g *Generator) Run(ctx context.Context) *Report {
	var group conc.WaitGroup
	started := time.Now()
	for due := started; due.Sub(started) < g.cfg.Duration && ctx.Err() == nil; {
		interarrival := g.random.ExpFloat64() / g.rate(due.Sub(started))
		due = due.Add(time.Duration(interarrival * float64(time.Second)))
		time.Sleep(time.Until(due))
		a := g.nextArrival(due)
		group.Go(func() { a.run(ctx) })
	}
	group.Wait()
	g.report.Elapsed = time.Since(started)
	return g.report
}

// rate returns the requests per second at the given time since the start.
func (g *Generator) rate(at time.Duration) float64 {
	if third := g.cfg.Duration / 3; at >= third && at < 2*third {
		return g.cfg.Rate * g.cfg.PeakFactor
	}
	return g.cfg.Rate
}

// nextArrival draws the next request.
func (g *Generator) nextArrival(due time.Time) *arrival {
	class := g.drawClass()
	kind := g.drawKind(g.byClass[class])
	mean := g.cfg.ShortTime
	if class == Long {
		mean = g.cfg.LongTime
	}
	number := g.lastNumber.Add(1)
	return &arrival{
		generator: g,
		due:       due,
		number:    number,
		resolver:  g.resolvers[number%accounts],
		class:     class,
		kind:      kind,
		cost:      time.Duration(g.random.ExpFloat64() * float64(mean)),
		size:      responseSizes[g.random.IntN(len(responseSizes))],
	}
}

// responseSizes is the response sizes to draw from, in bytes. The largest
// exceeds what a daemon buffers, so that it streams the response.
var responseSizes = []int{0, 0, 0, 0, 2 << 10, 2 << 10, 20 << 10, 400 << 10}

// drawClass draws a class by the shares of the configuration.
func (g *Generator) drawClass() Class {
	x := g.random.Float64()
	switch {
	case x < g.cfg.LongShare && len(g.byClass[Long]) > 0:
		return Long
	case x > 1-g.cfg.NonIdempotentShare && len(g.byClass[NonIdempotent]) > 0:
		return NonIdempotent
	default:
		return Short
	}
}

// drawKind draws one of the kinds by weight.
func (g *Generator) drawKind(kinds []requestKind) requestKind {
	total := 0.0
	for _, k := range kinds {
		total += k.weight
	}
	x := g.random.Float64() * total
	for _, k := range kinds {
		if x -= k.weight; x < 0 {
			return k
		}
	}
	return kinds[len(kinds)-1]
}
