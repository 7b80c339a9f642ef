package command

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/briarrouter/briarrouter/configuration"
	"github.com/briarrouter/briarrouter/id"
	"github.com/briarrouter/briarrouter/kernel"
	"github.com/briarrouter/briarrouter/publication"
	"github.com/briarrouter/briarrouter/settings"
	"github.com/briarrouter/briarrouter/standin"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// benchmarkService is the configuration of the service that the benchmarks use.
const benchmarkService = `[Service]
Name = beds
Slots = 64
Connections = 330
Floor = 1
LongShare = 1
Queue = 1000
RetryShare = 0.1
Attempts = 3
Evidence = 20
FirstEjection = 10s
Warmup = 0s
ProbePath = /health
ProbeEvery = 1h
ProbeTimeout = 250ms
EchoHeader = X-Request-Id
DeadlineHeader = X-Deadline-Ms

[Route read]
Method = GET
Path = /beds
Idempotent = yes
Long = no
Timeout = 2s
`

// singleDaemon is a daemon with stand-ins for its target and its platform, all in
// the test process.
type singleDaemon struct {
	kernel    *kernel.Kernel
	targetURL string
	daemonURL string
}

func startSingleDaemon(b testing.TB) *singleDaemon {
	target := httptest.NewServer(standin.NewTarget(standin.TargetConfig{Slots: 64, Backlog: 64}).Handler())
	b.Cleanup(target.Close)
	platform := standin.NewPlatform(standin.PlatformConfig{Rate: 2000})
	platformServer := httptest.NewServer(platform.Handler())
	b.Cleanup(platformServer.Close)
	values := map[id.Service][]byte{"beds": []byte(benchmarkService)}
	platform.Put(publication.ServiceKey("beds"), values["beds"])
	platform.Put(publication.TargetsKey("beds"), fmt.Appendf(nil, "[Target t1]\nAddress = %s\nFailureDomain = Milano\nState = live\n", target.Listener.Addr()))
	platform.Put(publication.DaemonsKey, []byte(""))
	platform.Put(publication.IndexKey, configuration.EncodeIndex(1, values))
	text := fmt.Sprintf("[Host]\nName = h\nFailureDomain = Milano\n[Listen]\nCallers = %s\nPeers = %s\nOperator = %s\n[Platform]\nAddresses = %s\n[Timing]\nJoin = 100ms\nHold = 1s\n",
		freeAddress(b), freeAddress(b), freeAddress(b), platformServer.Listener.Addr())
	daemon, err := settings.Parse("overhead", []byte(text))
	require.NoError(b, err)
	k, err := (&daemonBuilder{daemon: daemon, log: zerolog.Nop(), now: time.Now()}).buildKernel()
	require.NoError(b, err)
	require.NoError(b, k.Start(context.Background()))
	b.Cleanup(func() { k.Stop(context.Background()) })
	d := &singleDaemon{kernel: k, targetURL: "http://" + target.Listener.Addr().String() + "/beds", daemonURL: "http://" + string(daemon.Callers) + "/beds"}
	require.Eventually(b, func() bool {
		resp, err := http.Get(d.daemonURL)
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	}, 10*time.Second, 20*time.Millisecond)
	return d
}

func freeAddress(t testing.TB) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	return l.Addr().String()
}

// minimalProxy is the baseline: the least that a reverse proxy on net/http has to
// do.
func minimalProxy(target string) http.Handler {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		out, err := http.NewRequestWithContext(r.Context(), r.Method, target, r.Body)
		if err != nil {
			return
		}
		out.Header = r.Header
		resp, err := client.Do(out)
		if err != nil {
			w.WriteHeader(http.StatusBadGateway)
			return
		}
		defer resp.Body.Close()
		for name, values := range resp.Header {
			w.Header()[name] = values
		}
		w.WriteHeader(resp.StatusCode)
		io.Copy(w, resp.Body)
	})
}

// BenchmarkOverhead sends 2,000 requests per second directly to a target, through
// a daemon, and through minimalProxy. It reports how much the daemon and
// minimalProxy add to the 99th percentile of the response time and to the CPU time
// of a request. Units that begin with "relay" are those of minimalProxy.
func BenchmarkOverhead(b *testing.B) {
	d := startSingleDaemon(b)
	proxy := httptest.NewServer(minimalProxy(d.targetURL))
	b.Cleanup(proxy.Close)
	for range b.N {
		direct := measureRequests(b, d.targetURL)
		daemon := measureRequests(b, d.daemonURL)
		baseline := measureRequests(b, proxy.URL)
		b.ReportMetric(daemon.p99-direct.p99, "added-p99-ms")
		b.ReportMetric(baseline.p99-direct.p99, "relay-added-p99-ms")
		b.ReportMetric(daemon.cpu-direct.cpu, "cpu-us/request")
		b.ReportMetric(baseline.cpu-direct.cpu, "relay-cpu-us/request")
		b.ReportMetric((daemon.cpu-direct.cpu)/(baseline.cpu-direct.cpu), "cpu-ratio")
	}
}

// requestCost is the cost of requests to one URL.
type requestCost struct {
	// p99 is the 99th percentile of the response time in milliseconds, cpu the
	// CPU time of the whole process in microseconds per request.
	p99, cpu float64
}

const (
	// overheadRate is in requests per second.
	overheadRate     = 2000
	overheadRequests = 6 * overheadRate
)

// measureRequests sends requests at a fixed rate. It measures response times from
// the time at which a request was due, so that a late sender counts as delay.
func measureRequests(b *testing.B, url string) requestCost {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
	defer client.CloseIdleConnections()
	var mu sync.Mutex
	var group sync.WaitGroup
	histogram := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	cpuBefore := processCPUTime()
	started := time.Now()
	for i := range overheadRequests {
		due := started.Add(time.Duration(i) * time.Second / overheadRate)
		time.Sleep(time.Until(due))
		group.Go(func() {
			resp, err := client.Get(url)
			if err != nil {
				b.Error(err)
				return
			}
			io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
			mu.Lock()
			defer mu.Unlock()
			histogram.RecordValue(time.Since(due).Microseconds())
		})
	}
	group.Wait()
	return requestCost{
		p99: float64(histogram.ValueAtQuantile(99)) / 1000,
		cpu: float64((processCPUTime() - cpuBefore).Microseconds()) / overheadRequests,
	}
}

func processCPUTime() time.Duration {
	var u syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
