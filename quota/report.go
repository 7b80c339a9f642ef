package quota

import (
	"cmp"
	"slices"

	"github.com/briarrouter/briarrouter/id"
)

// log writes which accounts begin or cease to be refused.
func (s *Service) log(list []Announcement) {
	for _, a := range list {
		message := "account is no longer refused"
		if a.Refusing {
			message = "account exceeds its limit"
		}
		s.cfg.Log.Info().
			Str("Account", string(a.Account)).
			Float64("Credit", a.Credit).
			Float64("Rate", float64(a.Limit.Rate)).
			Float64("Burst", a.Limit.Burst).
			Msg(message)
	}
}

// report updates the metrics. The caller holds mu.
func (s *Service) report() {
	c := s.ledger.counts
	s.cfg.Scope.Counter("quota_granted").Inc(c.Granted - s.reported.Granted)
	s.cfg.Scope.Counter("quota_refused").Inc(c.Refused - s.reported.Refused)
	s.cfg.Scope.Counter("quota_returned").Inc(c.Returned - s.reported.Returned)
	s.reported = c
	s.cfg.Scope.Gauge("quota_accounts").Update(float64(len(s.ledger.buckets)))
}

// maxListed bounds the accounts in a dump.
const maxListed = 5

// State is the service's part of a dump.
type State struct {
	Serving bool
	// Accounts counts the accounts with a state.
	Accounts int
	// Share is the part of the total that the reachable replicas have.
	Share  float64
	Counts Counts
	Peers  []PeerState
	// MostRefused lists the accounts with the most refusals since they became active.
	MostRefused []AccountState
}

// PeerState is what is known of another replica.
type PeerState struct {
	Host id.Host
	// Required tells that its acknowledgements are waited for, Silent that it is not heard
	// or does not acknowledge.
	Required, Silent bool
}

// AccountState is the state of one account.
type AccountState struct {
	Account id.Caller
	Refused int64
	Credit  float64
	// Unsettled counts the grants that some replica has not acknowledged.
	Unsettled int64
}

// State returns the counts and the accounts that are refused most.
func (s *Service) State() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.ledger
	st := State{Serving: l.fleet.Serving, Accounts: len(l.buckets), Share: l.share, Counts: l.counts}
	for _, p := range l.peers {
		st.Peers = append(st.Peers, PeerState{Host: p.host, Required: p.required, Silent: p.silent(l.at)})
	}
	slices.SortFunc(st.Peers, func(a, b PeerState) int { return cmp.Compare(a.Host, b.Host) })
	for _, b := range l.buckets {
		if b.refused > 0 {
			st.MostRefused = append(st.MostRefused, AccountState{Account: b.name, Refused: b.refused, Credit: b.finiteCredit(), Unsettled: b.unsettled})
		}
	}
	slices.SortFunc(st.MostRefused, func(a, b AccountState) int {
		return cmp.Or(cmp.Compare(b.Refused, a.Refused), cmp.Compare(a.Account, b.Account))
	})
	st.MostRefused = slices.Clip(st.MostRefused[:min(len(st.MostRefused), maxListed)])
	return st
}
