package roster

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/briarrouter/briarrouter/id"
	"github.com/briarrouter/briarrouter/scripttest"
)

// TestScripts runs scripts in which daemons a, b and c, each with a table of its
// own, exchange updates. It guards against reachable members that are declared
// dead, suspicions that are not refuted and stale updates that replace newer ones.
func TestScripts(t *testing.T) {
	scripttest.Run(t, ".script", func(*testing.T) func([]string) string {
		s := &script{clock: scripttest.NewClock(), tables: make(map[id.Host]*Table)}
		for i, host := range []id.Host{"a", "b", "c"} {
			s.start(host, id.Incarnation(i+1))
		}
		return s.execute
	})
}

type script struct {
	clock  *scripttest.Clock
	tables map[id.Host]*Table
}

func (s *script) start(host id.Host, i id.Incarnation) {
	s.tables[host] = New(Config{
		Self:             Member{Host: host, Incarnation: i, Callers: id.Address(host), Peers: id.Address(host), State: Alive},
		SuspicionTimeout: 2 * time.Second,
		Random:           rand.New(rand.NewPCG(1, uint64(i))),
	})
}

func (s *script) execute(w []string) string {
	now := s.clock.Now()
	switch w[0] {
	case "wait":
		return s.clock.Advance(w[1])
	case "restart":
		n, _ := strconv.Atoi(w[2])
		s.start(id.Host(w[1]), id.Incarnation(n))
		return ""
	case "rejoin":
		n, _ := strconv.Atoi(w[2])
		s.start(id.Host(w[1]), id.Incarnation(n))
		s.tables[id.Host(w[1])].self.State = Joining
		return ""
	case "joined":
		s.tables[id.Host(w[1])].SetState(Alive)
		return ""
	case "ping":
		s.ping(id.Host(w[1]), id.Host(w[2]))
		return ""
	case "probe-failed":
		s.tables[id.Host(w[1])].ProbeFailed(now, id.Host(w[2]))
		return ""
	case "tick":
		s.tables[id.Host(w[1])].Tick(now)
		return ""
	case "resumed":
		s.tables[id.Host(w[1])].RestartSuspicions(now)
		return ""
	case "leave":
		s.tables[id.Host(w[1])].SetState(Leaving)
		return ""
	case "list":
		return s.setListed(id.Host(w[1]), w[2:])
	case "view":
		return s.view(id.Host(w[1]))
	case "probes":
		return s.countProbes(id.Host(w[1]), w[2])
	default:
		return "unknown command"
	}
}

// ping exchanges updates in both directions.
func (s *script) ping(from, to id.Host) {
	now := s.clock.Now()
	a, b := s.tables[from], s.tables[to]
	self, updates := a.Self(), a.NextUpdates(8, to)
	b.MergeSender(now, self)
	b.Merge(now, updates)
	self, updates = b.Self(), b.NextUpdates(8, from)
	a.MergeSender(now, self)
	a.Merge(now, updates)
}

func (s *script) setListed(host id.Host, names []string) string {
	var list []ListedMember
	for _, n := range names {
		name, leaving := strings.CutSuffix(n, "!")
		list = append(list, ListedMember{Host: id.Host(name), Callers: id.Address(name), Peers: id.Address(name), Leaving: leaving})
	}
	s.tables[host].SetListed(s.clock.Now(), list)
	return ""
}

func (s *script) view(host id.Host) string {
	var words []string
	for _, m := range s.tables[host].Members() {
		words = append(words, fmt.Sprintf("%s:%d.%d:%s", m.Host, m.Incarnation, m.Sequence, m.State))
	}
	return strings.Join(words, " ")
}

// countProbes counts how often each member is probed in a number of turns.
func (s *script) countProbes(host id.Host, turns string) string {
	n, _ := strconv.Atoi(turns)
	counts := make(map[id.Host]int)
	for range n {
		if m, ok := s.tables[host].NextProbe(); ok {
			counts[m.Host]++
		}
	}
	return fmt.Sprint(counts)
}
