package quarantine

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/briarrouter/briarrouter/id"
	"github.com/briarrouter/briarrouter/scripttest"
	"github.com/briarrouter/briarrouter/work"
)

// TestScripts runs scripts in which connections to targets break while requests
// run on them. The command notify sends the notices to another, empty table, and restart
// replaces the table by an empty one.
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
		// The request has run for a millisecond, or for the time that the fourth word gives.
		ran := time.Millisecond
		if len(w) > 3 {
			ran, _ = time.ParseDuration(w[3])
		}
		return fmt.Sprint(s.table.RecordCrash(now, now.Add(-ran), identity(w[1]), id.Target(w[2])))
	case "complete":
		s.table.RecordCompletion(now, identity(w[1]))
		return ""
	case "quarantined":
		return fmt.Sprint(s.table.Quarantined(now, identity(w[1])))
	case "suspect":
		return fmt.Sprint(s.table.Suspect(identity(w[1])))
	case "expire":
		return fmt.Sprint(s.table.Expire(now))
	case "flood":
		n, _ := strconv.Atoi(w[1])
		for i := range n {
			s.table.RecordCrash(now, now, work.Identity{Content: work.Fingerprint(1000 + i)}, "t")
		}
		return fmt.Sprintf("%+v", s.table.State())
	case "restart":
		s.table = New()
		return ""
	case "state":
		return fmt.Sprintf("%+v", s.table.State())
	case "learn":
		left := quarantineTime
		if len(w) > 2 {
			ago, _ := time.ParseDuration(w[2])
			left -= ago
		}
		s.table.Learn(now, []Notice{{Fingerprint: fingerprint(w[1]), Left: left}})
		return ""
	case "notify":
		other := New()
		other.Learn(now, s.table.Notices(now, 8))
		return fmt.Sprintf("peer: %v", other.Quarantined(now, identity(w[1])))
	default:
		return "unknown command"
	}
}

// identity returns the identity of a request written CONTENT or CONTENT@CALLER.
func identity(word string) work.Identity {
	content, origin, _ := strings.Cut(word, "@")
	return (&work.Request{URI: content, Origin: id.Origin(origin)}).Identity()
}

// fingerprint returns the fingerprint by which a peer reports the request.
func fingerprint(word string) work.Fingerprint {
	if r := identity(word); r.ByCaller != 0 {
		return r.ByCaller
	}
	return identity(word).Content
}
