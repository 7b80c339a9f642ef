package router

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/briarrouter/briarrouter/configuration"
	"github.com/briarrouter/briarrouter/departure"
	"github.com/briarrouter/briarrouter/idempotency"
	"github.com/briarrouter/briarrouter/outcome"
	"github.com/briarrouter/briarrouter/work"
)

// handleKeyed handles a non-idempotent request that must run at most once for its
// key.
func (r *Router) handleKeyed(ctx context.Context, req *work.Request, m configuration.Match) work.Response {
	verdict, entry := r.claim(req)
	switch verdict {
	case idempotency.Start:
		return r.runKeyed(ctx, req, m, entry)
	case idempotency.Join:
		return r.awaitRunning(ctx, req, entry)
	case idempotency.Recorded:
		return entry.Response
	case idempotency.Foreign:
		return r.forwardToOwner(ctx, req)
	case idempotency.Malformed:
		return work.Refuse(outcome.NotRun, http.StatusBadRequest, work.BadKey)
	case idempotency.Reused:
		// The earlier request with the key may be the same operation, encoded
		// differently, so it cannot be reported as not run.
		return work.Refuse(outcome.Unknown, http.StatusUnprocessableEntity, work.KeyReused)
	case idempotency.Full:
		return work.Refuse(outcome.NotRun, http.StatusServiceUnavailable, work.KeysFull)
	default:
		return work.Refuse(outcome.Unknown, http.StatusConflict, work.KeyClosed)
	}
}

func (r *Router) claim(req *work.Request) (idempotency.Verdict, *idempotency.Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.keys.Claim(time.Now(), req.Key, req.Fingerprint())
}

// runKeyed runs the first request with its key. It continues when the caller
// disconnects, so that a retry with the key finds the response, but not after the cut of
// a stop. If dispatch panics, the outcome recorded for the key is unknown.
func (r *Router) runKeyed(ctx context.Context, req *work.Request, m configuration.Match, e *idempotency.Entry) work.Response {
	response := work.Refuse(outcome.Unknown, http.StatusBadGateway, work.TargetFailed)
	defer func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.keys.Settle(req.Key, e, response)
	}()
	detached, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, func() {
		if errors.Is(context.Cause(ctx), departure.ErrCutOff) {
			cancel(departure.ErrCutOff)
		}
	})
	defer stop()
	response = r.dispatch(detached, req, m)
	return response
}

// awaitRunning waits for the response to an earlier request with the same key that
// is still running.
func (r *Router) awaitRunning(ctx context.Context, req *work.Request, e *idempotency.Entry) work.Response {
	timer := time.NewTimer(time.Until(req.Deadline))
	defer timer.Stop()
	select {
	case <-e.Done:
		return e.Response
	case <-timer.C:
		return work.Refuse(outcome.Unknown, http.StatusGatewayTimeout, work.DeadlinePassed)
	case <-ctx.Done():
		return work.Refuse(outcome.Unknown, http.StatusGatewayTimeout, work.CallerGone)
	}
}

// forwardToOwner forwards a request to the owner of its key, unless a peer has
// forwarded it already. If that fails, the outcome is unknown: an earlier request
// with the key may have reached the owner, and only the owner can say that it was
// not run.
func (r *Router) forwardToOwner(ctx context.Context, req *work.Request) work.Response {
	ownerGone := work.Refuse(outcome.Unknown, http.StatusBadGateway, work.OwnerGone)
	owner, _ := idempotency.Owner(req.Key)
	member, ok := r.peers.Find(owner)
	if !ok || req.Hops > 0 {
		return ownerGone
	}
	ctx, cancel := context.WithDeadline(ctx, req.Deadline.Add(relayGrace))
	response, ending := r.peers.Relay(ctx, member, req, ToOwner)
	if ending != outcome.Answered {
		cancel()
		return ownerGone
	}
	return cancelOnRelease(response, cancel)
}
