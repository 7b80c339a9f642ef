package peer

import (
	"context"
	"time"

	"github.com/briarrouter/briarrouter/roster"
)

// loop gives the links their turns to probe and lets time pass for the roster.
func (s *Service) loop(ctx context.Context) {
	last := time.Now()
	timer := time.NewTimer(s.interval())
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-timer.C:
			s.turn(now, now.Sub(last))
			last = now
			timer.Reset(s.interval())
		case service := <-s.sightings.Urgent():
			s.tellStandbys(service)
		}
	}
}

// joinInterval is the time between probes while this daemon joins.
const joinInterval = 50 * time.Millisecond

func (s *Service) interval() time.Duration {
	if s.Self().State == roster.Joining {
		return joinInterval
	}
	return s.cfg.Timing.Probe
}

// pauseFactor times the probe interval is the gap between two turns that shows
// that the process was paused.
const pauseFactor = 3

func (s *Service) turn(now time.Time, gap time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if gap > pauseFactor*s.cfg.Timing.Probe {
		s.cfg.Log.Warn().Dur("Gap", gap).Msg("process was paused; suspicions start anew")
		s.table.Woke(now)
	}
	s.table.Tick(now)
	s.join(now)
	s.connect()
	if m, ok := s.table.NextProbe(); ok {
		if l := s.links[m.Host]; l != nil {
			l.wake()
		}
	}
}

// enoughPeers is how many peers a starting daemon hears before it trusts that
// its configuration is not an old one.
const enoughPeers = 3

// enoughPeers returns how many peers this daemon has to hear: fewer where
// fewer are listed. Before the first list it cannot tell.
func (s *Service) enoughPeers() int {
	if others := len(s.table.Members()) - 1; others > 0 {
		return min(enoughPeers, others)
	}
	return enoughPeers
}

// join makes this daemon ready once it has a configuration and asked enough
// peers. Where no peer answers in time it trusts the platform alone: refusing
// to serve would leave callers without any daemon after a start of the whole
// fleet.
func (s *Service) join(now time.Time) {
	if s.table.Self().State != roster.Joining || s.store.Current() == nil {
		return
	}
	if len(s.answered) < s.enoughPeers() && now.Sub(s.started) < s.cfg.Timing.Join {
		return
	}
	s.table.SetState(roster.Alive)
	s.cfg.Log.Info().Int("Peers", len(s.answered)).Stringer("Version", s.store.Version()).Msg("ready")
	s.tell(spreadTo)
}
