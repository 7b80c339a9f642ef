package registry

import (
	"time"

	"github.com/briarrouter/briarrouter/id"
)

// Confirmation is the statement of the platform, to one daemon, that a copy is complete.
// Its age is passed on from daemon to daemon without the time that the messages take. If
// a daemon took the same confirmation again by way of others, that time would make its
// copy look newer each time.
type Confirmation struct {
	// By is the daemon that called the platform; zero if it is not known.
	By id.Incarnation
	// Number grows with each confirmation to this daemon.
	Number uint64
}

// maxConfirmers bounds the daemons whose confirmations are remembered. Only a few daemons
// call the platform at any time.
const maxConfirmers = 64

// receivedConfirmation is the last confirmation to a daemon.
type receivedConfirmation struct {
	number uint64
	at     time.Time
}

// confirmations holds the last confirmations to other daemons.
type confirmations map[id.Incarnation]receivedConfirmation

// add reports whether a confirmation is new. Those of an unknown daemon always are.
func (cs confirmations) add(now time.Time, c Confirmation) bool {
	if c.By == 0 {
		return true
	}
	if known, ok := cs[c.By]; ok && known.number >= c.Number {
		return false
	}
	if len(cs) >= maxConfirmers {
		cs.forgetOldest()
	}
	cs[c.By] = receivedConfirmation{c.Number, now}
	return true
}

func (cs confirmations) forgetOldest() {
	var oldest id.Incarnation
	for by, known := range cs {
		if oldest == 0 || known.at.Before(cs[oldest].at) {
			oldest = by
		}
	}
	delete(cs, oldest)
}
