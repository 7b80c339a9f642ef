package load

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Report holds the results of a run.
type Report struct {
	Elapsed time.Duration

	mu sync.Mutex
	// counts gives the number of requests of each class and verdict.
	counts map[Class]map[Verdict]int
	// latencies holds, in microseconds, the time from when a request was due to
	// the end of its response, for requests that ran.
	latencies map[Class]*hdrhistogram.Histogram
	// verdicts gives the verdict of each unit of work.
	verdicts map[string]Verdict
	// reasons counts, by reason, the responses that the router produced itself.
	reasons map[string]int
}

const (
	histogramMax    = int64(10 * time.Minute / time.Microsecond)
	histogramDigits = 3
)

func newReport() *Report {
	r := &Report{
		counts:    make(map[Class]map[Verdict]int),
		latencies: make(map[Class]*hdrhistogram.Histogram),
		verdicts:  make(map[string]Verdict),
		reasons:   make(map[string]int),
	}
	for _, c := range Classes {
		r.counts[c] = make(map[Verdict]int)
		r.latencies[c] = hdrhistogram.New(1, histogramMax, histogramDigits)
	}
	return r
}

func (r *Report) record(c Class, v Verdict, work string, elapsed time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[c][v]++
	r.verdicts[work] = v
	if v == Ran {
		r.latencies[c].RecordValue(min(histogramMax, elapsed.Microseconds()))
	}
}

func (r *Report) recordReason(reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reasons[reason]++
}

// Promise is a guarantee of the router, and whether it held in a run.
type Promise struct {
	Text string
	Kept bool
	// Seen describes the observations that Kept follows from.
	Seen string
}

// Judge compares the callers' verdicts with the executions that the targets
// recorded. Each entry of runs counts the executions of one unit of work.
func (r *Report) Judge(runs map[string]int) []Promise {
	repeated, ranDespiteNotRun := 0, 0
	for work, n := range runs {
		v := r.verdicts[work]
		if classOfWork(work) == NonIdempotent && n > 1 {
			repeated++
		}
		if classOfWork(work) == NonIdempotent && v == NotRun {
			ranDespiteNotRun++
		}
	}
	unrecorded := 0
	for work, v := range r.verdicts {
		if v == Ran && runs[work] == 0 {
			unrecorded++
		}
	}
	broken := 0
	for _, c := range Classes {
		broken += r.counts[c][Broken]
	}
	return []Promise{
		{"unrepeatable work runs at most once", repeated == 0, fmt.Sprintf("%d ran more than once", repeated)},
		{"what was said not to have run did not run", ranDespiteNotRun == 0, fmt.Sprintf("%d ran all the same", ranDespiteNotRun)},
		{"what was said to have run ran", unrecorded == 0, fmt.Sprintf("%d have no record", unrecorded)},
		{"answers are complete and the caller's own", broken == 0, fmt.Sprintf("%d were not", broken)},
	}
}

// classOfWork returns the class in the name of a unit of work.
func classOfWork(work string) Class {
	for _, c := range Classes {
		if len(work) > len(c) && work[:len(c)] == string(c) {
			return c
		}
	}
	return ""
}

// SuccessShare returns the share of all requests whose verdict is Ran.
func (r *Report) SuccessShare() float64 {
	ran, all := 0, 0
	for _, c := range Classes {
		for _, v := range Verdicts {
			all += r.counts[c][v]
		}
		ran += r.counts[c][Ran]
	}
	if all == 0 {
		return 0
	}
	return float64(ran) / float64(all)
}

// Write prints the counts and the latencies.
func (r *Report) Write(out io.Writer) {
	fmt.Fprintf(out, "%-13s", "Class")
	for _, v := range Verdicts {
		fmt.Fprintf(out, "%9s", v)
	}
	fmt.Fprintf(out, "%10s%10s%10s%10s\n", "p50 ms", "p99 ms", "p99.9 ms", "max ms")
	for _, c := range Classes {
		fmt.Fprintf(out, "%-13s", c)
		for _, v := range Verdicts {
			fmt.Fprintf(out, "%9d", r.counts[c][v])
		}
		h := r.latencies[c]
		for _, us := range []int64{h.ValueAtQuantile(50), h.ValueAtQuantile(99), h.ValueAtQuantile(99.9), h.Max()} {
			fmt.Fprintf(out, "%10.1f", float64(us)/1000)
		}
		fmt.Fprintln(out)
	}
	for _, reason := range slices.Sorted(maps.Keys(r.reasons)) {
		fmt.Fprintf(out, "answers of the system itself, %s: %d\n", reason, r.reasons[reason])
	}
	fmt.Fprintf(out, "answered: %.2f%% of the requests in %s; times count from when a request was due\n", 100*r.SuccessShare(), r.Elapsed.Round(time.Millisecond))
}
