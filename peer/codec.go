package peer

import (
	"time"

	"github.com/briarrouter/briarrouter/id"
	"github.com/briarrouter/briarrouter/peer/peerpb"
	"github.com/briarrouter/briarrouter/quarantine"
	"github.com/briarrouter/briarrouter/roster"
	"github.com/briarrouter/briarrouter/work"
)

func encodeMember(m roster.Member) *peerpb.Member {
	return &peerpb.Member{
		Host:          string(m.Host),
		FailureDomain: string(m.FailureDomain),
		Callers:       string(m.Callers),
		Peers:         string(m.Peers),
		Incarnation:   uint64(m.Incarnation),
		Sequence:      m.Sequence,
		State:         uint32(m.State),
	}
}

func decodeMember(m *peerpb.Member) roster.Member {
	return roster.Member{
		Host:          id.Host(m.GetHost()),
		FailureDomain: id.FailureDomain(m.GetFailureDomain()),
		Callers:       id.Address(m.GetCallers()),
		Peers:         id.Address(m.GetPeers()),
		Incarnation:   id.Incarnation(m.GetIncarnation()),
		Sequence:      m.GetSequence(),
		State:         roster.State(min(m.GetState(), uint32(roster.Dead))),
	}
}

// decodeMembers leaves out statements that name no daemon.
func decodeMembers(list []*peerpb.Member) []roster.Member {
	var members []roster.Member
	for _, m := range list {
		if m.GetHost() != "" && m.GetIncarnation() != 0 {
			members = append(members, decodeMember(m))
		}
	}
	return members
}

func encodeNews(self roster.Member, members []roster.Member, v id.ConfigVersion, notices []quarantine.Notice) *peerpb.News {
	n := &peerpb.News{
		From:    encodeMember(self),
		InForce: &peerpb.Version{Number: v.Number, Digest: v.Digest},
	}
	for _, m := range members {
		n.Members = append(n.Members, encodeMember(m))
	}
	for _, q := range notices {
		n.Notices = append(n.Notices, &peerpb.Notice{
			Fingerprint: uint64(q.Fingerprint), LeftMilliseconds: uint32(q.Left.Milliseconds()),
		})
	}
	return n
}

func decodeVersion(v *peerpb.Version) id.ConfigVersion {
	return id.ConfigVersion{Number: v.GetNumber(), Digest: v.GetDigest()}
}

func decodeNotices(list []*peerpb.Notice) []quarantine.Notice {
	var notices []quarantine.Notice
	for _, n := range list[:min(len(list), maxNotices)] {
		notices = append(notices, quarantine.Notice{
			Fingerprint: work.Fingerprint(n.GetFingerprint()),
			Left:        time.Duration(n.GetLeftMilliseconds()) * time.Millisecond,
		})
	}
	return notices
}
