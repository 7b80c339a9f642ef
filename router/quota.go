package router

import (
	"net/http"
	"time"

	"github.com/briarrouter/briarrouter/account"
	"github.com/briarrouter/briarrouter/dispatch"
	"github.com/briarrouter/briarrouter/id"
	"github.com/briarrouter/briarrouter/outcome"
	"github.com/briarrouter/briarrouter/quota"
	"github.com/briarrouter/briarrouter/work"
)

// quotas decides whether the limit of a client account allows a request.
type quotas interface {
	Take(now time.Time, name id.Caller, limit account.Limit) quota.Verdict
	// Return gives back the credit of a request that was granted and has not run.
	Return(now time.Time, name id.Caller)
	// SetFleet sets the daemons that share the limits.
	SetFleet(f quota.Fleet)
}

// charge is the credit that a request took; none if its account is nil.
type charge struct {
	quotas  quotas
	account *account.Account
}

// takeQuota takes the credit for a request, or returns its refusal. A request that a peer
// relayed was charged there.
func (r *Router) takeQuota(req *work.Request, a *account.Account, purpose Purpose) (charge, *work.Response) {
	if r.quotas == nil || a == nil || a.Limit.IsUnlimited() || purpose != "" {
		return charge{}, nil
	}
	verdict := r.quotas.Take(time.Now(), a.Name, a.Limit)
	if !verdict.Granted {
		response := r.refuse(req, purpose, http.StatusTooManyRequests, work.QuotaExceeded)
		response.RetryAfter = verdict.RetryAfter
		return charge{}, &response
	}
	return charge{r.quotas, a}, nil
}

// settle gives the credit back if the request has not run.
func (c charge) settle(o outcome.Outcome) {
	if c.account != nil && o == outcome.NotRun {
		c.quotas.Return(time.Now(), c.account.Name)
	}
}

// quotaFleet returns the daemons that share the limits of the accounts.
func quotaFleet(set dispatch.Replicas) quota.Fleet {
	return quota.Fleet{Serving: set.Serving, Others: set.Others, Known: set.Known, Reachable: set.Reachable}
}
