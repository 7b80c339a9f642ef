package peer

import (
	"context"
	"time"

	"github.com/briarrouter/briarrouter/roster"
)

// loop requests probes, advances the timers of the roster, and notifies the
// standbys of a service of its new quarantines and leaving targets.
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
		case service := <-s.dispatcher.UrgentServices():
			s.notifyStandbys(service)
		}
	}
}

// joinProbeInterval replaces the configured probe interval while this daemon is
// joining.
const joinProbeInterval = 50 * time.Millisecond

func (s *Service) probeInterval() time.Duration {
	if s.Self().State == roster.Joining {
		return joinProbeInterval
	}
	return s.cfg.Timing.Probe
}

// This process is assumed to have been paused if two ticks are more than
// pauseFactor probe intervals apart, or if a failed probe took more than
// pauseFactor times the timeout of its indirect pings.
const pauseFactor = 3

func (s *Service) tick(now time.Time, gap time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if gap > pauseFactor*s.cfg.Timing.Probe {
		s.cfg.Log.Warn().Dur("Gap", gap).Msg("process was paused; suspicions start anew")
		s.table.RestartSuspicions(now)
	}
	s.table.Tick(now)
	s.joinIfReady(now)
	s.updateLinks()
	if m, ok := s.table.NextProbe(); ok {
		if l := s.links[m.Host]; l != nil {
			l.requestProbe()
		}
	}
}

// maxRequiredPeers is the number of peers that a joining daemon must have heard
// from before it assumes that its configuration is not outdated, if it knows
// that many.
const maxRequiredPeers = 3

// requiredPeers returns the number of known peers, but at most maxRequiredPeers.
// While no peer is known, it returns maxRequiredPeers, because the list of
// daemons may not have arrived yet.
func (s *Service) requiredPeers() int {
	if others := len(s.table.Members()) - 1; others > 0 {
		return min(maxRequiredPeers, others)
	}
	return maxRequiredPeers
}

// joinIfReady makes this daemon ready once it has a configuration and has heard
// from enough peers. After Timing.Join it no longer waits for peers and relies on the
// platform alone: refusing to serve would leave callers without any daemon after
// a start of the whole fleet.
func (s *Service) joinIfReady(now time.Time) {
	if s.table.Self().State != roster.Joining || s.store.Current() == nil {
		return
	}
	if len(s.heardFrom) < s.requiredPeers() && now.Sub(s.started) < s.cfg.Timing.Join {
		return
	}
	s.table.SetState(roster.Alive)
	s.cfg.Log.Info().Int("Peers", len(s.heardFrom)).Stringer("Version", s.store.Version()).Msg("ready")
	s.notifyRandomPeers(gossipFanout)
}
