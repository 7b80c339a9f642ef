package peer

import (
	"time"

	"github.com/briarrouter/briarrouter/id"
	"github.com/briarrouter/briarrouter/peer/peerpb"
	"github.com/briarrouter/briarrouter/quarantine"
	"github.com/briarrouter/briarrouter/roster"
	"github.com/briarrouter/briarrouter/statement"
	"github.com/briarrouter/briarrouter/unit"
	"github.com/briarrouter/briarrouter/work"
)

func encodeMember(m roster.Member) *peerpb.Member {
	return &peerpb.Member{
		Host:          string(m.Host),
		FailureDomain: string(m.FailureDomain),
		Callers:       string(m.Callers),
		Peers:         string(m.Peers),
		Incarnation:   uint64(m.Incarnation),
		Precedence:    m.Precedence,
		Sequence:      m.Sequence,
		State:         uint32(m.State),
		Room:          uint32(m.Room),
	}
}

func decodeMember(m *peerpb.Member) roster.Member {
	return roster.Member{
		Host:          id.Host(m.GetHost()),
		FailureDomain: id.FailureDomain(m.GetFailureDomain()),
		Callers:       id.Address(m.GetCallers()),
		Peers:         id.Address(m.GetPeers()),
		Incarnation:   id.Incarnation(m.GetIncarnation()),
		Precedence:    m.GetPrecedence(),
		Sequence:      m.GetSequence(),
		State:         roster.State(min(m.GetState(), uint32(roster.Dead))),
		Room:          unit.Millicores(m.GetRoom()),
	}
}

// decodeMembers skips entries without a host or an incarnation.
func decodeMembers(list []*peerpb.Member) []roster.Member {
	var members []roster.Member
	for _, m := range list {
		if m.GetHost() != "" && m.GetIncarnation() != 0 {
			members = append(members, decodeMember(m))
		}
	}
	return members
}

func encodeMembers(list []roster.Member) []*peerpb.Member {
	var members []*peerpb.Member
	for _, m := range list {
		members = append(members, encodeMember(m))
	}
	return members
}

func encodeNotices(list []quarantine.Notice) []*peerpb.Notice {
	var notices []*peerpb.Notice
	for _, q := range list {
		notices = append(notices, &peerpb.Notice{Fingerprint: uint64(q.Fingerprint), LeftMilliseconds: uint32(q.Left.Milliseconds())})
	}
	return notices
}

func encodeDepartures(list []statement.LeavingNotice) []*peerpb.Departure {
	var departures []*peerpb.Departure
	for _, n := range list {
		departures = append(departures, &peerpb.Departure{
			Target: string(n.Process.Target), Address: string(n.Process.Address), Incarnation: n.Process.Incarnation,
			AgeMilliseconds: uint32(n.Age.Milliseconds()),
		})
	}
	return departures
}

func decodeDepartures(list []*peerpb.Departure) []statement.LeavingNotice {
	var notices []statement.LeavingNotice
	for _, d := range list[:min(len(list), maxNotices)] {
		notices = append(notices, statement.LeavingNotice{
			Process: statement.Process{Target: id.Target(d.GetTarget()), Address: id.Address(d.GetAddress()), Incarnation: d.GetIncarnation()},
			Age:     time.Duration(d.GetAgeMilliseconds()) * time.Millisecond,
		})
	}
	return notices
}

func encodeLimits(list []statement.LimitNotice) []*peerpb.Limit {
	var limits []*peerpb.Limit
	for _, n := range list {
		limits = append(limits, &peerpb.Limit{
			Target: string(n.Process.Target), Address: string(n.Process.Address), Incarnation: n.Process.Incarnation,
			PerSecond: float64(n.Limit), AgeMilliseconds: uint32(n.Age.Milliseconds()),
		})
	}
	return limits
}

func decodeLimits(list []*peerpb.Limit) []statement.LimitNotice {
	var notices []statement.LimitNotice
	for _, l := range list[:min(len(list), maxNotices)] {
		notices = append(notices, statement.LimitNotice{
			Process: statement.Process{Target: id.Target(l.GetTarget()), Address: id.Address(l.GetAddress()), Incarnation: l.GetIncarnation()},
			Limit:   unit.PerSecond(l.GetPerSecond()),
			Age:     time.Duration(l.GetAgeMilliseconds()) * time.Millisecond,
		})
	}
	return notices
}

func encodeVersion(v id.ConfigVersion) *peerpb.Version {
	return &peerpb.Version{Number: v.Number, Digest: v.Digest}
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
