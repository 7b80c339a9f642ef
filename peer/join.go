package peer

import (
	"context"
	"time"

	"github.com/briarrouter/briarrouter/roster"
)

// loop triggers probes, advances the timers of the roster and notifies
// standbys of urgent news.
func (s *Service) loop(ctx context.Context) {
	last := time.Now()
	timer := time.NewTimer(s.probeInterval())
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-timer.C:
			s.tick(now, now.Sub(last))
			last = now
			timer.Reset(s.probeInterval())
		case service := <-s.observations.UrgentServices():
			s.notifyStandbys(service)
		}
	}
}

// joinInterval is the interval between probes while this daemon is joining.
const joinInterval = 50 * time.Millisecond

func (s *Service) probeInterval() time.Duration {
	if s.Self().State == roster.Joining {
		return joinInterval
	}
	return s.cfg.Timing.Probe
}

// pauseFactor times an expected duration is the actual duration above which the
// process is considered to have been paused. The duration is the probe interval
// for the gap between two ticks, and the timeout of the indirect pings for a
// probe that failed.
const pauseFactor = 3

func (s *Service) tick(now time.Time, gap time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if gap > pauseFactor*s.cfg.Timing.Probe {
		s.cfg.Log.Warn().Dur("Gap", gap).Msg("process was paused; suspicions start anew")
		s.table.RestartSuspicions(now)
	}
	s.table.Tick(now)
	s.join(now)
	s.updateLinks()
	if m, ok := s.table.NextProbe(); ok {
		if l := s.links[m.Host]; l != nil {
			l.requestProbe()
		}
	}
}

// maxJoinPeers is how many peers a starting daemon hears from before it assumes
// that its configuration is not outdated.
const maxJoinPeers = 3

// requiredPeers returns maxJoinPeers, or the number of known peers if it is
// smaller. Before the first list of daemons arrives, that number is unknown.
func (s *Service) requiredPeers() int {
	if others := len(s.table.Members()) - 1; others > 0 {
		return min(maxJoinPeers, others)
	}
	return maxJoinPeers
}

// join makes this daemon ready once it has a configuration and has heard from
// enough peers. If too few peers respond in time, it relies on the platform
// alone: refusing to serve would leave callers without any daemon after a start
// of the whole fleet.
func (s *Service) join(now time.Time) {
	if s.table.Self().State != roster.Joining || s.store.Current() == nil {
		return
	}
	if len(s.heardFrom) < s.requiredPeers() && now.Sub(s.started) < s.cfg.Timing.Join {
		return
	}
	s.table.SetState(roster.Alive)
	s.cfg.Log.Info().Int("Peers", len(s.heardFrom)).Stringer("Version", s.store.Version()).Msg("ready")
	s.notify(gossipFanout)
}
