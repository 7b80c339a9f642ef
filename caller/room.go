package caller

import (
	"time"

	"github.com/briarrouter/briarrouter/socket"
)

// waitingPoll is the interval at which the server looks for connections that wait to be
// accepted while all slots are taken.
const waitingPoll = 50 * time.Millisecond

// acquireSlot waits until another connection may be accepted. It returns false if the
// server stops first. While all slots are taken and a connection waits, responses announce
// the close of their connections, and a connection that waits for its caller yields, so
// that callers that stand still do not keep others out.
func (s *Server) acquireSlot() bool {
	select {
	case s.slots <- struct{}{}:
		return true
	default:
	}
	ticker := time.NewTicker(waitingPoll)
	defer ticker.Stop()
	defer s.crowded.Store(false)
	for {
		if socket.HasInput(s.listener) {
			s.crowded.Store(true)
			s.makeRoom(time.Now())
		}
		select {
		case s.slots <- struct{}{}:
			return true
		case <-s.closed:
			return false
		case <-ticker.C:
		}
	}
}

func (s *Server) releaseSlot() { <-s.slots }

const (
	// standstill is how long no byte of a body has arrived at least when its connection
	// yields. Pauses of a caller that sends on are shorter, also when packets are lost.
	standstill = time.Second
	// headStandstill is the same for a header section, which callers send at once, and
	// writeStandstill for a response that the caller does not take.
	headStandstill  = 100 * time.Millisecond
	writeStandstill = 250 * time.Millisecond
)

// yieldRank orders the connections that wait for their callers by what these lose.
type yieldRank int

const (
	// unusedRank is for connections on which no request was read, idleRank for those
	// between two requests, and lingeringRank for those whose last response was written.
	unusedRank yieldRank = iota
	idleRank
	lingeringRank
	// stillRank is for connections whose callers stand still within a request or a response.
	stillRank
)

// waitsSince returns since when the connection waits for its caller, and its rank; false if
// it does not, or has not for long enough to yield.
func (c *connection) waitsSince(now time.Time) (rank yieldRank, since time.Time, ok bool) {
	if c.yielded.Load() {
		return 0, since, false
	}
	if at := c.idleSince.Load(); at != 0 {
		rank = unusedRank
		if c.used.Load() {
			rank = idleRank
		}
		return rank, time.Unix(0, at), true
	}
	rank = stillRank
	least := standstill
	switch c.progress.current() {
	case lingering:
		return lingeringRank, since, true
	case writing:
		least = writeStandstill
		since, ok = c.output.waitsSince()
	case receivingHead:
		least = headStandstill
		since, ok = c.input.waitsSince()
	default:
		since, ok = c.input.waitsSince()
	}
	return rank, since, ok && now.Sub(since) >= least
}

// makeRoom has one of the connections that wait for their callers yield: of the lowest rank,
// the one that has waited longest.
func (s *Server) makeRoom(now time.Time) bool {
	return s.yieldLongest(now, func(*connection) bool { return true })
}

// yieldStillBody has the connection yield whose body has stood still longest, so that its
// memory is returned. It returns false if there is none.
func (s *Server) yieldStillBody() bool {
	return s.yieldLongest(time.Now(), func(c *connection) bool { return c.receivesBody.Load() })
}

// yieldLongest has one of the accepted connections that wait for their callers yield, and
// returns false if there is none.
func (s *Server) yieldLongest(now time.Time, accepted func(*connection) bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	var longest *connection
	var lowest yieldRank
	var longestSince time.Time
	for c := range s.connections {
		if !accepted(c) {
			continue
		}
		rank, since, ok := c.waitsSince(now)
		if ok && (longest == nil || rank < lowest || rank == lowest && since.Before(longestSince)) {
			longest, lowest, longestSince = c, rank, since
		}
	}
	if longest != nil {
		longest.yield(lowest)
	}
	return longest != nil
}

// yield ends a connection that waits for its caller. A request that is being received is
// refused, and the connection closed without waiting for the caller any longer.
func (c *connection) yield(rank yieldRank) {
	if rank <= idleRank {
		c.input.closeIdle()
		return
	}
	state := c.progress.current()
	c.yielded.Store(true)
	c.progress.finish(yielded)
	c.server.cfg.Log.Info().Stringer("State", state).Str("CallerAddress", c.conn.RemoteAddr().String()).
		Msg("connection whose caller stands still is closed for others")
	if state == writing || state == lingering {
		c.close()
		return
	}
	c.input.yield()
}

// maxBodies returns how many connections may have a body that is arriving. The other slots
// are for requests that arrive whole.
func (s *Server) maxBodies() int64 { return int64(cap(s.slots)) * 3 / 4 }

// admitBody registers a connection whose body is arriving and reports whether there is
// room. If there is none, a body that stands still yields its room.
func (s *Server) admitBody(c *connection) bool {
	if s.bodies.Add(1) > s.maxBodies() && !s.yieldStillBody() {
		s.bodies.Add(-1)
		return false
	}
	c.receivesBody.Store(true)
	return true
}

// dismissBody reverts admitBody. It has no effect if the connection is not registered.
func (s *Server) dismissBody(c *connection) {
	if c.receivesBody.CompareAndSwap(true, false) {
		s.bodies.Add(-1)
	}
}

// closeLongestSection closes the connection other than c that has waited longest for the
// rest of a header section.
func (s *Server) closeLongestSection(c *connection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var longest *connection
	for other := range s.connections {
		since := other.sectionSince.Load()
		if other != c && since != 0 && (longest == nil || since < longest.sectionSince.Load()) {
			longest = other
		}
	}
	if longest != nil {
		longest.progress.finish(closedForMemory)
		longest.close()
	}
}
