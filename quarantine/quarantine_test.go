package quarantine

import (
	"fmt"
	"strconv"
	"testing"

	"github.com/briarrouter/briarrouter/id"
	"github.com/briarrouter/briarrouter/scripttest"
	"github.com/briarrouter/briarrouter/work"
)

// TestScripts runs scripts in which connections to targets break while requests
// run on them. The command notify sends the notices to another, empty table.
func TestScripts(t *testing.T) {
	scripttest.Run(t, ".script", func(*testing.T) func([]string) string {
		s := &script{clock: scripttest.NewClock(), table: New()}
		return s.execute
	})
}

type script struct {
	clock *scripttest.Clock
	table *Table
}

func (s *script) execute(w []string) string {
	now := s.clock.Now()
	switch w[0] {
	case "wait":
		return s.clock.Advance(w[1])
	case "crash":
		return fmt.Sprint(s.table.RecordCrash(now, fingerprint(w[1]), id.Target(w[2])))
	case "complete":
		s.table.RecordCompletion(now, fingerprint(w[1]))
		return ""
	case "quarantined":
		return fmt.Sprint(s.table.Quarantined(now, fingerprint(w[1])))
	case "suspect":
		return fmt.Sprint(s.table.Suspect(fingerprint(w[1])))
	case "expire":
		return fmt.Sprint(s.table.Expire(now))
	case "flood":
		n, _ := strconv.Atoi(w[1])
		for i := range n {
			s.table.RecordCrash(now, work.Fingerprint(1000+i), "t")
		}
		return fmt.Sprintf("%+v", s.table.State())
	case "state":
		return fmt.Sprintf("%+v", s.table.State())
	case "learn":
		s.table.Learn(now, []Notice{{Fingerprint: fingerprint(w[1]), Left: quarantineTime}})
		return ""
	case "notify":
		other := New()
		other.Learn(now, s.table.Notices(now, 8))
		return fmt.Sprintf("peer: %v", other.Quarantined(now, fingerprint(w[1])))
	default:
		return "unknown command"
	}
}

func fingerprint(word string) work.Fingerprint {
	return (&work.Request{URI: word}).Fingerprint()
}
