package registry

import (
	"slices"
	"time"

	"github.com/briarrouter/briarrouter/id"
)

const (
	// minReaders is the least number of readers: of daemons that others follow. In a
	// smaller fleet, all of them are. With one reader in each of four failure
	// domains, a follower still finds a healthy one while two domains are lost. Of the
	// first minReaders, the first one reads from the platform, and the others stand by.
	minReaders = 4
	// followersPerReader is the number of daemons per reader in a large fleet. It
	// bounds how much each reader sends to its followers. The first reader is followed
	// by all others too, so that more readers would not relieve it in a fleet of 940.
	followersPerReader = 20
	// followedReaders is how many readers a daemon follows at once. If one of
	// them fails without an error, the other still delivers changes.
	followedReaders = 2
	// maxCopyAge and standbyCopyAge are how old a copy may get before its daemon reads
	// from the platform itself, as a share of the time in which an acknowledged change
	// must be in force: reading takes some hundreds of milliseconds at worst. The first
	// of the readers reads all the time; those that stand by read first when it fails.
	maxCopyAge     = 0.7
	standbyCopyAge = 0.55
	// peerDiscoveryTimeout is how long a starting daemon waits to discover
	// peers before it reads from the platform, and a reader for the copy of another one,
	// unless it is a seed.
	peerDiscoveryTimeout = 400 * time.Millisecond
	// firstCopyTimeout is how long a starting daemon that discovered peers
	// waits for their copy. Small hosts start slowly, and the daemons of a
	// fleet that starts all at once must not all read from the platform.
	firstCopyTimeout = 1500 * time.Millisecond
	// fallbackMaxDelay replaces maxRetryDelay for a daemon that reads from the
	// platform only because its copy is missing or too old (fallback), and that
	// still follows readers. It is longer, because in an outage of the platform
	// the whole fleet is in fallback. The daemon's own calls matter only if the
	// platform responds to it but not to the readers that it follows.
	fallbackMaxDelay = 2400 * time.Millisecond
	// failedReaderPenalty is how long a reader that failed ranks behind all
	// others.
	failedReaderPenalty = time.Second
	// fallbackRecoveryTime is how long updates from peers alone must have kept the
	// age of the copy within its limit before a daemon leaves fallback.
	fallbackRecoveryTime = 2 * time.Second
)

// Daemon identifies a daemon of the fleet and its failure domain.
type Daemon struct {
	Host          id.Host
	FailureDomain id.FailureDomain
}

// Sources is the set of sources that a daemon reads from.
type Sources struct {
	Platform bool
	Peers    []id.Host
}

// sourceSelector decides where one daemon reads from. Every daemon must learn
// of each change within two seconds, while the platform charges for each call
// and may fail for some daemons only. It is not safe for concurrent use.
type sourceSelector struct {
	self Daemon
	// seed is set if other daemons are configured to contact this one first.
	seed    bool
	started time.Time
	// inForce is the time within which an acknowledged change must be in force.
	inForce time.Duration
	// failedAt holds the time of each reader's last failure.
	failedAt map[id.Host]time.Time
	// peerAgeAcceptableSince is the time since which the age that the copy would
	// have by updates from peers alone has been within its limit; zero while it
	// is higher or no peer has sent a copy.
	peerAgeAcceptableSince time.Time
	// fallback is set while this daemon reads from the platform because its copy
	// is missing or too old, reader while it is one of the readers, ranked while it is a
	// reader for its rank, and not for its failure domain.
	fallback, reader, ranked bool
	// ownDomain is set if feeds from other failure domains cost.
	ownDomain bool
	// readers holds the readers of fleet.
	readers, fleet []Daemon
}

func newSourceSelector(self Daemon, seed bool, inForce time.Duration, now time.Time) *sourceSelector {
	return &sourceSelector{self: self, seed: seed, started: now, inForce: inForce, failedAt: make(map[id.Host]time.Time)}
}

// recordFailure records that a reader did not respond, or that its own copy is
// too old.
func (sel *sourceSelector) recordFailure(now time.Time, host id.Host) { sel.failedAt[host] = now }

func (sel *sourceSelector) recentlyFailed(now time.Time, host id.Host) bool {
	at, ok := sel.failedAt[host]
	if ok && now.Sub(at) >= failedReaderPenalty {
		delete(sel.failedAt, host)
		return false
	}
	return ok
}

// shareOfInForce returns a share of the time within which a change must be in force.
func (sel *sourceSelector) shareOfInForce(share float64) time.Duration {
	return time.Duration(share * float64(sel.inForce))
}

// maxCopyAge returns the age from which on a copy is too old.
func (sel *sourceSelector) maxCopyAge() time.Duration { return sel.shareOfInForce(maxCopyAge) }

// readerCount returns how many daemons of a fleet are readers.
func readerCount(fleet int) int { return max(minReaders, fleet/followersPerReader) }

// readersOf returns the readers of a fleet, in the order of its ranking. If feeds from
// other failure domains cost, each domain has followedReaders readers as far as it has as
// many daemons, so that only readers follow one of another domain. They are as many steps
// from the platform as the others.
func (sel *sourceSelector) readersOf(fleet []Daemon) []Daemon {
	first := min(readerCount(len(fleet)), len(fleet))
	if !sel.ownDomain || len(fleet) == 0 {
		return fleet[:first]
	}
	if len(sel.fleet) == len(fleet) && &sel.fleet[0] == &fleet[0] {
		return sel.readers
	}
	sel.fleet, sel.readers = fleet, slices.Clone(fleet[:first])
	count := make(map[id.FailureDomain]int)
	for i, d := range fleet {
		if i >= first && count[d.FailureDomain] < followedReaders {
			sel.readers = append(sel.readers, d)
		}
		count[d.FailureDomain]++
	}
	return sel.readers
}

// selectSources returns the sources to read from. The fleet includes this
// daemon and is ranked in the same order by all daemons. Age is the age of the
// copy, and peerAge the age that it would have by updates from peers alone;
// both are negative while there is no copy.
func (sel *sourceSelector) selectSources(now time.Time, fleet []Daemon, age, peerAge time.Duration) Sources {
	readers := sel.readersOf(fleet)
	rank := slices.Index(readers, sel.self)
	sel.reader, sel.ranked = rank >= 0, rank >= 0 && rank < readerCount(len(fleet))
	limit := sel.maxCopyAge()
	if rank > 0 && rank < minReaders {
		limit = sel.shareOfInForce(standbyCopyAge)
	}
	sel.updateFallback(now, limit, len(fleet) > 1, age, peerAge)
	// A daemon that has just started does not know the others yet, and would take itself
	// for the first reader.
	settled := sel.seed || now.Sub(sel.started) >= firstCopyTimeout
	s := Sources{Platform: rank == 0 && settled || sel.fallback}
	s.Peers = sel.selectPeers(now, readers)
	return s
}

// updateFallback decides whether this daemon must read from the platform itself
// because its copy is missing or older than a limit.
func (sel *sourceSelector) updateFallback(now time.Time, limit time.Duration, foundPeers bool, age, peerAge time.Duration) {
	if peerAge < 0 || peerAge > limit {
		sel.peerAgeAcceptableSince = time.Time{}
	} else if sel.peerAgeAcceptableSince.IsZero() {
		sel.peerAgeAcceptableSince = now
	}
	switch {
	case age < 0 && foundPeers:
		timeout := firstCopyTimeout
		if sel.ranked {
			timeout = peerDiscoveryTimeout
		}
		sel.fallback = now.Sub(sel.started) >= timeout
	case age < 0:
		sel.fallback = now.Sub(sel.started) >= peerDiscoveryTimeout
	case age > limit:
		sel.fallback = true
	case !sel.peerAgeAcceptableSince.IsZero() && now.Sub(sel.peerAgeAcceptableSince) >= fallbackRecoveryTime:
		sel.fallback = false
	}
}

// retryDelayLimit returns the longest pause between two failed calls to the
// platform for a daemon that follows the given number of readers.
func (sel *sourceSelector) retryDelayLimit(followedCount int) time.Duration {
	if sel.fallback && !sel.ranked && followedCount > 0 {
		return fallbackMaxDelay
	}
	return maxRetryDelay
}

// selectPeers returns the readers to follow: those of the daemon's own failure
// domain first, then the others, and last those that failed recently. Each
// daemon starts at a position derived from its own name, which spreads
// followers over the readers. A reader follows the first one before all others, so that
// a change takes two steps to any daemon, and then one that stands by.
func (sel *sourceSelector) selectPeers(now time.Time, readers []Daemon) []id.Host {
	var first, standby, sameDomain, otherDomains, failed []id.Host
	start := 0
	for _, b := range []byte(sel.self.Host) {
		start = start*31 + int(b)
	}
	for i := range readers {
		rank := (i + start%len(readers) + len(readers)) % len(readers)
		r := readers[rank]
		switch {
		case r.Host == sel.self.Host:
		case sel.recentlyFailed(now, r.Host):
			failed = append(failed, r.Host)
		case sel.reader && rank == 0:
			first = append(first, r.Host)
		case sel.reader && rank < minReaders && sel.ownDomain && r.FailureDomain == sel.self.FailureDomain:
			standby = slices.Insert(standby, 0, r.Host)
		case sel.reader && rank < minReaders:
			standby = append(standby, r.Host)
		case r.FailureDomain == sel.self.FailureDomain:
			sameDomain = append(sameDomain, r.Host)
		default:
			otherDomains = append(otherDomains, r.Host)
		}
	}
	list := slices.Concat(first, standby, sameDomain, otherDomains, failed)
	return list[:min(followedReaders, len(list))]
}
