package statement

import (
	"slices"
	"time"

	"github.com/briarrouter/briarrouter/id"
	"github.com/briarrouter/briarrouter/unit"
	"github.com/cespare/xxhash/v2"
)

// Senders are the daemons that send requests to the targets. Each divides a limit
// among them by itself, so that no daemon waits for another.
type Senders struct {
	Self id.Host
	// Hosts is sorted. It may lack Self: a daemon that callers are not directed to
	// has no share. If it is empty, Self is the only sender.
	Hosts []id.Host
}

// minShare is the smallest share of a limit. A sender sends at most one request more
// within any window than its share allows, so that the number of senders has to be
// bounded; and with two seconds between its requests, it still hears in time that
// the limit has ended.
const minShare unit.PerSecond = 0.5

// share returns the part of a target's limit that this daemon may use, and whether it
// has one. A limit that is too small for all senders is divided among some of them,
// chosen by a hash of the target and the host.
func (s Senders) share(p Process, limit unit.PerSecond) (unit.PerSecond, bool) {
	if len(s.Hosts) == 0 {
		return limit, true
	}
	// Compared as a number without a bound: the conversion of a huge limit to an integer
	// differs between processors.
	n := int(min(float64(len(s.Hosts)), max(1, float64(limit/minShare))))
	if !slices.Contains(s.Hosts, s.Self) || n < len(s.Hosts) && s.rank(p) >= n {
		return 0, false
	}
	return limit / unit.PerSecond(n), true
}

// rank returns how many of the hosts are chosen before this daemon.
func (s Senders) rank(p Process) int {
	own, before := weight(p, s.Self), 0
	for _, h := range s.Hosts {
		if w := weight(p, h); w > own || w == own && h < s.Self {
			before++
		}
	}
	return before
}

func weight(p Process, h id.Host) uint64 {
	return xxhash.Sum64String(string(p.Target) + "\x00" + string(h))
}

// stagger returns a time below a bound that differs from daemon to daemon.
func (s Senders) stagger(p Process, bound time.Duration) time.Duration {
	return time.Duration(weight(p, s.Self) % uint64(bound))
}

// maxInterval is the longest time between two requests of a sender. Its peers get no
// response from the target and must hear well within limitTTL that the limit holds.
const maxInterval = 2 * time.Second

// interval returns the time between two requests under the limit.
func (s Senders) interval(p Process, limit unit.PerSecond) time.Duration {
	share, _ := s.share(p, limit)
	if float64(share)*maxInterval.Seconds() < 1 {
		return maxInterval
	}
	return time.Duration(float64(time.Second) / float64(share))
}
