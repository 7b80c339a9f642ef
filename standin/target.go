package standin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/briarrouter/briarrouter/clock"
	"github.com/julienschmidt/httprouter"
)

// Header fields that a Target reads and sends.
const (
	// RequestIDField carries an id that the response repeats.
	RequestIDField = "X-Request-Id"
	// DeadlineField carries the time that remains for a request, in milliseconds.
	DeadlineField = "X-Deadline-Ms"
	// NotRunField guarantees that the request has not run. Its value is the reason.
	NotRunField = "X-Not-Run"
	// DrainingField announces that the target is draining.
	DrainingField = "X-Draining"
	// WorkIDField carries the id of a unit of work. Two runs with one id mean that
	// the work was executed twice.
	WorkIDField = "X-Work-Id"
	// ServiceTimeField requests a service time in microseconds.
	ServiceTimeField = "X-Work-Microseconds"
	// ResponseSizeField requests a response body of at least this many bytes.
	ResponseSizeField = "X-Answer-Bytes"
)

// CrashWork is the id of work that terminates the target's process.
const CrashWork = "crash"

// crashExitCode is the exit code of a process that ran CrashWork.
const crashExitCode = 70

type TargetConfig struct {
	// Slots is the maximum number of requests that run concurrently.
	Slots int
	// Backlog is the number of requests that may wait for a slot. Further ones are
	// refused at once.
	Backlog int
	// ColdStart is how long requests run slower after the start; see coldSlowdown.
	ColdStart time.Duration
	// ProbeTime is the service time of a health probe.
	ProbeTime time.Duration
	// Seed seeds the random draws of the faults.
	Seed uint64
	// Record receives the work id of each run as a line before the request runs;
	// may be nil.
	Record io.Writer
}

// Faults are the faults injected into a target. Shares are between 0 and 1, and
// the field names are the JSON keys at the control address.
type Faults struct {
	// Slow multiplies the service time; 1 means no slowdown.
	Slow float64
	// Wrong is the share of responses with status 500.
	Wrong float64
	// Cut is the share of responses truncated in the middle of the body.
	Cut float64
	// Crossed is the share of responses that carry another request's id.
	Crossed float64
	// Reset is the share of requests whose connection is closed after they ran
	// and before a response is sent.
	Reset float64
	// Hang makes requests block until they are cancelled.
	Hang bool
	// Draining makes the target announce that it is draining and refuse requests.
	Draining bool
}

// Target runs requests in a limited number of slots and counts the runs of each
// unit of work.
type Target struct {
	cfg     TargetConfig
	started time.Time
	slots   chan struct{}

	mu     sync.Mutex
	faults Faults
	random *rand.Rand
	// queued is the number of requests that wait for a slot.
	queued int
	// runs counts the runs by work id.
	runs map[string]int
	// drainingSince is when the target last began to drain; zero if it never did.
	drainingSince time.Time
	// lastArrival is when a request last arrived while the target was draining.
	lastArrival time.Time
}

func NewTarget(cfg TargetConfig) *Target {
	return &Target{
		cfg:     cfg,
		started: time.Now(),
		slots:   make(chan struct{}, cfg.Slots),
		faults:  Faults{Slow: 1},
		random:  rand.New(rand.NewPCG(cfg.Seed, 1)),
		runs:    make(map[string]int),
	}
}

const HealthPath = "/health"

// Handler returns the handler of the address that daemons send requests to.
// HealthPath responds to health probes; requests to all other paths take a slot.
func (t *Target) Handler() http.Handler {
	r := httprouter.New()
	r.GET(HealthPath, t.health)
	r.NotFound = http.HandlerFunc(t.serve)
	return r
}

// requestFaults are the faults that affect one request.
type requestFaults struct {
	// slow multiplies the service time. It includes the slowdown of the cold start.
	slow                       float64
	wrong, cut, crossed, reset bool
	hang, draining             bool
}

func (t *Target) drawFaults() requestFaults {
	t.mu.Lock()
	defer t.mu.Unlock()
	f := t.faults
	return requestFaults{
		slow:     f.Slow * t.coldSlowdown(),
		wrong:    t.random.Float64() < f.Wrong,
		cut:      t.random.Float64() < f.Cut,
		crossed:  t.random.Float64() < f.Crossed,
		reset:    t.random.Float64() < f.Reset,
		hang:     f.Hang,
		draining: f.Draining,
	}
}

// coldFactor is the slowdown of a target that has just started.
const coldFactor = 4

// coldSlowdown returns the current slowdown of the cold start. It falls linearly
// from coldFactor to 1 over TargetConfig.ColdStart.
func (t *Target) coldSlowdown() float64 {
	age := time.Since(t.started)
	if age >= t.cfg.ColdStart {
		return 1
	}
	return 1 + (coldFactor-1)*(1-float64(age)/float64(t.cfg.ColdStart))
}

func (t *Target) health(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	clock.Sleep(r.Context(), t.cfg.ProbeTime)
	if t.drawFaults().draining {
		w.Header().Set(DrainingField, "yes")
	}
	w.WriteHeader(http.StatusOK)
}

var (
	errQueueFull      = errors.New("no slot is free")
	errDeadlinePassed = errors.New("the deadline has passed")
	errDraining       = errors.New("the target is leaving")
)

func (t *Target) serve(w http.ResponseWriter, r *http.Request) {
	f := t.drawFaults()
	w.Header().Set(RequestIDField, r.Header.Get(RequestIDField))
	if f.crossed {
		w.Header().Set(RequestIDField, "another-request")
	}
	if err := t.admit(r, f); err != nil {
		w.Header().Set(NotRunField, err.Error())
		if errors.Is(err, errDraining) {
			w.Header().Set(DrainingField, "yes")
		}
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	defer func() { <-t.slots }()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	t.recordRun(r.Header.Get(WorkIDField))
	if r.Header.Get(WorkIDField) == CrashWork {
		os.Exit(crashExitCode)
	}
	if f.hang {
		<-r.Context().Done()
		return
	}
	clock.Sleep(r.Context(), time.Duration(f.slow*float64(serviceTime(r.Header))))
	t.respond(w, r, body, f)
}

// admit waits for a slot until the request's deadline, if it has one, or until its
// cancellation. It fails at once if the target is draining or the queue is full. A
// request for which it returns an error does not run.
func (t *Target) admit(r *http.Request, f requestFaults) error {
	if f.draining {
		t.recordArrivalWhileDraining()
		return errDraining
	}
	ctx := r.Context()
	if ms, err := strconv.ParseInt(r.Header.Get(DeadlineField), 10, 64); err == nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
		defer cancel()
	}
	if !t.joinQueue() {
		return errQueueFull
	}
	defer t.leaveQueue()
	select {
	case t.slots <- struct{}{}:
		return nil
	case <-ctx.Done():
		return errDeadlinePassed
	}
}

func (t *Target) recordArrivalWhileDraining() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastArrival = time.Now()
}

// joinQueue counts a request as queued, even if a slot is free. It returns false if
// all slots are taken and the queue is full.
func (t *Target) joinQueue() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.slots) >= t.cfg.Slots && t.queued >= t.cfg.Backlog {
		return false
	}
	t.queued++
	return true
}

func (t *Target) leaveQueue() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.queued--
}

// recordRun counts a run and writes its line to TargetConfig.Record. It ignores
// work without an id.
func (t *Target) recordRun(work string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if work == "" {
		return
	}
	t.runs[work]++
	if t.cfg.Record != nil {
		fmt.Fprintln(t.cfg.Record, work)
	}
}

// serviceTime returns the service time that a request asks for; 0 if it asks for
// none.
func serviceTime(h http.Header) time.Duration {
	n, err := strconv.ParseInt(h.Get(ServiceTimeField), 10, 64)
	if err != nil {
		return 0
	}
	return time.Duration(n) * time.Microsecond
}

// respond sends the ResponseBody unless a fault closes the connection first, or
// replaces or truncates the response.
func (t *Target) respond(w http.ResponseWriter, r *http.Request, body []byte, f requestFaults) {
	if f.reset {
		panic(http.ErrAbortHandler)
	}
	if f.wrong {
		http.Error(w, "wrong", http.StatusInternalServerError)
		return
	}
	response := ResponseBody(r.Header.Get(WorkIDField), body, responseSize(r.Header))
	w.Header().Set("Content-Length", strconv.Itoa(len(response)))
	if f.cut {
		w.Write(response[:len(response)/2])
		panic(http.ErrAbortHandler)
	}
	w.Write(response)
}

func responseSize(h http.Header) int {
	n, err := strconv.Atoi(h.Get(ResponseSizeField))
	if err != nil || n < 0 {
		return 0
	}
	return n
}

// ResponseBody returns the response body of a Target: the work id, the FNV-1a
// hash of the request body, and padding if these are shorter than size bytes.
func ResponseBody(work string, body []byte, size int) []byte {
	h := fnv.New64a()
	h.Write(body)
	response := []byte(work + " " + strconv.FormatUint(h.Sum64(), 16) + "\n")
	for len(response) < size {
		response = append(response, response[len(response)%(len(work)+1)])
	}
	return response
}

// Control returns the handler of the control address: GET and PUT /faults read
// and replace the Faults, and GET /runs returns the Runs. A field that PUT omits
// gets the value that stands for no fault.
func (t *Target) Control() http.Handler {
	r := httprouter.New()
	r.GET("/faults", t.getFaults)
	r.PUT("/faults", t.putFaults)
	r.GET("/runs", t.getRuns)
	return r
}

func (t *Target) getFaults(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	t.mu.Lock()
	defer t.mu.Unlock()
	writeJSON(w, t.faults)
}

func (t *Target) putFaults(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	f := Faults{Slow: 1}
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&f); err != nil {
		http.Error(w, err.Error()+"; accepted: Slow, Wrong, Cut, Crossed, Reset, Hang, Draining", http.StatusBadRequest)
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if f.Draining && !t.faults.Draining {
		t.drainingSince = time.Now()
	}
	t.faults = f
}

// Runs is the JSON response of the control address to GET /runs.
type Runs struct {
	// Counts is the number of runs by work id.
	Counts map[string]int
	// LastNewMilliseconds is the time from the start of draining to the arrival of
	// the last request; 0 if none arrived since.
	LastNewMilliseconds int64
}

func (t *Target) getRuns(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	t.mu.Lock()
	defer t.mu.Unlock()
	writeJSON(w, Runs{Counts: t.runs, LastNewMilliseconds: max(0, t.lastArrival.Sub(t.drainingSince).Milliseconds())})
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(v)
}
