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
// the close of their connections, and the connection that has been idle longest is closed,
// so that silent connections do not keep other callers out.
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
			s.closeLongestIdle()
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

// closeLongestIdle closes the connection that has been idle longest, and one on which no
// request was read before all others: its caller loses nothing.
func (s *Server) closeLongestIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	var longest *connection
	for c := range s.connections {
		if c.idleSince.Load() != 0 && (longest == nil || c.yieldsBefore(longest)) {
			longest = c
		}
	}
	if longest != nil {
		longest.input.closeIdle()
	}
}

// yieldsBefore reports whether the connection is closed for lack of slots before another
// one, both of which are idle.
func (c *connection) yieldsBefore(other *connection) bool {
	if used := c.used.Load(); used != other.used.Load() {
		return !used
	}
	return c.idleSince.Load() < other.idleSince.Load()
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
