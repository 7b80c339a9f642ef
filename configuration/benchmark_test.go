package configuration

import (
	"fmt"
	"runtime"
	"strings"
	"testing"

	"github.com/briarrouter/briarrouter/id"
	"github.com/stretchr/testify/require"
)

// The expected future size of a configuration.
const (
	serviceCount = 370
	routeCount   = 3_800
	callerCount  = 33_000
)

func largeConfiguration(b *testing.B) Documents {
	serviceSection, _, _ := strings.Cut(string(readFile(b, "testdata/good.ini")), "[Route")
	values := make(map[id.Service][]byte)
	for s := range serviceCount {
		name := fmt.Sprintf("service-%03d", s)
		var text strings.Builder
		text.WriteString(strings.Replace(serviceSection, "Name = beds", "Name = "+name, 1))
		for r := range routeCount/serviceCount + 1 {
			fmt.Fprintf(&text, "[Route r%d]\nMethod = GET\nPath = /%s/%d\nIdempotent = yes\nLong = no\nTimeout = 2s\n", r, name, r)
		}
		for c := range callerCount/serviceCount + 1 {
			fmt.Fprintf(&text, "[Caller account-%d-%d]\nShare = 2\n", s, c)
		}
		values[id.Service(name)] = []byte(text.String())
	}
	return Documents{Index: EncodeIndex(1, values), Values: values}
}

// BenchmarkCompose composes a snapshot of the expected future size, as happens
// on every change of the configuration, and reports the memory that the
// snapshot occupies.
func BenchmarkCompose(b *testing.B) {
	docs := largeConfiguration(b)
	before := heapBytes()
	var s *Snapshot
	for b.Loop() {
		var err error
		s, err = INI{}.Compose(docs)
		require.NoError(b, err)
	}
	b.ReportMetric(float64(heapBytes()-before)/(1<<20), "MiB")
	runtime.KeepAlive(s)
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
