package registry

import (
	"slices"
	"time"

	"github.com/briarrouter/briarrouter/id"
)

const (
	// minReaders is how many daemons read from the platform, in a fleet of any
	// size: with one in each of four failure domains, a follower finds one that
	// is well while two are lost.
	minReaders = 4
	// followersPerReader bounds what one reader sends in a large fleet.
	followersPerReader = 40
	// followed is how many readers a daemon follows at once: while one of them
	// fails in silence, the other brings what changes.
	followed = 2
	// patience is how old a copy may be before its daemon reads for itself. What
	// the platform acknowledged must be in force two seconds later, and reading
	// takes some hundreds of milliseconds at worst.
	patience = 1400 * time.Millisecond
	// startPatience is how long a starting daemon waits for peers before it
	// reads for itself, unless it is one of the addresses that others ask first.
	startPatience = 400 * time.Millisecond
	// feedPatience is how long one that found peers waits for their copy. Small
	// hosts start slowly, and a fleet that starts at once must not read as one.
	feedPatience = 1500 * time.Millisecond
	// needDelay is the longest pause between two calls that fail of a daemon that
	// reads in need: those it follows try more often and tell what they get, and
	// it only looks whether the platform turns away them alone. An outage must not
	// bring the calls of the whole fleet upon the platform.
	needDelay = 2400 * time.Millisecond
	// badTime is how long a reader that failed is not followed.
	badTime = time.Second
	// calmTime is how long others must have been good before a daemon that reads
	// in need stops reading.
	calmTime = 2 * time.Second
)

// Reader is a daemon that may be followed.
type Reader struct {
	Host   id.Host
	Domain id.FailureDomain
}

// Sources is where a daemon reads from.
type Sources struct {
	Platform bool
	Peers    []id.Host
}

// chooser decides where one daemon reads from. It answers the load of a fleet in
// which every daemon must know of each change within two seconds, while the
// platform charges each call and may fail for some daemons only.
type chooser struct {
	self Reader
	// seed tells that other daemons ask this one first.
	seed    bool
	started time.Time
	// bad holds when readers failed.
	bad map[id.Host]time.Time
	// peersGood is since when the copy is fresh by peers alone; zero while it is
	// not.
	peersGood time.Time
	// inNeed tells that this daemon reads because its copy grew old, ranked that
	// it is one of the few that always read.
	inNeed, ranked bool
}

func newChooser(self Reader, seed bool, now time.Time) *chooser {
	return &chooser{self: self, seed: seed, started: now, bad: make(map[id.Host]time.Time)}
}

// failed records that a reader did not answer, or has an old copy itself.
func (c *chooser) failed(now time.Time, host id.Host) { c.bad[host] = now }

// isBad tells whether a reader failed lately.
func (c *chooser) isBad(now time.Time, host id.Host) bool {
	at, ok := c.bad[host]
	if ok && now.Sub(at) >= badTime {
		delete(c.bad, host)
		return false
	}
	return ok
}

// readersOf returns how many daemons of a fleet read from the platform.
func readersOf(fleet int) int { return max(minReaders, fleet/followersPerReader) }

// choose returns where to read from. The fleet is ranked alike by all daemons,
// and holds this one. Age is how old the copy is, and peerAge how old it would
// be by peers alone; both are negative where there is none.
func (c *chooser) choose(now time.Time, fleet []Reader, age, peerAge time.Duration) Sources {
	readers := fleet[:min(readersOf(len(fleet)), len(fleet))]
	c.ranked = slices.Contains(readers, c.self)
	s := Sources{Platform: c.ranked}
	if len(fleet) <= 1 && !c.seed && now.Sub(c.started) < startPatience {
		s.Platform = false
	}
	c.judgeNeed(now, len(fleet) > 1, age, peerAge)
	s.Platform = s.Platform || c.inNeed
	s.Peers = c.follow(now, readers)
	return s
}

// judgeNeed decides whether the copy is so old that this daemon reads for
// itself.
func (c *chooser) judgeNeed(now time.Time, found bool, age, peerAge time.Duration) {
	if peerAge < 0 || peerAge > patience {
		c.peersGood = time.Time{}
	} else if c.peersGood.IsZero() {
		c.peersGood = now
	}
	switch {
	case age < 0 && found:
		c.inNeed = now.Sub(c.started) >= feedPatience
	case age < 0:
		c.inNeed = now.Sub(c.started) >= startPatience
	case age > patience:
		c.inNeed = true
	case !c.peersGood.IsZero() && now.Sub(c.peersGood) >= calmTime:
		c.inNeed = false
	}
}

// longestDelay returns the longest pause between two calls to the platform that
// fail, for a daemon that follows so many others.
func (c *chooser) longestDelay(followed int) time.Duration {
	if c.inNeed && !c.ranked && followed > 0 {
		return needDelay
	}
	return maxDelay
}

// follow returns the readers to follow: those that did not fail, of the own
// failure domain first, then as the daemon's own rank has it, so that the
// followers spread.
func (c *chooser) follow(now time.Time, readers []Reader) []id.Host {
	var near, far, last []id.Host
	start := 0
	for _, b := range []byte(c.self.Host) {
		start = start*31 + int(b)
	}
	for i := range readers {
		r := readers[(i+start%len(readers)+len(readers))%len(readers)]
		switch {
		case r.Host == c.self.Host:
		case c.isBad(now, r.Host):
			last = append(last, r.Host)
		case r.Domain == c.self.Domain:
			near = append(near, r.Host)
		default:
			far = append(far, r.Host)
		}
	}
	list := slices.Concat(near, far, last)
	return list[:min(followed, len(list))]
}
