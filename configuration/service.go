// Package configuration parses configurations of the fleet and holds the one in
// force: which services there are, how their requests are routed, and the policy
// of each service.
package configuration

import (
	"fmt"
	"strings"
	"time"

	"github.com/briarrouter/briarrouter/id"
	"github.com/briarrouter/briarrouter/inifile"
	"github.com/briarrouter/briarrouter/unit"
)

// Service is the policy of one service. The generate command derives it from the
// questionnaire answers.
type Service struct {
	Name id.Service
	// Slots is how many requests one target runs concurrently; at least 1.
	Slots unit.Slots
	// Connections limits the connections to one target; at least Slots.
	Connections int
	// Floor is the minimum in service: how many targets ejections must leave in
	// service; at least 1.
	Floor unit.Targets
	// LongShare is the share of all slots that long-running requests may
	// occupy.
	LongShare unit.Ratio
	// Queue limits the requests that wait for a slot.
	Queue int
	// RetryShare is how many retries are allowed per first attempt.
	RetryShare unit.Ratio
	// RetryBurst is how many retries all daemons together may make beyond
	// RetryShare within each RetryWindow. If RetryWindow is zero, each daemon has the
	// default burst of package retry.
	RetryBurst  float64
	RetryWindow time.Duration
	// Attempts limits the attempts of one request; at least 1. A route may set its
	// own limit. Attempts that follow a failed dial may exceed it.
	Attempts int
	// FailureCost is what a failure probability of 1 adds to the cost of a target,
	// in requests per slot. Targets are ranked by cost. Zero ignores failure
	// probabilities.
	FailureCost float64
	// Hold is the share of the time until its deadline for which a request that no
	// attempt may follow waits at most for a sound target, rather than be sent to one
	// that probably fails. Zero sends it to the target with the lowest cost at once.
	Hold float64
	// CrossDomainCost is what each 64 KiB of a request's body adds to the cost of a
	// target in another failure domain, in requests per slot. Zero ignores failure
	// domains.
	CrossDomainCost float64
	// Hedge is when a hedged attempt of an idempotent request starts, as a
	// multiple of the mean duration of its route; zero disables hedging.
	Hedge float64
	// Spread is the minimum coverage of targets: the share of the targets that
	// must receive requests within a window, whatever their failure
	// probability; zero sets no minimum.
	Spread unit.Ratio
	// Evidence is the log-likelihood ratio at which a target is ejected; zero
	// disables ejections.
	Evidence float64
	// FirstEjection is the duration of a target's first ejection. Each repeated
	// ejection lasts twice as long as the one before, up to a limit; package health
	// defines which ejections count as repeated.
	FirstEjection time.Duration
	// Warmup is how long it takes until a new target receives its full share.
	Warmup   time.Duration
	Probe    Probe
	Contract Contract
	Routes   []Route
	// Shares is the weight of each client account; 1 for accounts that are
	// missing.
	Shares map[id.Caller]int
}

// Probe describes the health check of a target.
type Probe struct {
	Path string
	// Every is the interval between two probes; zero disables them.
	Every   time.Duration
	Timeout time.Duration
}

// Contract defines which header fields are sent to a target and how its
// responses are interpreted.
type Contract struct {
	// NotRunStatus is the status of a response to a request that the target did
	// not run; zero if targets send no such response.
	NotRunStatus int
	// NotRunHeader must be present in such a response, with any value. If
	// empty, the status alone is proof.
	NotRunHeader string
	// NotRunAnyStatus is set if NotRunHeader is proof with any status;
	// NotRunStatus is then ignored.
	NotRunAnyStatus bool
	// MisdirectedStatus is the status with which a process that is not the
	// target named in TargetHeader refuses a request without running it; zero
	// if there is none.
	MisdirectedStatus int
	// CallerNotRunStatuses lists the statuses that tell callers that a request did
	// not run. If a target responds with one of them without the proof defined
	// by the fields above, the response is malformed and it is unknown whether
	// the request ran.
	CallerNotRunStatuses []int
	// KeyHeader carries the key of a client account in requests of callers. Targets do
	// not get it if the configuration names accounts.
	KeyHeader string
	// AccountHeader tells the target the name of the client account, if the
	// configuration names accounts.
	AccountHeader string
	// DrainHeader is present in every response of a draining target.
	DrainHeader string
	// EchoHeader returns the request id in every response; empty if targets do
	// not return it.
	EchoHeader string
	// EchoVerbatim is set if targets must receive the request id unchanged,
	// without the number of the attempt.
	EchoVerbatim bool
	// DeadlineHeader tells the target how many milliseconds remain.
	DeadlineHeader string
	// TargetHeader names the intended target, so that another process at its
	// address refuses the request; empty if targets do not check it.
	TargetHeader string
	// SignatureHeader is present in every successful response of a target;
	// empty if targets do not sign.
	SignatureHeader string
	// LoadHeader reports the running requests, the waiting requests and the
	// slots of a target, separated by commas; empty if targets do not report
	// them.
	LoadHeader string
	// BackoffStatus is the status of a response whose Retry-After field says for how many
	// seconds the target wants no requests of this daemon; zero if there is none.
	BackoffStatus int
	// LimitHeader names the requests a second that a target takes from all daemons
	// together, as a decimal number, for as long as its responses carry the field;
	// empty if targets name no limits.
	LimitHeader string
	// Unframed is set if the end of the connection may end a body. The body is
	// then complete if the connection was closed normally, and truncated if it
	// was reset.
	Unframed bool
	// RetryFailures is set if an idempotent request may be retried after a target
	// sent an error response.
	RetryFailures bool
}

// Route describes one kind of request.
type Route struct {
	Name id.Route
	// Host is the HTTP host that the request must name; empty for any.
	Host string
	// Method is the HTTP method; empty for any.
	Method string
	// Path is a prefix that matches whole path segments.
	Path string
	// Idempotent is set if the request may be run more than once.
	Idempotent bool
	// Long is set if the request runs many times longer than the others.
	Long bool
	// Timeout applies to requests for which the caller sets no timeout.
	Timeout time.Duration
	// TimeoutIsLimit is set if Timeout also limits the timeout that a caller
	// sets.
	TimeoutIsLimit bool
	// Objective is the latency objective: the time within which a response is
	// of full use; zero if none is stated.
	Objective time.Duration
	// Priority orders waiting requests of accounts without a priority of their own; 0
	// goes first.
	Priority int
	// Public is set if requests need no key of a client account.
	Public bool
	// Attempts limits the attempts of one request; zero applies the limit of
	// the service.
	Attempts int
	// Parts splits the requests among services; empty if the route belongs to
	// one service.
	Parts []Part
}

// Part is the share of a route's requests that goes to one service.
type Part struct {
	Service id.Service
	// Weight is relative to the sum of the weights of all parts; at least 1.
	Weight int
}

const (
	// maxSlots also bounds Connections and Queue.
	maxSlots   = 10_000
	maxTargets = 100_000
	maxTimeout = time.Hour
)

// ParseService parses and validates the configuration of one service.
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
		Contract: Contract{
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
		v.Routes = append(v.Routes, parseRoute(r))
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

func parseRoute(s *inifile.Section) Route {
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
