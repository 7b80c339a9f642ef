// Package configuration holds the accepted configuration of the fleet: what
// services there are, how their requests are routed, and the policy of each.
package configuration

import (
	"fmt"
	"strings"
	"time"

	"github.com/briarrouter/briarrouter/id"
	"github.com/briarrouter/briarrouter/inifile"
	"github.com/briarrouter/briarrouter/unit"
)

// Service is the policy of one service. The questionnaire's answers decide
// every field.
type Service struct {
	Name id.Service
	// Slots is how many requests one target runs at the same time; at least 1.
	Slots unit.Slots
	// Connections bounds the connections to one target; at least Slots.
	Connections int
	// Floor is how many targets must stay in service; at least 1.
	Floor unit.Targets
	// LongShare is the share of all slots that long requests may take.
	LongShare unit.Ratio
	// Queue bounds the requests that wait for a slot.
	Queue int
	// RetryShare is how many retries may be made for each first attempt.
	RetryShare unit.Ratio
	// RetryBurst is how many retries all daemons together may make beyond
	// RetryShare; zero leaves it to each daemon.
	RetryBurst float64
	// Attempts bounds the attempts of one idempotent request; at least 1.
	Attempts int
	// Avoidance is how many taken slots the certainty that a target fails
	// weighs when targets are ranked; zero ranks by load alone.
	Avoidance float64
	// Distance is how many requests on each of its slots it weighs that a target
	// stands in another failure domain, for each 64 KiB of a request's body;
	// zero does not look at it.
	Distance float64
	// Hedge is how many times the usual time of its route an idempotent request
	// runs before it is sent to a second target too; zero for never.
	Hedge float64
	// Spread is the share of the targets that get some of the work at any time,
	// whatever is believed of them; zero leaves it to their ranks.
	Spread unit.Ratio
	// Evidence is the log-likelihood ratio at which a target is ejected; zero
	// ejects none.
	Evidence float64
	// FirstEjection is how long the first ejection of a target lasts. Each
	// further one within EjectionMemory lasts twice as long.
	FirstEjection time.Duration
	// Warmup is how long a new target takes to reach its full share.
	Warmup time.Duration
	Probe  Probe
	Target Contract
	Routes []Route
	// Shares gives a caller's weight among the callers; 1 where it is missing.
	Shares map[id.Caller]int
}

// Probe is how the health of a target is asked for.
type Probe struct {
	Path string
	// Every is the time between two probes; zero for none.
	Every   time.Duration
	Timeout time.Duration
}

// Contract is what a target's answers mean.
type Contract struct {
	// NotRunStatus is the status of an answer that says the request was not
	// run; zero where the target never says so.
	NotRunStatus int
	// NotRunHeader must stand in such an answer, with any value. Empty where
	// the status alone is proof.
	NotRunHeader string
	// NotRunAnyStatus tells that NotRunHeader is proof beside any status;
	// NotRunStatus is ignored then.
	NotRunAnyStatus bool
	// MisdirectedStatus is the status of a process that is not the target named
	// in TargetHeader and ran nothing; zero where there is none.
	MisdirectedStatus int
	// Promises lists the statuses by which callers take it that a request did
	// not run. A target's answer with one of them that is no proof is a failure
	// of which nothing is known.
	Promises []int
	// DrainHeader stands in any answer of a target that is leaving.
	DrainHeader string
	// EchoHeader repeats the request id in every answer; empty where targets
	// do not echo it.
	EchoHeader string
	// EchoVerbatim tells that the id must reach targets as it came, without
	// the number of the attempt.
	EchoVerbatim bool
	// DeadlineHeader carries the milliseconds that remain to the target.
	DeadlineHeader string
	// TargetHeader names the target that is meant, so that another process at
	// its address declines; empty where targets do not look at it.
	TargetHeader string
	// SignatureHeader stands in every answer of a target that succeeded; empty
	// where targets do not sign.
	SignatureHeader string
	// LoadHeader gives the requests that run and wait at a target and its
	// slots, separated by commas; empty where targets do not tell.
	LoadHeader string
	// Unframed tells that a body may end with its connection. A connection that
	// was closed in order is then the end, one that was reset a cut.
	Unframed bool
	// RetryFailures tells that a failure that a target answered leads to
	// another attempt where the request is idempotent.
	RetryFailures bool
}

// Route is one kind of request.
type Route struct {
	Name id.Route
	// Host is the host that the request must name; empty for any.
	Host string
	// Method is empty for any.
	Method string
	// Path is a prefix that ends at a slash or at the end of a path.
	Path string
	// Idempotent tells that the request may be run more than once.
	Idempotent bool
	// Long tells that the request runs many times longer than the others.
	Long bool
	// Timeout is the time that a request may take where its caller names none.
	Timeout time.Duration
	// TimeoutBinds tells that Timeout also bounds the time that a caller names.
	TimeoutBinds bool
	// Objective is the time within which an answer is of full use; zero where
	// none is stated.
	Objective time.Duration
	// Priority orders requests that wait; 0 goes first.
	Priority int
	// Attempts bounds the attempts of one request; zero where the service's
	// bound holds.
	Attempts int
	// Parts divides the requests among services; empty where the route belongs
	// to one service.
	Parts []Part
}

// Part is the share of a route's requests that one service gets.
type Part struct {
	Service id.Service
	// Weight is the part's share of the sum of all weights; at least 1.
	Weight int
}

const (
	maxSlots   = 10_000
	maxTargets = 100_000
	maxTimeout = time.Hour
)

// ParseService reads the value of one service.
func ParseService(name string, data []byte) (Service, error) {
	f := inifile.Parse(name, data)
	s := f.Section("Service")
	v := Service{
		Name:          id.Service(s.Text("Name", "the name of the service")),
		Slots:         unit.Slots(s.Int("Slots", 1, maxSlots)),
		Connections:   s.Int("Connections", 1, maxSlots),
		Floor:         unit.Targets(s.Int("Floor", 1, maxTargets)),
		LongShare:     unit.Ratio(s.Float("LongShare", 0, 1)),
		Queue:         s.Int("Queue", 0, maxSlots),
		RetryShare:    unit.Ratio(s.Float("RetryShare", 0, 1)),
		Attempts:      s.Int("Attempts", 1, 10),
		Evidence:      s.Float("Evidence", 1, 100),
		FirstEjection: s.Duration("FirstEjection", 100*time.Millisecond, time.Hour),
		Warmup:        s.Duration("Warmup", 0, time.Hour),
		Probe: Probe{
			Path:    s.Text("ProbePath", "a path that starts with a slash"),
			Every:   s.Duration("ProbeEvery", 100*time.Millisecond, time.Hour),
			Timeout: s.Duration("ProbeTimeout", 10*time.Millisecond, time.Minute),
		},
		Target: Contract{
			NotRunStatus:   s.IntOr("NotRunStatus", 400, 599, 0),
			NotRunHeader:   s.TextOr("NotRunHeader", ""),
			DrainHeader:    s.TextOr("DrainHeader", ""),
			EchoHeader:     s.TextOr("EchoHeader", ""),
			DeadlineHeader: s.TextOr("DeadlineHeader", ""),
		},
		Shares: make(map[id.Caller]int),
	}
	if v.Connections < int(v.Slots) {
		s.Problem("Connections", "fewer than Slots", fmt.Sprintf("at least %d", v.Slots))
	}
	for _, r := range f.Sections("Route") {
		v.Routes = append(v.Routes, readRoute(r))
	}
	for _, c := range f.Sections("Caller") {
		v.Shares[id.Caller(c.OwnName())] = c.Int("Share", 1, 1000)
	}
	if len(v.Routes) == 0 {
		s.Problem("", "service has no [Route name] section", "at least one route")
	}
	return v, f.Err()
}

var methods = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"}

func readRoute(s *inifile.Section) Route {
	r := Route{
		Name:       id.Route(s.OwnName()),
		Method:     s.Choice("Method", methods...),
		Path:       s.Text("Path", "a path that starts with a slash"),
		Idempotent: s.Bool("Idempotent"),
		Long:       s.Bool("Long"),
		Timeout:    s.Duration("Timeout", time.Millisecond, maxTimeout),
	}
	if !strings.HasPrefix(r.Path, "/") {
		s.Problem("Path", fmt.Sprintf("bad path %q", r.Path), "a path that starts with a slash")
	}
	return r
}
