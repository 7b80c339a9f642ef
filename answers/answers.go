// Package answers reads a team's questionnaire answers (the deployment
// description, an INI file) and derives the configuration of its services.
package answers

import (
	"fmt"
	"strings"
	"time"

	"github.com/briarrouter/briarrouter/configuration"
	"github.com/briarrouter/briarrouter/id"
	"github.com/briarrouter/briarrouter/inifile"
	"github.com/briarrouter/briarrouter/unit"
)

// Level grades how much a late response or a lost target costs the team's
// callers.
type Level string

const (
	Low    Level = "low"
	Medium Level = "medium"
	High   Level = "high"
)

// Questionnaire holds the answers of one team.
type Questionnaire struct {
	Team           string
	FailureDomains []id.FailureDomain
	Services       []Service
}

// Service holds the answers about one service.
type Service struct {
	Name id.Service
	// Targets is the number of targets of the service; at least MinimumTargets.
	Targets unit.Targets
	// MinimumTargets is the number of targets that the service needs to carry
	// its load; at least 1.
	MinimumTargets unit.Targets
	// RequestsAtOnce is the number of requests that one target runs
	// concurrently.
	RequestsAtOnce unit.Slots
	// Connections bounds the connections to one target; at least
	// RequestsAtOnce.
	Connections int
	// TypicalTime is the service time of a short request.
	TypicalTime time.Duration
	// ColdStart is the time that a new target takes to reach full speed.
	ColdStart time.Duration
	// LateAnswerCost grades the cost of a late response; see longShares and
	// retryShares.
	LateAnswerCost Level
	// LostTargetCost grades the cost of a target that is out of service; see
	// hoursPerFalseEjection and firstEjections.
	LostTargetCost Level
	HealthPath     string
	// HealthCheckTime is the time for which one health check occupies a slot
	// of a target.
	HealthCheckTime time.Duration
	Contract        configuration.Contract
	// Requests has at least one entry.
	Requests []Request
	Callers  []Caller
}

// Request holds the answers about one route.
type Request struct {
	Name   id.Route
	Method string
	Path   string
	// MayRepeat tells whether the request is idempotent.
	MayRepeat bool
	RunsLong  bool
	// AnswerWithin is the timeout of the request.
	AnswerWithin time.Duration
}

// Caller holds the answers about one client account.
type Caller struct {
	Name id.Caller
	// Weight is the account's relative share of the service under contention.
	Weight int
}

const (
	maxTargets = 100_000
	maxSlots   = 10_000
)

// Parse reads questionnaire answers from data; name is the file name used in
// errors. The error lists every problem found.
func Parse(name string, data []byte) (Questionnaire, error) {
	f := inifile.Parse(name, data)
	team := f.Section("Team")
	q := Questionnaire{Team: team.Text("Name", "the name of the team")}
	for _, domain := range strings.Split(team.Text("FailureDomains", "the names of the failure domains, separated by commas"), ",") {
		q.FailureDomains = append(q.FailureDomains, id.FailureDomain(strings.TrimSpace(domain)))
	}
	for _, s := range f.Sections("Service") {
		q.Services = append(q.Services, readService(s))
	}
	if len(q.Services) == 0 {
		team.Problem("", "there is no [Service name] section", "at least one service")
	}
	q.readRequests(f)
	q.readCallers(f)
	q.checkServices(f)
	return q, f.Err()
}

func readService(s *inifile.Section) Service {
	v := Service{
		Name:            id.Service(s.OwnName()),
		Targets:         unit.Targets(s.Int("Targets", 1, maxTargets)),
		MinimumTargets:  unit.Targets(s.Int("MinimumTargets", 1, maxTargets)),
		RequestsAtOnce:  unit.Slots(s.Int("RequestsAtOnce", 1, maxSlots)),
		Connections:     s.Int("ConnectionsPerTarget", 1, maxSlots),
		TypicalTime:     s.Duration("TypicalTime", time.Millisecond, time.Hour),
		ColdStart:       s.DurationOr("ColdStart", 0, time.Hour, 0),
		LateAnswerCost:  readLevel(s, "LateAnswerCost"),
		LostTargetCost:  readLevel(s, "LostTargetCost"),
		HealthPath:      s.Text("HealthPath", "a path that starts with a slash"),
		HealthCheckTime: s.Duration("HealthCheckTime", 0, time.Minute),
		Contract: configuration.Contract{
			NotRunStatus:   s.IntOr("NotRunStatus", 400, 599, 0),
			NotRunHeader:   s.TextOr("NotRunHeader", ""),
			DrainHeader:    s.TextOr("DrainHeader", ""),
			EchoHeader:     s.TextOr("RequestIdHeader", ""),
			DeadlineHeader: s.TextOr("DeadlineHeader", ""),
		},
	}
	if v.MinimumTargets > v.Targets {
		s.Problem("MinimumTargets", "more than Targets", fmt.Sprintf("at most %d", v.Targets))
	}
	if v.Connections < int(v.RequestsAtOnce) {
		s.Problem("ConnectionsPerTarget", "fewer than RequestsAtOnce", fmt.Sprintf("at least %d", v.RequestsAtOnce))
	}
	return v
}

func readLevel(s *inifile.Section, key string) Level {
	return Level(s.Choice(key, string(Low), string(Medium), string(High)))
}

func (q *Questionnaire) readRequests(f *inifile.File) {
	for _, s := range f.Sections("Request") {
		r := Request{
			Name:         id.Route(s.OwnName()),
			Method:       s.Choice("Method", "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"),
			Path:         s.Text("Path", "a path that starts with a slash"),
			MayRepeat:    s.Bool("MayRepeat"),
			RunsLong:     s.BoolOr("RunsLong", false),
			AnswerWithin: s.Duration("AnswerWithin", time.Millisecond, time.Hour),
		}
		if r.Path != "" && !strings.HasPrefix(r.Path, "/") {
			s.Problem("Path", fmt.Sprintf("bad path %q", r.Path), "a path that starts with a slash")
		}
		if service := q.findService(s); service != nil {
			service.Requests = append(service.Requests, r)
		}
	}
}

func (q *Questionnaire) readCallers(f *inifile.File) {
	for _, s := range f.Sections("Caller") {
		c := Caller{Name: id.Caller(s.OwnName()), Weight: s.Int("Weight", 1, 1000)}
		if service := q.findService(s); service != nil {
			service.Callers = append(service.Callers, c)
		}
	}
}

// findService returns the service that the section's Service key names, or nil
// after reporting a problem.
func (q *Questionnaire) findService(s *inifile.Section) *Service {
	var names []string
	for i := range q.Services {
		names = append(names, string(q.Services[i].Name))
	}
	name := s.Choice("Service", names...)
	for i := range q.Services {
		if string(q.Services[i].Name) == name {
			return &q.Services[i]
		}
	}
	return nil
}

// checkServices reports services without requests.
func (q *Questionnaire) checkServices(f *inifile.File) {
	for _, s := range q.Services {
		if len(s.Requests) == 0 {
			f.Section("Service "+string(s.Name)).Problem("", "no [Request name] section names this service", "at least one request")
		}
	}
}
