package router

import (
	"net/http"
	"time"

	"github.com/briarrouter/briarrouter/account"
	"github.com/briarrouter/briarrouter/configuration"
	"github.com/briarrouter/briarrouter/work"
)

// freshness tells how old this daemon's copy of what the platform publishes may be.
type freshness interface {
	// IsCurrent reports whether every change that must be in force by now is in force.
	IsCurrent(now time.Time) bool
}

// staleRetryAfter is when a caller that a daemon with an old copy cannot identify may try
// another daemon.
const staleRetryAfter = 200 * time.Millisecond

// identify finds the client account of a request and sets its priority. It returns the
// refusal of a request that has no valid key although its route needs one. A request that
// a peer relayed carries the name of the account: the peer has checked the key.
func (r *Router) identify(req *work.Request, s *configuration.Snapshot, m configuration.Match, purpose Purpose) (*account.Account, *work.Response) {
	req.Priority = m.Route.Priority
	if s.Accounts == nil {
		return nil, nil
	}
	contract := &m.Service.Contract
	a := r.accountOf(req, s.Accounts, purpose)
	if a == nil && purpose == "" && !m.Route.Public {
		response := r.refuseUnidentified(req, purpose)
		return nil, &response
	}
	if a != nil && a.HasPriority {
		req.Priority = a.Priority
	}
	replaced := http.Header{contract.KeyHeader: nil, contract.AccountHeader: nil}
	if contract.AccountHeader != "" && req.Caller != "" {
		replaced[contract.AccountHeader] = []string{string(req.Caller)}
	}
	req.Header = req.Header.Replace(replaced)
	return a, nil
}

// accountOf returns the account of a request, or nil. It sets the request's Caller, unless
// a peer relayed the request.
func (r *Router) accountOf(req *work.Request, accounts *account.Table, purpose Purpose) *account.Account {
	if purpose != "" {
		a, _ := accounts.Named(req.Caller)
		return a
	}
	req.Caller = ""
	a, known := accounts.Find(req.AccountKey)
	if known {
		req.Caller = a.Name
	}
	return a
}

// refuseUnidentified refuses a request without a valid key. If this daemon may lack a
// change, the key may have been added or the route made public meanwhile, and the refusal
// invites the caller to try another daemon.
func (r *Router) refuseUnidentified(req *work.Request, purpose Purpose) work.Response {
	if r.freshness != nil && !r.freshness.IsCurrent(time.Now()) {
		response := r.refuse(req, purpose, http.StatusServiceUnavailable, work.UnknownAccount)
		response.RetryAfter = staleRetryAfter
		return response
	}
	return r.refuse(req, purpose, http.StatusUnauthorized, work.UnknownAccount)
}
