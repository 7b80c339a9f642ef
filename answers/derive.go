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

// Derive returns the configuration documents that follow from the answers,
// with the given version number. A comment line before each derived value
// states its reason.
func (q Questionnaire) Derive(version uint64) configuration.Documents {
	values := make(map[id.Service][]byte)
	for _, s := range q.Services {
		values[s.Name] = s.encode()
	}
	return configuration.Documents{Index: configuration.EncodeIndex(version, values), Values: values}
}

// document builds an INI document.
type document struct{ strings.Builder }

func (d *document) writeSection(name string) { fmt.Fprintf(d, "\n[%s]\n", name) }

func (d *document) writeKey(name string, value any) { fmt.Fprintf(d, "%s = %v\n", name, value) }

// writeOptionalKey writes a key unless the value is empty.
func (d *document) writeOptionalKey(name, value string) {
	if value != "" {
		d.writeKey(name, value)
	}
}

// writeDerivedKey writes a key after a comment with the reason for its value.
func (d *document) writeDerivedKey(name string, value any, reason string, args ...any) {
	fmt.Fprintf(d, "; "+reason+"\n", args...)
	d.writeKey(name, value)
}

func (s Service) encode() []byte {
	d := &document{}
	d.WriteString("[Service]\n")
	d.writeKey("Name", s.Name)
	d.writeKey("Slots", s.RequestsAtOnce)
	d.writeKey("Connections", s.Connections)
	d.writeDerivedKey("Floor", s.MinimumTargets, "MinimumTargets = %d", s.MinimumTargets)
	s.encodeLimits(d)
	s.encodeHealth(d)
	s.encodeContract(d)
	for _, r := range s.Requests {
		r.encode(d)
	}
	for _, c := range s.Callers {
		d.writeSection("Caller " + string(c.Name))
		d.writeKey("Share", c.Weight)
	}
	return []byte(d.String())
}

// longShares gives, by LateAnswerCost, the share of the slots that long
// requests may take. The rest is reserved for short requests: the costlier a
// late response, the more slots.
var longShares = map[Level]unit.Ratio{Low: 0.8, Medium: 0.7, High: 0.6}

// retryShares gives, by LateAnswerCost, the retries allowed per first attempt.
var retryShares = map[Level]float64{Low: 0.05, Medium: 0.1, High: 0.2}

const maxAttempts = 3

func (s Service) encodeLimits(d *document) {
	if s.hasLongRequests() {
		d.writeDerivedKey("LongShare", s.LongShare(),
			"LateAnswerCost = %s keeps the other slots for short requests", s.LateAnswerCost)
	} else {
		d.writeDerivedKey("LongShare", 1, "no request runs long")
	}
	d.writeDerivedKey("Queue", s.queueLength(),
		"%d targets with %d slots can answer this many requests of %s within %s", s.Targets, s.RequestsAtOnce, s.TypicalTime, s.longestShortTimeout())
	d.writeDerivedKey("RetryShare", retryShares[s.LateAnswerCost], "LateAnswerCost = %s", s.LateAnswerCost)
	d.writeDerivedKey("Attempts", maxAttempts, "more than two retries add load and rarely an answer")
}

// LongShare returns the share of the slots that long requests may take. It does
// not depend on whether the service has any, because benchmarks add some.
func (s Service) LongShare() unit.Ratio { return longShares[s.LateAnswerCost] }

func (s Service) hasLongRequests() bool {
	for _, r := range s.Requests {
		if r.RunsLong {
			return true
		}
	}
	return false
}

// maxQueue bounds the length of the queue, because the scheduler searches it
// linearly.
const maxQueue = 1000

// queueLength returns how many short requests can wait and still be served
// within the longest timeout of a short request, at most maxQueue.
func (s Service) queueLength() int {
	requestsPerSlot := float64(s.longestShortTimeout()) / float64(s.TypicalTime)
	return min(maxQueue, int(requestsPerSlot*float64(s.Targets)*float64(s.RequestsAtOnce)))
}

// longestShortTimeout returns the longest timeout of a short request; zero if
// the service has none.
func (s Service) longestShortTimeout() time.Duration {
	longest := time.Duration(0)
	for _, r := range s.Requests {
		if !r.RunsLong {
			longest = max(longest, r.AnswerWithin)
		}
	}
	return longest
}

// hoursPerFalseEjection gives, by LostTargetCost, the mean target-hours between
// false ejections that the policy aims at. A false ejection is that of a healthy
// target.
var hoursPerFalseEjection = map[Level]float64{Low: 1_000, Medium: 10_000, High: 100_000}

// firstEjections gives, by LostTargetCost, the duration of a first ejection.
var firstEjections = map[Level]time.Duration{Low: 20 * time.Second, Medium: 10 * time.Second, High: 5 * time.Second}

const (
	// assumedUtilization is the share of its slots that a target is assumed to
	// use on average. The number of samples per hour is computed from it.
	assumedUtilization = 0.5
	// probeShare is the share of its slots' time that a target may spend on health
	// probes.
	probeShare      = 0.01
	minProbeEvery   = time.Second
	minProbeTimeout = 250 * time.Millisecond
	// probeTimeoutFactor is the probe timeout in multiples of HealthCheckTime.
	probeTimeoutFactor = 10
)

func (s Service) encodeHealth(d *document) {
	hours := hoursPerFalseEjection[s.LostTargetCost]
	samplesPerHour := assumedUtilization * float64(s.RequestsAtOnce) * float64(time.Hour) / float64(s.TypicalTime)
	// The mean number of samples between false ejections is at least the
	// exponential of the threshold (see package health).
	threshold := math.Log(hours * samplesPerHour)
	d.writeDerivedKey("Evidence", strconv.FormatFloat(threshold, 'f', 2, 64),
		"LostTargetCost = %s: one false ejection in %.0f target-hours, at %.0f samples an hour", s.LostTargetCost, hours, samplesPerHour)
	d.writeDerivedKey("FirstEjection", firstEjections[s.LostTargetCost], "LostTargetCost = %s", s.LostTargetCost)
	d.writeDerivedKey("Warmup", s.ColdStart, "ColdStart = %s", s.ColdStart)
	d.writeKey("ProbePath", s.HealthPath)
	interval := time.Duration(float64(s.HealthCheckTime) / (probeShare * float64(s.RequestsAtOnce)))
	d.writeDerivedKey("ProbeEvery", max(minProbeEvery, interval), "HealthCheckTime = %s takes at most %.0f%% of the slots", s.HealthCheckTime, 100*probeShare)
	d.writeDerivedKey("ProbeTimeout", max(minProbeTimeout, probeTimeoutFactor*s.HealthCheckTime), "%d times HealthCheckTime", probeTimeoutFactor)
}

func (s Service) encodeContract(d *document) {
	c := s.Contract
	if c.NotRunStatus != 0 {
		d.writeKey("NotRunStatus", c.NotRunStatus)
	}
	d.writeOptionalKey("NotRunHeader", c.NotRunHeader)
	d.writeOptionalKey("DrainHeader", c.DrainHeader)
	d.writeOptionalKey("EchoHeader", c.EchoHeader)
	d.writeOptionalKey("DeadlineHeader", c.DeadlineHeader)
}

func (r Request) encode(d *document) {
	d.writeSection("Route " + string(r.Name))
	d.writeKey("Method", r.Method)
	d.writeKey("Path", r.Path)
	d.writeDerivedKey("Idempotent", yesNo(r.MayRepeat), "MayRepeat = %s", yesNo(r.MayRepeat))
	d.writeKey("Long", yesNo(r.RunsLong))
	d.writeKey("Timeout", r.AnswerWithin)
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

// TotalSlots returns the slots of all targets together.
func (s Service) TotalSlots() unit.Slots { return s.RequestsAtOnce * unit.Slots(s.Targets) }
