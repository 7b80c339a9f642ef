// Package quota keeps the requests of a client account within its limit over all daemons.
// Each daemon decides by itself. The replicas, the daemons that callers are directed to,
// tell each other how many requests they granted. Two rules must both allow a request:
//
//   - The pace: a token bucket with the rate and the burst of the limit, from which the
//     grants of all replicas are taken. It follows what the account may use.
//   - The bound: the grants of the last Window stay within the allowed total whatever is
//     lost. A replica divides what is left of the total among the replicas, and uses its
//     part for grants that the others have not acknowledged yet.
package quota

import (
	"time"

	"github.com/briarrouter/briarrouter/account"
	"github.com/briarrouter/briarrouter/id"
	"github.com/cespare/xxhash/v2"
)

// The total that the daemons may grant in any Window is
// (rate x Window + burst) x (1 + overrun) + slack.
const (
	Window  = 5 * time.Second
	overrun = 0.25
	slack   = 20
)

const (
	// margin is what the parts of a fleet that is cut into groups may grant together, as a
	// multiple of what the whole fleet may. It lets a group that lacks few daemons grant all.
	margin = 1.08
	// strayShare is the part of the total for all daemons that are no replicas.
	strayShare = 0.04
	// groupShare is the part of the total that the replicas of the whole fleet divide.
	groupShare = (1 - strayShare) / margin
	// paceRate and paceBurst raise the pace above the limit, and paceSlack adds credit, since
	// the replicas' views of the credit differ by the grants under way. Without them, a
	// request just below the limit is refused now and then.
	paceRate  = 1.03
	paceBurst = 1.05
	paceSlack = 1
	// windowBurst adds a part of what the limit allows in a Window to the burst: an account
	// that used little lately may use part of that at once.
	windowBurst = 0.1
	// aloneShare is the part of the rate for a daemon that has not heard from any peer.
	aloneShare = 0.25
)

// Total returns how many requests of an account all daemons together may grant in a Window.
func Total(l account.Limit) float64 { return inWindow(l)*(1+overrun) + slack }

// inWindow returns how many requests the limit itself allows in a Window.
func inWindow(l account.Limit) float64 { return float64(l.Rate)*Window.Seconds() + l.Burst }

// Hash is the hash of an account's name. It stands for the account in messages.
type Hash uint64

// HashOf returns the hash of an account.
func HashOf(name id.Caller) Hash { return Hash(xxhash.Sum64String(string(name))) }

// Verdict is the decision on a request.
type Verdict struct {
	Granted bool
	// RetryAfter is the time until credit is available for a refused request, if the
	// refused requests of the account return in the order of their refusals.
	RetryAfter time.Duration
}

// Fleet is one daemon's view of the daemons that share the limits.
type Fleet struct {
	// Serving tells that this daemon is a replica.
	Serving bool
	// Others lists the other replicas.
	Others []id.Host
	// Known is the number of daemons, with those that cannot be reached, Reachable that
	// of the others. Both count this daemon.
	Known, Reachable int
}

// Usage is what a daemon granted to one account.
type Usage struct {
	Account Hash
	// Epoch numbers the counts that the sender began; Granted and Offered start at zero
	// with each.
	Epoch uint32
	// Granted is the number of requests granted, less those returned.
	Granted uint64
	// Offered is the number of requests granted or refused.
	Offered uint64
	// Recent is the number granted in the last Window. It is set in full messages only.
	Recent uint32
	// Credit is the sender's view of the account's credit.
	Credit float32
	// Former is the number that an earlier process of the receiver granted in the last
	// Window. It is set in full messages only.
	Former uint32
}

// Receiver identifies the daemon that a message is for.
type Receiver struct {
	Host        id.Host
	Incarnation id.Incarnation
}

// Message is a part of what a daemon tells one of those that share limits with it.
type Message struct {
	Incarnation id.Incarnation
	// Sequence is the last publication that the message covers.
	Sequence uint64
	// Full tells that the message lists all accounts that the sender counts.
	Full bool
	// Urgent asks for an acknowledgement without delay.
	Urgent bool
	// Seasoned tells that the sender knows the credit of the accounts, which takes some
	// time after a start unless another daemon knows it.
	Seasoned bool
	// Acknowledged is the last publication of the receiver that the sender has received.
	Acknowledged uint64
	Usages       []Usage
}
