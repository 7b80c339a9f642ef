package peer

import (
	"time"

	"github.com/briarrouter/briarrouter/id"
	"github.com/briarrouter/briarrouter/peer/peerpb"
	"github.com/briarrouter/briarrouter/steering"
)

// standbys is how many of a service's daemons are told at once what its
// dispatcher saw.
const standbys = 4

// tellStandbys gives the links to a service's daemons a turn.
func (s *Service) tellStandbys(service id.Service) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ranked := steering.New(s.table.Members()).Rank(service)
	for _, m := range ranked[:min(standbys, len(ranked))] {
		if l := s.links[m.Host]; l != nil {
			l.wake()
		}
	}
}

const (
	// maxMembers bounds the statements in a message.
	maxMembers = 8
	// maxNotices bounds the quarantines in a message.
	maxNotices = 8
)

// news returns what a message to the receiver carries.
func (s *Service) news(receiver id.Host) *peerpb.News {
	n := &peerpb.News{
		InForce:    encodeVersion(s.store.Version()),
		Notices:    encodeNotices(s.sightings.Quarantines(maxNotices)),
		Departures: encodeDepartures(s.sightings.Departures(maxNotices)),
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	n.From = encodeMember(s.table.Self())
	n.Members = encodeMembers(s.table.News(maxMembers, receiver))
	return n
}

// heard takes the news of a peer that answered or asked.
func (s *Service) heard(n *peerpb.News) {
	from := decodeMember(n.GetFrom())
	s.mu.Lock()
	now := time.Now()
	before := s.table.Generation()
	if from.Host != s.cfg.Self.Host {
		s.table.Heard(now, from)
		s.answered[from.Host] = true
	}
	s.table.Merge(now, decodeMembers(n.GetMembers()))
	if s.table.Generation() != before {
		s.spread()
	}
	s.connect()
	l := s.links[from.Host]
	s.mu.Unlock()
	s.sightings.LearnQuarantines(decodeNotices(n.GetNotices()))
	s.sightings.LearnDepartures(decodeDepartures(n.GetDepartures()))
	if l != nil && n.GetInForce() != nil {
		l.offer(decodeVersion(n.GetInForce()))
	}
}

// spreadTo is how many peers get news of the roster at once. The others get it
// with the probes that come anyway.
const spreadTo = 2

// leaveTo is how many peers a daemon that leaves tells itself.
const leaveTo = 8

const (
	// spreadRate is how often a second news is spread at once in the long run,
	// and spreadBurst how often in a row. The bound keeps a fleet that is short
	// of processor time from adding probes to its trouble.
	spreadRate  = 0.5
	spreadBurst = 4
)

// spread gives a few links a turn. The lock is held.
func (s *Service) spread() {
	if s.spreads.Allow() {
		s.tell(spreadTo)
	}
}

// tell gives the links to n peers a turn. The lock is held.
func (s *Service) tell(n int) {
	for _, m := range s.table.Helpers(n, s.cfg.Self.Host) {
		if l := s.links[m.Host]; l != nil {
			l.wake()
		}
	}
}

func (s *Service) missed(host id.Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Missed(time.Now(), host)
	s.spread()
	s.cfg.Log.Debug().Str("Peer", string(host)).Msg("peer did not answer")
}

func (s *Service) helpers(except id.Host) []*link {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []*link
	for _, m := range s.table.Helpers(helpers, except) {
		if l := s.links[m.Host]; l != nil {
			list = append(list, l)
		}
	}
	return list
}
