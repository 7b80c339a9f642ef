package idempotency

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/briarrouter/briarrouter/id"
	"github.com/briarrouter/briarrouter/outcome"
	"github.com/briarrouter/briarrouter/scripttest"
	"github.com/briarrouter/briarrouter/unit"
	"github.com/briarrouter/briarrouter/work"
)

const self id.Incarnation = 0xabc

// TestScripts runs scripts that claim and settle keys of one incarnation. The
// word "own" in a key stands for that incarnation.
func TestScripts(t *testing.T) {
	scripttest.Run(t, ".script", func(*testing.T) func([]string) string {
		clock := scripttest.NewClock()
		s := &script{clock: clock, table: New(Config{
			Incarnation: self, Start: clock.Now(), Epoch: time.Minute, Keys: 3, ResponseBytes: 10,
		}), entries: make(map[id.Key]*Entry)}
		return s.execute
	})
}

type script struct {
	clock *scripttest.Clock
	table *Table
	// entries holds the entry of each key for which Claim returned Start.
	entries map[id.Key]*Entry
}

func (s *script) execute(w []string) string {
	switch w[0] {
	case "wait":
		return s.clock.Advance(w[1])
	case "prefix":
		return s.table.Prefix(s.clock.Now())
	case "claim":
		return s.claim(key(w[1]), w[2])
	case "settle":
		s.table.Settle(key(w[1]), s.entries[key(w[1])], response(outcome.Outcome(w[2]), w[3:]))
		return ""
	case "state":
		return fmt.Sprintf("%+v", s.table.State(s.clock.Now()))
	default:
		return "unknown command"
	}
}

func key(word string) id.Key { return id.Key(strings.Replace(word, "own", self.String(), 1)) }

func response(o outcome.Outcome, body []string) work.Response {
	r := work.Response{Outcome: o, Status: 200}
	if len(body) > 0 {
		r.Buffered = []byte(body[0])
		r.Size = unit.Bytes(len(r.Buffered))
	}
	return r
}

func (s *script) claim(k id.Key, uri string) string {
	req := work.Request{Method: "POST", URI: uri}
	verdict, e := s.table.Claim(s.clock.Now(), k, req.Fingerprint())
	if verdict == Start {
		s.entries[k] = e
	}
	if verdict == Recorded {
		return fmt.Sprintf("%s %s %d %q %s", verdict, e.Response.Outcome, e.Response.Status, e.Response.Buffered, e.Response.Reason)
	}
	return string(verdict)
}

// BenchmarkKey measures the memory of one settled key whose response has no body.
func BenchmarkKey(b *testing.B) {
	const keys = 100_000
	for range b.N {
		before := heapSize()
		start := time.Unix(0, 0)
		table := New(Config{Incarnation: self, Start: start, Epoch: time.Minute, Keys: keys, ResponseBytes: 0})
		for i := range keys {
			k := id.Key(fmt.Sprintf("%s-0-booking-%08d", self, i))
			_, e := table.Claim(start, k, work.Fingerprint(i))
			table.Settle(k, e, work.Response{Outcome: outcome.Ran, Status: 200})
		}
		b.ReportMetric(float64(heapSize()-before)/keys, "bytes/key")
		runtime.KeepAlive(table)
	}
}

func heapSize() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// FuzzOwner checks that the parser does not panic, and that it accepts an owner
// and an epoch in their canonical form only.
func FuzzOwner(f *testing.F) {
	f.Add("0000000000000abc-0-x")
	f.Fuzz(func(t *testing.T, key string) {
		p, ok := parseKey(id.Key(key))
		if ok && !strings.HasPrefix(key, fmt.Sprintf("%s-%d-", p.owner, p.epoch)) {
			t.Fatalf("%q is taken for owner %s, epoch %d", key, p.owner, p.epoch)
		}
	})
}
