package answers

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/briarrouter/briarrouter/configuration"
	"github.com/briarrouter/briarrouter/id"
	"github.com/briarrouter/briarrouter/unit"
)

// Derive returns the documents of the configuration that follows from the
// answers. Each derived value has its reason on the line before it.
func (q Questionnaire) Derive(number uint64) configuration.Documents {
	values := make(map[id.Service][]byte)
	for _, s := range q.Services {
		values[s.Name] = s.encode()
	}
	return configuration.Documents{Index: configuration.EncodeIndex(number, values), Values: values}
}

// document writes an INI document.
type document struct{ strings.Builder }

func (d *document) section(name string) { fmt.Fprintf(d, "\n[%s]\n", name) }

func (d *document) key(name string, value any) { fmt.Fprintf(d, "%s = %v\n", name, value) }

// text writes a key unless its value is empty.
func (d *document) text(name, value string) {
	if value != "" {
		d.key(name, value)
	}
}

// derived writes a key with the reason for its value.
func (d *document) derived(name string, value any, reason string, args ...any) {
	fmt.Fprintf(d, "; "+reason+"\n", args...)
	d.key(name, value)
}

func (s Service) encode() []byte {
	d := &document{}
	d.WriteString("[Service]\n")
	d.key("Name", s.Name)
	d.key("Slots", s.RequestsAtOnce)
	d.key("Connections", s.Connections)
	d.derived("Floor", s.MinimumTargets, "MinimumTargets = %d", s.MinimumTargets)
	s.encodeLoad(d)
	s.encodeHealth(d)
	s.encodeContract(d)
	for _, r := range s.Requests {
		r.encode(d)
	}
	for _, c := range s.Callers {
		d.section("Caller " + string(c.Name))
		d.key("Share", c.Weight)
	}
	return []byte(d.String())
}

// longShares is the share of the slots that long work may take. What a late
// answer costs decides how many slots are kept for short work.
var longShares = map[Level]unit.Ratio{Low: 0.8, Medium: 0.7, High: 0.6}

// retryShares is how many retries follow a hundred first attempts.
var retryShares = map[Level]float64{Low: 0.05, Medium: 0.1, High: 0.2}

const attempts = 3

func (s Service) encodeLoad(d *document) {
	if s.hasLong() {
		d.derived("LongShare", s.LongShare(),
			"LateAnswerCost = %s keeps the other slots for short requests", s.LateAnswerCost)
	} else {
		d.derived("LongShare", 1, "no request runs long")
	}
	d.derived("Queue", s.queue(),
		"%d targets with %d slots can answer this many requests of %s within %s", s.Targets, s.RequestsAtOnce, s.TypicalTime, s.longestWait())
	d.derived("RetryShare", retryShares[s.LateAnswerCost], "LateAnswerCost = %s", s.LateAnswerCost)
	d.derived("Attempts", attempts, "more than two retries add load and rarely an answer")
}

// LongShare returns the share of the slots that long work may take where there
// is some.
func (s Service) LongShare() unit.Ratio { return longShares[s.LateAnswerCost] }

func (s Service) hasLong() bool {
	for _, r := range s.Requests {
		if r.RunsLong {
			return true
		}
	}
	return false
}

// maxQueue bounds the queue, since it is searched from end to end.
const maxQueue = 1000

// queue returns how many requests can wait and still be answered in time.
func (s Service) queue() int {
	perSlot := float64(s.longestWait()) / float64(s.TypicalTime)
	return min(maxQueue, int(perSlot*float64(s.Targets)*float64(s.RequestsAtOnce)))
}

// longestWait is the longest time in which a short request must be answered.
func (s Service) longestWait() time.Duration {
	longest := time.Duration(0)
	for _, r := range s.Requests {
		if !r.RunsLong {
			longest = max(longest, r.AnswerWithin)
		}
	}
	return longest
}

// falseEjections is how many target-hours pass between two ejections of a
// healthy target.
var falseEjections = map[Level]float64{Low: 1_000, Medium: 10_000, High: 100_000}

// firstEjections is how long a first ejection lasts.
var firstEjections = map[Level]time.Duration{Low: 20 * time.Second, Medium: 10 * time.Second, High: 5 * time.Second}

const (
	// busyShare is the share of its slots that a target is taken to use.
	busyShare = 0.5
	// probeShare is the share of a target's slots that probes may take.
	probeShare       = 0.01
	minProbeEvery    = time.Second
	minProbeTimeout  = 250 * time.Millisecond
	probeTimeoutTime = 10
)

func (s Service) encodeHealth(d *document) {
	hours := falseEjections[s.LostTargetCost]
	samples := busyShare * float64(s.RequestsAtOnce) * float64(time.Hour) / float64(s.TypicalTime)
	evidence := math.Log(hours * samples)
	d.derived("Evidence", strconv.FormatFloat(evidence, 'f', 2, 64),
		"LostTargetCost = %s: one false ejection in %.0f target-hours, at %.0f samples an hour", s.LostTargetCost, hours, samples)
	d.derived("FirstEjection", firstEjections[s.LostTargetCost], "LostTargetCost = %s", s.LostTargetCost)
	d.derived("Warmup", s.ColdStart, "ColdStart = %s", s.ColdStart)
	d.key("ProbePath", s.HealthPath)
	every := time.Duration(float64(s.HealthCheckTime) / (probeShare * float64(s.RequestsAtOnce)))
	d.derived("ProbeEvery", max(minProbeEvery, every), "HealthCheckTime = %s takes at most %.0f%% of the slots", s.HealthCheckTime, 100*probeShare)
	d.derived("ProbeTimeout", max(minProbeTimeout, probeTimeoutTime*s.HealthCheckTime), "%d times HealthCheckTime", probeTimeoutTime)
}

func (s Service) encodeContract(d *document) {
	c := s.Contract
	if c.NotRunStatus != 0 {
		d.key("NotRunStatus", c.NotRunStatus)
	}
	d.text("NotRunHeader", c.NotRunHeader)
	d.text("DrainHeader", c.DrainHeader)
	d.text("EchoHeader", c.EchoHeader)
	d.text("DeadlineHeader", c.DeadlineHeader)
}

func (r Request) encode(d *document) {
	d.section("Route " + string(r.Name))
	d.key("Method", r.Method)
	d.key("Path", r.Path)
	d.derived("Idempotent", yes(r.MayRepeat), "MayRepeat = %s", yes(r.MayRepeat))
	d.key("Long", yes(r.RunsLong))
	d.key("Timeout", r.AnswerWithin)
}

func yes(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

// Slots returns the slots of a service.
func (s Service) Slots() unit.Slots { return s.RequestsAtOnce * unit.Slots(s.Targets) }
