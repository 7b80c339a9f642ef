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

const speedService = `[Service]
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

// fleet is one daemon before stand-ins, in this process.
type fleet struct {
	kernel *kernel.Kernel
	target string
	entry  string
}

func startFleet(b testing.TB) *fleet {
	target := httptest.NewServer(standin.NewTarget(standin.TargetConfig{Slots: 64, Backlog: 64}).Handler())
	b.Cleanup(target.Close)
	p := standin.NewPlatform(standin.PlatformConfig{Rate: 2000})
	published := httptest.NewServer(p.Handler())
	b.Cleanup(published.Close)
	values := map[id.Service][]byte{"beds": []byte(speedService)}
	p.Put(publication.ServiceKey("beds"), values["beds"])
	p.Put(publication.TargetsKey("beds"), fmt.Appendf(nil, "[Target t1]\nAddress = %s\nFailureDomain = Milano\nState = live\n", target.Listener.Addr()))
	p.Put(publication.DaemonsKey, []byte(""))
	p.Put(publication.IndexKey, configuration.EncodeIndex(1, values))
	text := fmt.Sprintf("[Host]\nName = h\nFailureDomain = Milano\n[Listen]\nCallers = %s\nPeers = %s\nOperator = %s\n[Platform]\nAddresses = %s\n[Timing]\nJoin = 100ms\nHold = 1s\n",
		freeAddress(b), freeAddress(b), freeAddress(b), published.Listener.Addr())
	daemon, err := settings.Parse("speed", []byte(text))
	require.NoError(b, err)
	k, err := (&assembly{daemon: daemon, log: zerolog.Nop(), now: time.Now()}).kernel()
	require.NoError(b, err)
	require.NoError(b, k.Start(context.Background()))
	b.Cleanup(func() { k.Stop(context.Background()) })
	f := &fleet{kernel: k, target: "http://" + target.Listener.Addr().String() + "/beds", entry: "http://" + string(daemon.Callers) + "/beds"}
	require.Eventually(b, func() bool {
		resp, err := http.Get(f.entry)
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	}, 10*time.Second, 20*time.Millisecond)
	return f
}

func freeAddress(t testing.TB) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	return l.Addr().String()
}

// relay is the baseline: the least that a reverse relay on net/http can be.
func relay(target string) http.Handler {
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

// BenchmarkOverhead sends 2,000 requests a second for some seconds straight to
// a target, by way of a daemon, and by way of a bare relay, and reports what
// the two add: the 99th percentile and the processor time a request.
func BenchmarkOverhead(b *testing.B) {
	f := startFleet(b)
	bare := httptest.NewServer(relay(f.target))
	b.Cleanup(bare.Close)
	for range b.N {
		direct := drive(b, f.target)
		daemon := drive(b, f.entry)
		baseline := drive(b, bare.URL)
		b.ReportMetric(daemon.p99-direct.p99, "added-p99-ms")
		b.ReportMetric(baseline.p99-direct.p99, "relay-added-p99-ms")
		b.ReportMetric(daemon.cpu-direct.cpu, "cpu-us/request")
		b.ReportMetric(baseline.cpu-direct.cpu, "relay-cpu-us/request")
		b.ReportMetric((daemon.cpu-direct.cpu)/(baseline.cpu-direct.cpu), "cpu-ratio")
	}
}

// speed is what one way costs.
type speed struct {
	// p99 is in milliseconds, cpu in microseconds a request.
	p99, cpu float64
}

const (
	speedRate     = 2000
	speedRequests = 6 * speedRate
)

func drive(b *testing.B, url string) speed {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
	defer client.CloseIdleConnections()
	var mu sync.Mutex
	var group sync.WaitGroup
	histogram := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	before := processorTime()
	started := time.Now()
	for i := range speedRequests {
		due := started.Add(time.Duration(i) * time.Second / speedRate)
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
	return speed{
		p99: float64(histogram.ValueAtQuantile(99)) / 1000,
		cpu: float64((processorTime() - before).Microseconds()) / speedRequests,
	}
}

func processorTime() time.Duration {
	var u syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
