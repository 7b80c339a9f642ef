// Package load generates open-loop load against a fleet of daemons and checks
// the responses against what the targets recorded. Callers don't slow down when
// the fleet is overloaded, and they retry requests without a final verdict.
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

type Config struct {
	// Questionnaire gives the services and their requests.
	Questionnaire answers.Questionnaire
	// BootstrapAddresses lists the daemons that callers ask for addresses if they
	// know no others or none of the others responds.
	BootstrapAddresses []id.Address
	// Rate is the arrival rate outside of the load peak, in requests per second.
	Rate float64
	// PeakFactor multiplies Rate during the load peak, the middle third of
	// Duration.
	PeakFactor float64
	// Duration is how long new requests arrive.
	Duration time.Duration
	// LongShare and NonIdempotentShare are the shares of long and of
	// non-idempotent requests.
	LongShare, NonIdempotentShare float64
	// LongTime is the mean service time of requests of the class Long, ShortTime
	// that of all others.
	ShortTime, LongTime time.Duration
	// MaxRetries bounds the retries of a request whose verdict is not final.
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
	// kindsByClass lists the kinds of request of each class.
	kindsByClass map[Class][]requestKind
	report       *Report
	// lastNumber is the number of the last request.
	lastNumber atomic.Uint64
}

// Class groups requests in the report.
type Class string

const (
	// Short and Long requests are idempotent.
	Short Class = "short"
	Long  Class = "long"
	// NonIdempotent requests, short or long, are called "unrepeatable" in the
	// report and in work ids.
	NonIdempotent Class = "unrepeatable"
)

// Classes lists the classes in the order of the report's rows.
var Classes = []Class{Short, Long, NonIdempotent}

// requestKind is a route that requests can be drawn for.
type requestKind struct {
	service id.Service
	request answers.Request
	// weight is the number of slots of the service: the routes of a larger service
	// get more requests.
	weight float64
}

// accounts is the number of client accounts that requests are sent for.
const accounts = 50

const (
	dialTimeout      = time.Second
	maxIdlePerDaemon = 256
)

func New(cfg Config) *Generator {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: maxIdlePerDaemon,
		DisableCompression:  true,
	}
	client := &http.Client{Transport: transport}
	g := &Generator{
		cfg:          cfg,
		client:       client,
		random:       rand.New(rand.NewPCG(cfg.Seed, 0)),
		kindsByClass: make(map[Class][]requestKind),
		report:       newReport(),
	}
	for i := range accounts {
		g.resolvers = append(g.resolvers, newAddressResolver(client, cfg.BootstrapAddresses, cfg.Seed+uint64(i)))
	}
	for _, s := range cfg.Questionnaire.Services {
		for _, r := range s.Requests {
			class := classOf(r)
			g.kindsByClass[class] = append(g.kindsByClass[class], requestKind{service: s.Name, request: r, weight: float64(s.TotalSlots())})
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
	kind := g.drawKind(g.kindsByClass[class])
	mean := g.cfg.ShortTime
	if class == Long {
		mean = g.cfg.LongTime
	}
	number := g.lastNumber.Add(1)
	return &arrival{
		generator:    g,
		due:          due,
		number:       number,
		resolver:     g.resolvers[number%accounts],
		class:        class,
		kind:         kind,
		serviceTime:  time.Duration(g.random.ExpFloat64() * float64(mean)),
		responseSize: responseSizes[g.random.IntN(len(responseSizes))],
	}
}

// responseSizes lists the response sizes to draw from, in bytes. The largest
// exceeds the default of the setting AnswerBuffer, so that daemons stream such a
// response.
var responseSizes = []int{0, 0, 0, 0, 2 << 10, 2 << 10, 20 << 10, 400 << 10}

// drawClass draws a class by the shares in Config. The share of a class that no
// service has goes to Short.
func (g *Generator) drawClass() Class {
	x := g.random.Float64()
	switch {
	case x < g.cfg.LongShare && len(g.kindsByClass[Long]) > 0:
		return Long
	case x > 1-g.cfg.NonIdempotentShare && len(g.kindsByClass[NonIdempotent]) > 0:
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
