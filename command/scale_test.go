package command

import (
	"context"
	"fmt"
	"net/http/httptest"
	"os"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/briarrouter/briarrouter/configuration"
	"github.com/briarrouter/briarrouter/id"
	"github.com/briarrouter/briarrouter/kernel"
	"github.com/briarrouter/briarrouter/peer"
	"github.com/briarrouter/briarrouter/publication"
	"github.com/briarrouter/briarrouter/roster"
	"github.com/briarrouter/briarrouter/settings"
	"github.com/briarrouter/briarrouter/standin"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// scaleFleet is a fleet of daemons in the test process. No requests are sent to it.
type scaleFleet struct {
	b        *testing.B
	platform *standin.Platform
	kernels  []*kernel.Kernel
	// dead is a daemon whose peer service was stopped, so that it no longer
	// responds to the others.
	dead *kernel.Kernel
}

var scaleDomains = []string{"Milano", "Torino", "Verona", "Bologna", "Yura", "Cayma", "Socabaya"}

func startScaleFleet(b *testing.B, n int) *scaleFleet {
	f := &scaleFleet{b: b, platform: standin.NewPlatform(standin.PlatformConfig{Rate: 1 << 20})}
	server := httptest.NewServer(f.platform.Handler())
	b.Cleanup(server.Close)
	f.publishConfiguration(1)
	f.platform.Put(publication.TargetsKey("beds"), []byte("[Target t1]\nAddress = 127.0.0.1:9\nFailureDomain = Milano\nState = live\n"))
	var list strings.Builder
	var all []settings.Daemon
	for i := range n {
		text := fmt.Sprintf("[Host]\nName = host-%03d\nFailureDomain = %s\n[Listen]\nCallers = %s\nPeers = %s\nOperator = %s\n[Platform]\nAddresses = %s\n[Timing]\nHold = 1s\n",
			i, scaleDomains[i%len(scaleDomains)], scaleAddress(i, 1), scaleAddress(i, 2), scaleAddress(i, 3), server.Listener.Addr())
		daemon, err := settings.Parse("scale", []byte(text))
		require.NoError(b, err)
		all = append(all, daemon)
		fmt.Fprintf(&list, "[Daemon %s]\nCallers = %s\nPeers = %s\nFailureDomain = %s\nState = live\n", daemon.Host, daemon.Callers, daemon.Peers, daemon.FailureDomain)
	}
	f.platform.Put(publication.DaemonsKey, []byte(list.String()))
	for _, daemon := range all {
		k, err := (&daemonBuilder{daemon: daemon, log: zerolog.Nop(), now: time.Now()}).buildKernel()
		require.NoError(b, err)
		require.NoError(b, k.Start(context.Background()))
		f.kernels = append(f.kernels, k)
	}
	f.waitForAll(func(k *kernel.Kernel) bool { return f.peerService(k).Ready() })
	return f
}

// scaleAddress returns an address of daemon i; each daemon has its own loopback
// address.
func scaleAddress(i, port int) string {
	return fmt.Sprintf("127.9.%d.%d:%d", i/200, 1+i%200, 7800+port)
}

// publishConfiguration publishes a configuration with the given version number.
// The number is also the queue limit, so that the content differs too.
func (f *scaleFleet) publishConfiguration(number uint64) {
	values := map[id.Service][]byte{"beds": []byte(strings.Replace(benchmarkService, "Queue = 1000", fmt.Sprintf("Queue = %d", number), 1))}
	f.platform.Put(publication.ServiceKey("beds"), values["beds"])
	f.platform.Put(publication.IndexKey, configuration.EncodeIndex(number, values))
}

func (f *scaleFleet) peerService(k *kernel.Kernel) *peer.Service {
	s, err := kernel.Find[*peer.Service](k, peer.ServiceName)
	require.NoError(f.b, err)
	return s
}

// waitForAll waits until the condition has held on every daemon, polling them one
// after the other, and returns how long that took.
func (f *scaleFleet) waitForAll(condition func(*kernel.Kernel) bool) time.Duration {
	started := time.Now()
	for _, k := range f.kernels {
		require.Eventually(f.b, func() bool { return condition(k) }, time.Minute, 5*time.Millisecond)
	}
	return time.Since(started)
}

// stop stops all daemons. The context is cancelled, so that no stop waits.
func (f *scaleFleet) stop() {
	all := f.kernels
	if f.dead != nil {
		all = append(all, f.dead)
	}
	for _, k := range all {
		cancelled, cancel := context.WithCancel(context.Background())
		cancel()
		k.Stop(cancelled)
	}
}

// loopbackBytes returns the number of bytes that the loopback device has
// received.
func loopbackBytes(b *testing.B) float64 {
	data, err := os.ReadFile("/proc/self/net/dev")
	require.NoError(b, err)
	for line := range strings.Lines(string(data)) {
		if name, rest, ok := strings.Cut(strings.TrimSpace(line), ":"); ok && name == "lo" {
			n, err := strconv.ParseFloat(strings.Fields(rest)[0], 64)
			require.NoError(b, err)
			return n
		}
	}
	b.Fatal("no loopback device")
	return 0
}

const (
	// settleTimePerDaemon is multiplied by the number of daemons. The product is the
	// time for which the benchmark waits after the start until the membership changes
	// have spread through the fleet.
	settleTimePerDaemon = 1500 * time.Millisecond
	scaleMeasureWindow  = 10 * time.Second
)

// BenchmarkScale starts fleets of daemons without load. It reports the traffic,
// CPU time and memory per daemon, the time until a new configuration is in
// force on all daemons, and the time until no daemon reports a stopped one as
// alive. A suspect daemon does not count as alive.
func BenchmarkScale(b *testing.B) {
	for _, n := range []int{10, 20, 40, 80, 160} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for range b.N {
				measureScale(b, n)
			}
		})
	}
}

func measureScale(b *testing.B, n int) {
	f := startScaleFleet(b, n)
	defer f.stop()
	time.Sleep(time.Duration(n) * settleTimePerDaemon)
	bytesBefore, cpuBefore := loopbackBytes(b), processCPUTime()
	time.Sleep(scaleMeasureWindow)
	seconds := scaleMeasureWindow.Seconds()
	b.ReportMetric((loopbackBytes(b)-bytesBefore)/seconds/float64(n), "bytes/s/daemon")
	b.ReportMetric(100*(processCPUTime()-cpuBefore).Seconds()/seconds/float64(n), "%core/daemon")
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	b.ReportMetric(float64(memory.HeapInuse+memory.StackInuse)/float64(n)/(1<<20), "MiB/daemon")
	f.publishConfiguration(2)
	b.ReportMetric(f.waitForAll(func(k *kernel.Kernel) bool { return f.versionInForce(k) == 2 }).Seconds(), "s-to-configure")
	f.dead = f.kernels[0]
	host := f.peerService(f.dead).Self().Host
	require.NoError(b, f.peerService(f.dead).Stop(context.Background()))
	f.kernels = f.kernels[1:]
	b.ReportMetric(f.waitForAll(func(k *kernel.Kernel) bool { return !f.seesAlive(k, host) }).Seconds(), "s-to-drop-dead")
}

func (f *scaleFleet) versionInForce(k *kernel.Kernel) uint64 {
	s, err := kernel.Find[*configuration.Store](k, configuration.ServiceName)
	require.NoError(f.b, err)
	return s.Version().Number
}

func (f *scaleFleet) seesAlive(k *kernel.Kernel, host id.Host) bool {
	for _, m := range f.peerService(k).Members() {
		if m.Host == host {
			return m.State == roster.Alive
		}
	}
	return false
}
