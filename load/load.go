// Package load drives an open-loop load against a fleet, as careless callers
// would, and judges the answers against what the targets recorded.
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

// Config makes a Load.
type Config struct {
	// Questionnaire names the services and their requests.
	Questionnaire answers.Questionnaire
	// Entries is the daemons' addresses that callers know at first.
	Entries []id.Address
	// Rate is the requests per second outside of the swing.
	Rate float64
	// Swing multiplies the rate in the middle third of the time.
	Swing    float64
	Duration time.Duration
	// LongShare and UnsafeShare are the shares of long and of unrepeatable
	// requests.
	LongShare, UnsafeShare float64
	// ShortTime and LongTime are the mean service times.
	ShortTime, LongTime time.Duration
	// Repeats is how often a caller sends a request again after an answer
	// that does not settle it.
	Repeats int
	Seed    uint64
}

// Load is one run of a load.
type Load struct {
	cfg    Config
	client *http.Client
	// steerers holds what each account knows about addresses.
	steerers []*steerer
	random   *rand.Rand
	// byClass lists the requests to choose from.
	byClass map[Class][]choice
	report  *Report
	next    atomic.Uint64
}

// Class is a kind of request that the report tells apart.
type Class string

// The classes.
const (
	Short  Class = "short"
	Long   Class = "long"
	Unsafe Class = "unrepeatable"
)

// Classes lists the classes in the order of the report.
var Classes = []Class{Short, Long, Unsafe}

// choice is a request that can be chosen.
type choice struct {
	service id.Service
	request answers.Request
	// weight is the slots of the service, so that load follows capacity.
	weight float64
}

// accounts is how many callers' accounts the load uses.
const accounts = 50

const (
	dialTimeout   = time.Second
	idlePerDaemon = 256
)

// New returns a load that has not begun.
func New(cfg Config) *Load {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: idlePerDaemon,
		DisableCompression:  true,
	}
	client := &http.Client{Transport: transport}
	l := &Load{
		cfg:     cfg,
		client:  client,
		random:  rand.New(rand.NewPCG(cfg.Seed, 0)),
		byClass: make(map[Class][]choice),
		report:  newReport(),
	}
	for i := range accounts {
		l.steerers = append(l.steerers, newSteerer(client, cfg.Entries, cfg.Seed+uint64(i)))
	}
	for _, s := range cfg.Questionnaire.Services {
		for _, r := range s.Requests {
			c := classOf(r)
			l.byClass[c] = append(l.byClass[c], choice{service: s.Name, request: r, weight: float64(s.TotalSlots())})
		}
	}
	return l
}

func classOf(r answers.Request) Class {
	switch {
	case !r.MayRepeat:
		return Unsafe
	case r.RunsLong:
		return Long
	default:
		return Short
	}
}

// Run drives the load to its end and returns the report.
func (l *Load) Run(ctx context.Context) *Report {
	var group conc.WaitGroup
	started := time.Now()
	for due := started; due.Sub(started) < l.cfg.Duration && ctx.Err() == nil; {
		gap := l.random.ExpFloat64() / l.rate(due.Sub(started))
		due = due.Add(time.Duration(gap * float64(time.Second)))
		time.Sleep(time.Until(due))
		a := l.arrival(due)
		group.Go(func() { a.run(ctx) })
	}
	group.Wait()
	l.report.Elapsed = time.Since(started)
	return l.report
}

// rate returns the requests per second at a time after the start.
func (l *Load) rate(at time.Duration) float64 {
	if third := l.cfg.Duration / 3; at >= third && at < 2*third {
		return l.cfg.Rate * l.cfg.Swing
	}
	return l.cfg.Rate
}

// arrival draws the next request.
func (l *Load) arrival(due time.Time) *arrival {
	class := l.class()
	c := l.choose(l.byClass[class])
	mean := l.cfg.ShortTime
	if class == Long {
		mean = l.cfg.LongTime
	}
	number := l.next.Add(1)
	return &arrival{
		load:   l,
		due:    due,
		number: number,
		steer:  l.steerers[number%accounts],
		class:  class,
		choice: c,
		cost:   time.Duration(l.random.ExpFloat64() * float64(mean)),
		size:   answerSizes[l.random.IntN(len(answerSizes))],
	}
}

// answerSizes is the sizes of answers in bytes: one is too large to be held
// whole by a daemon.
var answerSizes = []int{0, 0, 0, 0, 2 << 10, 2 << 10, 20 << 10, 400 << 10}

func (l *Load) class() Class {
	x := l.random.Float64()
	switch {
	case x < l.cfg.LongShare && len(l.byClass[Long]) > 0:
		return Long
	case x > 1-l.cfg.UnsafeShare && len(l.byClass[Unsafe]) > 0:
		return Unsafe
	default:
		return Short
	}
}

func (l *Load) choose(list []choice) choice {
	total := 0.0
	for _, c := range list {
		total += c.weight
	}
	x := l.random.Float64() * total
	for _, c := range list {
		if x -= c.weight; x < 0 {
			return c
		}
	}
	return list[len(list)-1]
}
