package drain

import (
	"fmt"
	"testing"

	"github.com/briarrouter/briarrouter/id"
	"github.com/briarrouter/briarrouter/scripttest"
)

// TestScripts runs scripts in which targets drain. The command notify sends the
// notices to a peer.
func TestScripts(t *testing.T) {
	scripttest.Run(t, ".script", func(*testing.T) func([]string) string {
		s := &script{clock: scripttest.NewClock(), table: New(), peer: New()}
		return s.execute
	})
}

type script struct {
	clock       *scripttest.Clock
	table, peer *Table
}

func (s *script) execute(w []string) string {
	now := s.clock.Now()
	switch w[0] {
	case "wait":
		return s.clock.Advance(w[1])
	case "notice":
		return fmt.Sprint(s.table.RecordNotice(now, id.Address(w[1])))
	case "draining":
		return fmt.Sprintf("here %v, peer %v", s.table.Draining(now, id.Address(w[1])), s.peer.Draining(now, id.Address(w[1])))
	case "notify":
		return fmt.Sprint(s.peer.Learn(now, s.table.Notices(now, 8)))
	case "forget":
		s.table.Forget(id.Address(w[1]))
		return ""
	default:
		return "unknown command"
	}
}
