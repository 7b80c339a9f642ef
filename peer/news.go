package peer

import (
	"time"

	"github.com/briarrouter/briarrouter/id"
	"github.com/briarrouter/briarrouter/peer/peerpb"
	"github.com/briarrouter/briarrouter/rendezvous"
)

// notifiedStandbys is how many daemons at the start of a service's ranking are
// notified immediately of a new quarantine or a leaving target. This daemon
// counts if it is among them.
const notifiedStandbys = 4

// notifyStandbys probes the first daemons in the service's ranking. A probe
// carries this daemon's news.
func (s *Service) notifyStandbys(service id.Service) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ranked := rendezvous.New(s.table.Members()).Rank(service)
	for _, m := range ranked[:min(notifiedStandbys, len(ranked))] {
		if l := s.links[m.Host]; l != nil {
			l.requestProbe()
		}
	}
}

const (
	// maxMembers limits the membership entries in a message, except in the
	// response to a peer whose incarnation was unknown or declared dead.
	maxMembers = 8
	// maxNotices limits the quarantines, the leaving targets and the limits of targets in
	// a message, each separately.
	maxNotices = 8
)

// newsFor returns the gossip message for a receiver. The receiver is empty if
// only its address is known.
func (s *Service) newsFor(receiver id.Host) *peerpb.News {
	n := &peerpb.News{
		InForce:    encodeVersion(s.store.Version()),
		Notices:    encodeNotices(s.dispatcher.Quarantines(maxNotices)),
		Departures: encodeDepartures(s.dispatcher.LeavingNotices(maxNotices)),
		Limits:     encodeLimits(s.dispatcher.LimitNotices(maxNotices)),
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	n.From = encodeMember(s.table.Self())
	n.Members = encodeMembers(s.table.NextUpdates(maxMembers, receiver))
	return n
}

// receiveNews applies the gossip message of a peer that sent a ping or responded
// to one. For a peer that an indirect ping reached, the message holds only its
// own membership entry.
func (s *Service) receiveNews(n *peerpb.News) {
	from := decodeMember(n.GetFrom())
	s.mu.Lock()
	now := time.Now()
	before := s.table.Generation()
	if from.Host != s.cfg.Self.Host {
		s.table.MergeSender(now, from)
		s.heardFrom[from.Host] = true
	}
	s.table.Merge(now, decodeMembers(n.GetMembers()))
	if s.table.Generation() != before {
		s.gossip()
	}
	s.updateLinks()
	l := s.links[from.Host]
	s.mu.Unlock()
	s.dispatcher.LearnQuarantines(decodeNotices(n.GetNotices()))
	s.dispatcher.LearnLeaving(decodeDepartures(n.GetDepartures()))
	s.dispatcher.LearnLimits(decodeLimits(n.GetLimits()))
	if l != nil && n.GetInForce() != nil {
		l.requestFetch(decodeVersion(n.GetInForce()))
	}
}

// gossipFanout is how many peers receive a change of the roster immediately.
// The others receive it with the regular probes.
const gossipFanout = 2

// leaveFanout is how many peers a leaving daemon notifies immediately.
const leaveFanout = 8

const (
	// gossipRate is how many times per second, on average, changes of the roster
	// may be gossiped immediately; gossipBurst is the largest burst. Without the
	// limit, a fleet that is short of CPU would add probes to its load.
	gossipRate  = 0.5
	gossipBurst = 4
)

// gossip notifies gossipFanout peers, unless gossipRate and gossipBurst forbid
// it. The caller holds mu.
func (s *Service) gossip() {
	if s.gossipLimiter.Allow() {
		s.notifyRandomPeers(gossipFanout)
	}
}

// notifyRandomPeers probes up to n random peers that are alive. A probe carries
// this daemon's news. The caller holds mu.
func (s *Service) notifyRandomPeers(n int) {
	for _, m := range s.table.RandomAlive(n, s.cfg.Self.Host) {
		if l := s.links[m.Host]; l != nil {
			l.requestProbe()
		}
	}
}

func (s *Service) handleProbeFailure(host id.Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.ProbeFailed(time.Now(), host)
	s.gossip()
	s.cfg.Log.Debug().Str("Peer", string(host)).Msg("peer did not respond to direct and indirect pings")
}

func (s *Service) randomPeers(except id.Host) []*link {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []*link
	for _, m := range s.table.RandomAlive(maxRandomPeers, except) {
		if l := s.links[m.Host]; l != nil {
			list = append(list, l)
		}
	}
	return list
}
