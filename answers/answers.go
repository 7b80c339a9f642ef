// Package answers reads the questionnaire that a service team fills in, and
// derives the configuration from it.
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

// Level is how much something costs the team's callers.
type Level string

// The levels.
const (
	Low    Level = "low"
	Medium Level = "medium"
	High   Level = "high"
)

// Questionnaire is the answers of one team.
type Questionnaire struct {
	Team           string
	FailureDomains []id.FailureDomain
	Services       []Service
}

// Service is the answers about one service.
type Service struct {
	Name id.Service
	// Targets is how many targets the service has; at least MinimumTargets.
	Targets unit.Targets
	// MinimumTargets is how many targets the service needs to cope; at least 1.
	MinimumTargets unit.Targets
	// RequestsAtOnce is how many requests one target runs at the same time.
	RequestsAtOnce unit.Slots
	Connections    int
	// TypicalTime is how long an ordinary request runs.
	TypicalTime time.Duration
	// ColdStart is how long a new target takes to reach its full speed.
	ColdStart      time.Duration
	LateAnswerCost Level
	LostTargetCost Level
	HealthPath     string
	// HealthCheckTime is what one health check costs a target.
	HealthCheckTime time.Duration
	Contract        configuration.Contract
	// Requests has at least one entry.
	Requests []Request
	Callers  []Caller
}

// Request is the answers about one kind of request.
type Request struct {
	Name         id.Route
	Method       string
	Path         string
	MayRepeat    bool
	RunsLong     bool
	AnswerWithin time.Duration
}

// Caller is the answers about one caller.
type Caller struct {
	Name   id.Caller
	Weight int
}

const (
	maxTargets = 100_000
	maxSlots   = 10_000
)

// Parse reads a questionnaire. The error gathers every problem.
func Parse(name string, data []byte) (Questionnaire, error) {
	f := inifile.Parse(name, data)
	team := f.Section("Team")
	q := Questionnaire{Team: team.Text("Name", "the name of the team")}
	for _, d := range strings.Split(team.Text("FailureDomains", "the names of the failure domains, separated by commas"), ",") {
		q.FailureDomains = append(q.FailureDomains, id.FailureDomain(strings.TrimSpace(d)))
	}
	for _, s := range f.Sections("Service") {
		q.Services = append(q.Services, readService(s))
	}
	if len(q.Services) == 0 {
		team.Problem("", "there is no [Service name] section", "at least one service")
	}
	q.readRequests(f)
	q.readCallers(f)
	q.findEmpty(f)
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
		if service := q.find(s); service != nil {
			service.Requests = append(service.Requests, r)
		}
	}
}

func (q *Questionnaire) readCallers(f *inifile.File) {
	for _, s := range f.Sections("Caller") {
		c := Caller{Name: id.Caller(s.OwnName()), Weight: s.Int("Weight", 1, 1000)}
		if service := q.find(s); service != nil {
			service.Callers = append(service.Callers, c)
		}
	}
}

// find returns the service that a section names.
func (q *Questionnaire) find(s *inifile.Section) *Service {
	var names []string
	for i := range q.Services {
		names = append(names, string(q.Services[i].Name))
	}
	wanted := s.Choice("Service", names...)
	for i := range q.Services {
		if string(q.Services[i].Name) == wanted {
			return &q.Services[i]
		}
	}
	return nil
}

func (q *Questionnaire) findEmpty(f *inifile.File) {
	for _, s := range q.Services {
		if len(s.Requests) == 0 {
			f.Section("Service "+string(s.Name)).Problem("", "no [Request name] section names this service", "at least one request")
		}
	}
}
