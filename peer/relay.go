package peer

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/briarrouter/briarrouter/exchange"
	"github.com/briarrouter/briarrouter/id"
	"github.com/briarrouter/briarrouter/kernel"
	"github.com/briarrouter/briarrouter/message"
	"github.com/briarrouter/briarrouter/outcome"
	"github.com/briarrouter/briarrouter/roster"
	"github.com/briarrouter/briarrouter/router"
	"github.com/briarrouter/briarrouter/work"
)

// relayPath precedes the path of a relayed request.
const relayPath = "/relay"

// Header fields of relayed requests.
const (
	callerField = message.Prefix + "Caller"
	originField = message.Prefix + "Origin"
	keyField    = message.Prefix + "Key"
	// deadlineField carries the time left until the deadline.
	deadlineField = message.Prefix + "Deadline-Ms"
	hopsField     = message.Prefix + "Hops"
	purposeField  = message.Prefix + "Purpose"
	// incarnationField carries the receiver's incarnation as the sender knows it.
	// An owner refuses a request that is meant for another incarnation.
	incarnationField = message.Prefix + "Incarnation"
	// fromField carries the host of the sender.
	fromField = message.Prefix + "From"
	// versionField carries the number and the digest of the configuration that
	// the sender has in force.
	versionField = message.Prefix + "Version"
)

// relayStallLimit is how long a relayed request may wait for a response before
// the peer is probed.
const relayStallLimit = 250 * time.Millisecond

var errPeerUnresponsive = errors.New("peer does not respond to probes")

// relay is a relayed request that waits for its response.
type relay struct{ cancel context.CancelCauseFunc }

// Relay forwards a request to a peer. The response is valid only if the
// ending is Answered.
func (s *Service) Relay(ctx context.Context, to roster.Member, req *work.Request, purpose router.Purpose) (work.Response, outcome.Ending) {
	l := s.link(to.Host)
	if l == nil {
		return work.Response{}, outcome.DialFailed
	}
	ctx, cancel := context.WithCancelCause(ctx)
	r := &relay{cancel: cancel}
	stallTimer := time.AfterFunc(relayStallLimit, l.requestProbe)
	l.trackRelay(r, req)
	req.Progress.PassOn()
	reply := l.relayPool.Do(ctx, exchange.Call{
		Method:     req.Method,
		URI:        relayPath + req.URI,
		Host:       req.Host,
		Fields:     req.Header,
		Header:     s.relayHeader(to, req, purpose),
		Body:       req.Body,
		MaxIdle:    relayIdleLimit,
		EchoHeader: message.RequestField,
		Echo:       string(req.ID),
	})
	stallTimer.Stop()
	l.untrackRelay(r)
	if reply.Ending == outcome.Cancelled && context.Cause(ctx) == errPeerUnresponsive {
		reply.Ending = outcome.Lost
	}
	s.cfg.Scope.Tagged(map[string]string{"ending": string(reply.Ending)}).Counter("relays").Inc(1)
	if reply.Ending != outcome.Answered {
		cancel(nil)
		s.handleRelayFailure(l, reply)
		return work.Response{}, reply.Ending
	}
	response, ending := decodeResponse(reply)
	release := response.Release
	response.Release = func() {
		cancel(nil)
		release()
	}
	return response, ending
}

func (s *Service) handleRelayFailure(l *link, reply exchange.Reply) {
	s.cfg.Log.Debug().Str("Peer", string(l.host)).Str("Ending", string(reply.Ending)).AnErr("Cause", reply.Err).Msg("relay to a peer failed")
	if reply.Ending == outcome.DialFailed {
		l.requestProbe()
	}
}

// trackRelay makes a relay cancellable by handlePingFailure if it may be retried
// elsewhere: the request is idempotent and its whole body is buffered.
func (l *link) trackRelay(r *relay, req *work.Request) {
	if !req.Idempotent || !req.Body.Replayable() {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outstanding[r] = true
}

func (l *link) untrackRelay(r *relay) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.outstanding, r)
}

func (s *Service) relayHeader(to roster.Member, req *work.Request, purpose router.Purpose) http.Header {
	h := make(http.Header)
	h.Set(message.RequestField, string(req.ID))
	h.Set(callerField, string(req.Caller))
	h.Set(originField, string(req.Origin))
	h.Set(deadlineField, strconv.FormatInt(time.Until(req.Deadline).Milliseconds(), 10))
	h.Set(hopsField, strconv.Itoa(req.Hops+1))
	h.Set(purposeField, string(purpose))
	h.Set(incarnationField, to.Incarnation.String())
	h.Set(fromField, string(s.cfg.Self.Host))
	v := s.store.Version()
	h.Set(versionField, fmt.Sprintf("%d %s", v.Number, v.Digest))
	if purpose == router.ToOwner {
		h.Set(keyField, string(req.Key))
	}
	return h
}

// decodeResponse turns a peer's reply into a response. A reply without a valid
// outcome proves nothing about the request and counts as malformed.
func decodeResponse(reply exchange.Reply) (work.Response, outcome.Ending) {
	response := work.Response{
		Outcome:  outcome.Outcome(reply.Header.Get(message.OutcomeField)),
		Status:   reply.Status,
		Header:   reply.Header,
		Buffered: reply.Buffered,
		Rest:     reply.Rest,
		Size:     reply.Size,
		Reason:   work.Reason(reply.Header.Get(message.ReasonField)),
		Release:  reply.Release,
	}
	switch response.Outcome {
	case outcome.Ran, outcome.NotRun, outcome.Unknown:
	default:
		response.Close()
		return work.Response{Release: func() {}}, outcome.Malformed
	}
	if seconds, err := strconv.Atoi(reply.Header.Get("Retry-After")); err == nil && response.Reason != work.NoReason {
		response.RetryAfter = time.Duration(seconds) * time.Second
	}
	return response, outcome.Answered
}

// relayServer serves the requests that peers relay.
type relayServer struct{ *Service }

func (s relayServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	req, purpose, err := s.decode(r)
	if err != nil {
		s.cfg.Scope.Counter("refused_peer_messages").Inc(1)
		http.Error(w, err.Error(), http.StatusForbidden)
		return
	}
	handler, err := kernel.Find[relayHandler](s.kernel, router.ServiceName)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	// The request holds an encoded copy of its fields, which takes much less memory.
	r.Header = nil
	body, release, err := message.ReadBody(w, r, message.BodyConfig{
		Limit: s.cfg.Limits.RequestBody, Buffer: s.cfg.Limits.BodyBuffer, Memory: s.cfg.Memory,
		ReadTimeout: s.cfg.Timing.SlowCaller, Deadline: req.Deadline,
	})
	defer release()
	if err != nil {
		message.WriteResponse(w, req.ID, s.unreadBodyResponse(purpose, err), s.cfg.Timing.SlowCaller)
		return
	}
	req.Body = body
	response := handler.HandleRelayed(r.Context(), req, purpose)
	message.WriteResponse(w, req.ID, response, s.cfg.Timing.SlowCaller)
}

// unreadBodyResponse returns the response to a request whose body is too large
// or did not arrive whole. The dispatcher has not run such a request. A
// request relayed to the owner may be a retry of one that ran, so its outcome is
// unknown.
func (s relayServer) unreadBodyResponse(purpose router.Purpose, err error) work.Response {
	switch {
	case purpose == router.ToOwner:
		return work.Refuse(outcome.Unknown, http.StatusBadRequest, work.BadRequest)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return work.Refuse(outcome.NotRun, http.StatusRequestTimeout, work.DeadlinePassed)
	}
	return work.Refuse(outcome.NotRun, http.StatusBadRequest, work.BadRequest)
}

var errNotRelay = errors.New("this address takes messages of peers only")

// decode returns the request that a peer relayed, without its body, and the
// purpose of the relay.
func (s relayServer) decode(r *http.Request) (*work.Request, router.Purpose, error) {
	h := r.Header
	purpose := router.Purpose(h.Get(purposeField))
	remaining, deadlineErr := strconv.ParseInt(h.Get(deadlineField), 10, 64)
	hops, hopsErr := strconv.Atoi(h.Get(hopsField))
	if deadlineErr != nil || hopsErr != nil || hops < 1 || h.Get(message.RequestField) == "" {
		return nil, "", errNotRelay
	}
	if purpose != router.ToOwner && purpose != router.ToDispatcher {
		return nil, "", errNotRelay
	}
	if purpose == router.ToOwner && h.Get(incarnationField) != s.cfg.Self.Incarnation.String() {
		return nil, "", errors.New("the incarnation that is asked for is gone")
	}
	s.receiveVersion(h)
	return &work.Request{
		ID:        id.Request(h.Get(message.RequestField)),
		Caller:    id.Caller(h.Get(callerField)),
		Origin:    id.Origin(h.Get(originField)),
		Key:       id.Key(h.Get(keyField)),
		Method:    r.Method,
		URI:       strings.TrimPrefix(r.RequestURI, relayPath),
		Path:      strings.TrimPrefix(r.URL.Path, relayPath),
		Host:      r.Host,
		Header:    work.EncodeFields(message.EndToEnd(h)),
		Deadline:  time.Now().Add(time.Duration(remaining) * time.Millisecond),
		Departure: s.departure.Load(),
		Hops:      hops,
	}, purpose, nil
}

// receiveVersion requests a fetch of the sender's configuration if it is newer
// than this daemon's.
func (s relayServer) receiveVersion(h http.Header) {
	number, digest, _ := strings.Cut(h.Get(versionField), " ")
	n, err := strconv.ParseUint(number, 10, 64)
	if err != nil {
		return
	}
	if l := s.link(id.Host(h.Get(fromField))); l != nil {
		l.requestFetch(id.ConfigVersion{Number: n, Digest: digest})
	}
}
