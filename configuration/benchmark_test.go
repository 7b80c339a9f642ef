package configuration

import (
	"fmt"
	"runtime"
	"strings"
	"testing"

	"github.com/briarrouter/briarrouter/id"
	"github.com/stretchr/testify/require"
)

// The size to come: services, routes and client accounts.
const (
	manyServices = 370
	manyRoutes   = 3_800
	manyCallers  = 33_000
)

// large returns a configuration of the size to come.
func large(b *testing.B) Documents {
	head, _, _ := strings.Cut(string(read(b, "testdata/good.ini")), "[Route")
	values := make(map[id.Service][]byte)
	for s := range manyServices {
		name := fmt.Sprintf("service-%03d", s)
		var text strings.Builder
		text.WriteString(strings.Replace(head, "Name = beds", "Name = "+name, 1))
		for r := range manyRoutes/manyServices + 1 {
			fmt.Fprintf(&text, "[Route r%d]\nMethod = GET\nPath = /%s/%d\nIdempotent = yes\nLong = no\nTimeout = 2s\n", r, name, r)
		}
		for c := range manyCallers/manyServices + 1 {
			fmt.Fprintf(&text, "[Caller account-%d-%d]\nShare = 2\n", s, c)
		}
		values[id.Service(name)] = []byte(text.String())
	}
	return Documents{Index: EncodeIndex(1, values), Values: values}
}

// BenchmarkCompose makes a snapshot of the size to come, as each change of the
// configuration does, and reports the memory that it takes.
func BenchmarkCompose(b *testing.B) {
	docs := large(b)
	before := heap()
	var s *Snapshot
	for b.Loop() {
		var err error
		s, err = INI{}.Compose(docs)
		require.NoError(b, err)
	}
	b.ReportMetric(float64(heap()-before)/(1<<20), "MiB")
	runtime.KeepAlive(s)
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
