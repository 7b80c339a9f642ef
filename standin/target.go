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

// Fields that the stand-in target understands and sends.
const (
	RequestIDField = "X-Request-Id"
	DeadlineField  = "X-Deadline-Ms"
	NotRunField    = "X-Not-Run"
	DrainingField  = "X-Draining"
	// WorkField identifies a piece of work, so that a second run of it shows.
	WorkField = "X-Work-Id"
	// CostField asks for a service time, in microseconds.
	CostField = "X-Work-Microseconds"
	// SizeField asks for an answer of this many bytes.
	SizeField = "X-Answer-Bytes"
)

// CrashWork is the piece of work that ends the process that runs it.
const CrashWork = "crash"

const crashCode = 70

// TargetConfig makes a Target.
type TargetConfig struct {
	Slots int
	// Backlog is how many requests may wait for a slot before load is shed.
	Backlog int
	// Cold is how long the target takes to reach its full speed.
	Cold time.Duration
	// ProbeCost is the time that a health probe takes.
	ProbeCost time.Duration
	Seed      uint64
	// Record gets a line for each run, before the run; nil where none is kept.
	Record io.Writer
}

// Faults is what is wrong with a target.
type Faults struct {
	// Slow stretches the service time; 1 where nothing is wrong.
	Slow float64
	// Wrong is the share of answers that are errors.
	Wrong float64
	// Cut is the share of answers that end early.
	Cut float64
	// Crossed is the share of answers that carry another request's id.
	Crossed float64
	// Reset is the share of requests whose connection is closed after they
	// ran, without an answer.
	Reset float64
	// Hang makes requests wait until they are cancelled.
	Hang bool
	// Draining makes the target say that it is leaving, and refuse.
	Draining bool
}

// Target runs requests in slots, and records each run.
type Target struct {
	cfg     TargetConfig
	started time.Time
	slots   chan struct{}

	mu      sync.Mutex
	faults  Faults
	random  *rand.Rand
	waiting int
	// runs counts the runs of each piece of work.
	runs map[string]int
	// draining is when the target began to leave; zero before.
	draining time.Time
	// lastNew is when the last request arrived after that.
	lastNew time.Time
}

// NewTarget returns a target without faults.
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

// HealthPath is where the target answers probes.
const HealthPath = "/health"

// Handler answers daemons.
func (t *Target) Handler() http.Handler {
	r := httprouter.New()
	r.GET(HealthPath, t.health)
	r.NotFound = http.HandlerFunc(t.serve)
	return r
}

// drawn is what the faults do to one request.
type drawn struct {
	slow                       float64
	wrong, cut, crossed, reset bool
	hang, draining             bool
}

func (t *Target) draw() drawn {
	t.mu.Lock()
	defer t.mu.Unlock()
	f := t.faults
	return drawn{
		slow:     f.Slow * t.coldness(),
		wrong:    t.random.Float64() < f.Wrong,
		cut:      t.random.Float64() < f.Cut,
		crossed:  t.random.Float64() < f.Crossed,
		reset:    t.random.Float64() < f.Reset,
		hang:     f.Hang,
		draining: f.Draining,
	}
}

// coldFactor is how much slower a target is at its start.
const coldFactor = 4

func (t *Target) coldness() float64 {
	age := time.Since(t.started)
	if age >= t.cfg.Cold {
		return 1
	}
	return 1 + (coldFactor-1)*(1-float64(age)/float64(t.cfg.Cold))
}

func (t *Target) health(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	clock.Sleep(r.Context(), t.cfg.ProbeCost)
	if t.draw().draining {
		w.Header().Set(DrainingField, "yes")
	}
	w.WriteHeader(http.StatusOK)
}

var (
	errShed     = errors.New("no slot is free")
	errTooLate  = errors.New("the deadline has passed")
	errDraining = errors.New("the target is leaving")
)

func (t *Target) serve(w http.ResponseWriter, r *http.Request) {
	d := t.draw()
	w.Header().Set(RequestIDField, r.Header.Get(RequestIDField))
	if d.crossed {
		w.Header().Set(RequestIDField, "another-request")
	}
	if err := t.begin(r, d); err != nil {
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
	t.record(r.Header.Get(WorkField))
	if r.Header.Get(WorkField) == CrashWork {
		os.Exit(crashCode)
	}
	if d.hang {
		<-r.Context().Done()
		return
	}
	clock.Sleep(r.Context(), time.Duration(d.slow*float64(cost(r.Header))))
	t.answer(w, r, body, d)
}

// begin takes a slot, or says why the request is not run.
func (t *Target) begin(r *http.Request, d drawn) error {
	if d.draining {
		t.arrivedLate()
		return errDraining
	}
	ctx := r.Context()
	if ms, err := strconv.ParseInt(r.Header.Get(DeadlineField), 10, 64); err == nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
		defer cancel()
	}
	if !t.enter() {
		return errShed
	}
	defer t.leave()
	select {
	case t.slots <- struct{}{}:
		return nil
	case <-ctx.Done():
		return errTooLate
	}
}

func (t *Target) arrivedLate() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastNew = time.Now()
}

func (t *Target) enter() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.slots) >= t.cfg.Slots && t.waiting >= t.cfg.Backlog {
		return false
	}
	t.waiting++
	return true
}

func (t *Target) leave() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.waiting--
}

func (t *Target) record(work string) {
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

func cost(h http.Header) time.Duration {
	n, err := strconv.ParseInt(h.Get(CostField), 10, 64)
	if err != nil {
		return 0
	}
	return time.Duration(n) * time.Microsecond
}

// answer writes the work's id, a checksum of the request's body and padding.
func (t *Target) answer(w http.ResponseWriter, r *http.Request, body []byte, d drawn) {
	if d.reset {
		panic(http.ErrAbortHandler)
	}
	if d.wrong {
		http.Error(w, "wrong", http.StatusInternalServerError)
		return
	}
	answer := Echo(r.Header.Get(WorkField), body, answerSize(r.Header))
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	if d.cut {
		w.Write(answer[:len(answer)/2])
		panic(http.ErrAbortHandler)
	}
	w.Write(answer)
}

func answerSize(h http.Header) int {
	n, err := strconv.Atoi(h.Get(SizeField))
	if err != nil || n < 0 {
		return 0
	}
	return n
}

// Echo returns the answer that the stand-in gives to a piece of work: the
// work's id, the checksum of the body, and padding up to a size.
func Echo(work string, body []byte, size int) []byte {
	h := fnv.New64a()
	h.Write(body)
	answer := []byte(work + " " + strconv.FormatUint(h.Sum64(), 16) + "\n")
	for len(answer) < size {
		answer = append(answer, answer[len(answer)%(len(work)+1)])
	}
	return answer
}

// Control answers whoever runs the trial: GET and PUT of the faults, GET of
// the runs.
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
		t.draining = time.Now()
	}
	t.faults = f
}

// Runs is the answer of the control address about runs.
type Runs struct {
	// Counts gives how often each piece of work ran.
	Counts map[string]int
	// LastNewMilliseconds is the time from when the target began to leave to
	// the last request that arrived.
	LastNewMilliseconds int64
}

func (t *Target) getRuns(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	t.mu.Lock()
	defer t.mu.Unlock()
	writeJSON(w, Runs{Counts: t.runs, LastNewMilliseconds: max(0, t.lastNew.Sub(t.draining).Milliseconds())})
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(v)
}
