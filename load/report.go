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

// Report is what a run showed.
type Report struct {
	Elapsed time.Duration

	mu sync.Mutex
	// counts gives the number of requests of each class and verdict.
	counts map[Class]map[Verdict]int
	// times holds the microseconds from when a request was due to its answer,
	// for those that ran.
	times map[Class]*hdrhistogram.Histogram
	// verdicts gives the verdict of each piece of work.
	verdicts map[string]Verdict
	// reasons counts the answers that the system gave itself.
	reasons map[string]int
}

const (
	histogramMax    = int64(10 * time.Minute / time.Microsecond)
	histogramDigits = 3
)

func newReport() *Report {
	r := &Report{
		counts:   make(map[Class]map[Verdict]int),
		times:    make(map[Class]*hdrhistogram.Histogram),
		verdicts: make(map[string]Verdict),
		reasons:  make(map[string]int),
	}
	for _, c := range Classes {
		r.counts[c] = make(map[Verdict]int)
		r.times[c] = hdrhistogram.New(1, histogramMax, histogramDigits)
	}
	return r
}

func (r *Report) add(c Class, v Verdict, work string, elapsed time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[c][v]++
	r.verdicts[work] = v
	if v == Ran {
		r.times[c].RecordValue(min(histogramMax, elapsed.Microseconds()))
	}
}

func (r *Report) addReason(reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reasons[reason]++
}

// Promise is a promise and whether the run kept it.
type Promise struct {
	Text string
	Kept bool
	// Seen says what the run showed.
	Seen string
}

// Judge compares the callers' verdicts with the runs that the targets
// recorded. Each entry of runs counts the runs of one piece of work.
func (r *Report) Judge(runs map[string]int) []Promise {
	doubled, denied := 0, 0
	for work, n := range runs {
		v := r.verdicts[work]
		if classOfWork(work) == Unsafe && n > 1 {
			doubled++
		}
		if classOfWork(work) == Unsafe && v == NotRun {
			denied++
		}
	}
	missing := 0
	for work, v := range r.verdicts {
		if v == Ran && runs[work] == 0 {
			missing++
		}
	}
	broken := 0
	for _, c := range Classes {
		broken += r.counts[c][Broken]
	}
	return []Promise{
		{"unrepeatable work runs at most once", doubled == 0, fmt.Sprintf("%d ran more than once", doubled)},
		{"what was said not to have run did not run", denied == 0, fmt.Sprintf("%d ran all the same", denied)},
		{"what was said to have run ran", missing == 0, fmt.Sprintf("%d have no record", missing)},
		{"answers are complete and the caller's own", broken == 0, fmt.Sprintf("%d were not", broken)},
	}
}

// classOfWork returns the class that a piece of work is named for.
func classOfWork(work string) Class {
	for _, c := range Classes {
		if len(work) > len(c) && work[:len(c)] == string(c) {
			return c
		}
	}
	return ""
}

// Share returns the share of all requests that got an answer.
func (r *Report) Share() float64 {
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

// Write prints the counts and the times.
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
		h := r.times[c]
		for _, us := range []int64{h.ValueAtQuantile(50), h.ValueAtQuantile(99), h.ValueAtQuantile(99.9), h.Max()} {
			fmt.Fprintf(out, "%10.1f", float64(us)/1000)
		}
		fmt.Fprintln(out)
	}
	for _, reason := range slices.Sorted(maps.Keys(r.reasons)) {
		fmt.Fprintf(out, "answers of the system itself, %s: %d\n", reason, r.reasons[reason])
	}
	fmt.Fprintf(out, "answered: %.2f%% of the requests in %s; times count from when a request was due\n", 100*r.Share(), r.Elapsed.Round(time.Millisecond))
}
