// Package work defines requests and their responses, independent of how they are
// encoded in messages.
package work

import (
	"encoding/binary"
	"io"
	"net/http"
	"time"

	"github.com/briarrouter/briarrouter/account"
	"github.com/briarrouter/briarrouter/departure"
	"github.com/briarrouter/briarrouter/id"
	"github.com/briarrouter/briarrouter/outcome"
	"github.com/briarrouter/briarrouter/unit"
	"github.com/cespare/xxhash/v2"
)

// Fingerprint is a hash of the parts of a request that stay the same when a caller
// retries it.
type Fingerprint uint64

// Request is a request that a daemon received from a caller or a peer. Each retry by
// the caller is a separate Request.
type Request struct {
	ID id.Request
	// Caller is the name of the client account. If the configuration names accounts, the
	// router sets it from AccountKey; until then it is what the caller says.
	Caller id.Caller
	// AccountKey is empty if the caller sent none, or none that can be read.
	AccountKey account.Key
	// Priority orders waiting requests; 0 goes first. It is that of the account or, if it
	// has none, of the route, and zero until the route is known.
	Priority int
	// Origin is empty if it is not known.
	Origin id.Origin
	// Key is empty if the caller sent no idempotency key.
	Key    id.Key
	Method string
	// URI is the path and query as received.
	URI  string
	Path string
	Host string
	// Header has only the end-to-end fields, no hop-by-hop ones.
	Header Fields
	Body   Body
	// Deadline follows from the caller's timeout. If the caller sent none, it is
	// zero until the route is known. The route may move it to an earlier time.
	Deadline time.Time
	// Idempotent is set if the request may run more than once. It follows from
	// the route and is false until that is known.
	Idempotent bool
	// Departure is the plan of the stop of the daemon that the request arrived at; nil
	// while none is in progress.
	Departure *departure.Plan
	// Hops is the number of times the request was forwarded to a peer.
	Hops int
	// Progress is nil if nobody asks for it.
	Progress *Progress
}

// Body is the body of a request: a buffered start, and the rest as a stream.
type Body struct {
	// Buffered is the buffered start of the body, or all of it if Rest is nil.
	Buffered []byte
	// Rest is the stream that follows Buffered, or nil if Buffered is the whole
	// body. It can be read only once.
	Rest io.Reader
	// Size is the length of the whole body, or -1 if unknown.
	Size unit.Bytes
}

// Replayable reports whether the whole body is buffered, so that it can be sent
// again.
func (b Body) Replayable() bool { return b.Rest == nil }

// Fingerprint returns the fingerprint of the method, the URI, the size of the body
// and its buffered start. Host is left out: a caller that retries a request through
// another daemon sends another value.
func (r *Request) Fingerprint() Fingerprint {
	h := xxhash.New()
	for _, part := range []string{r.Method, r.URI} {
		writePart(h, []byte(part))
	}
	writePart(h, r.Body.Buffered)
	writePart(h, binary.BigEndian.AppendUint64(nil, uint64(r.Body.Size)))
	return Fingerprint(h.Sum64())
}

// Identity identifies the requests that are the same when they come again. Whether a
// request crashes targets may depend on parts of it that its content leaves out, such as
// header fields, which are the same for one caller.
type Identity struct {
	// Content is the fingerprint of what is sent, by any caller.
	Content Fingerprint
	// ByCaller is the fingerprint of the content as sent by one caller; zero if the
	// caller is not known.
	ByCaller Fingerprint
}

// Identity returns the identity of the request. Its caller is known by the client
// account or, without one, by the origin.
func (r *Request) Identity() Identity {
	identity := Identity{Content: r.Fingerprint()}
	if r.Caller == "" && r.Origin == "" {
		return identity
	}
	h := xxhash.New()
	writePart(h, binary.BigEndian.AppendUint64(nil, uint64(identity.Content)))
	writePart(h, []byte(r.Caller))
	if r.Caller == "" {
		writePart(h, []byte(r.Origin))
	}
	identity.ByCaller = Fingerprint(h.Sum64())
	return identity
}

// writePart hashes the length of a part before the part, so that different
// sequences of parts are different inputs.
func writePart(h *xxhash.Digest, part []byte) {
	var size [8]byte
	binary.BigEndian.PutUint64(size[:], uint64(len(part)))
	h.Write(size[:])
	h.Write(part)
}

// Reason is the code that states why a response comes from a daemon instead of a
// target.
type Reason string

const (
	// NoReason is the Reason in a response of a target.
	NoReason Reason = ""
	NoRoute  Reason = "no-route"
	// UnknownAccount means that the request has no key of a client account. It is also
	// the reason of a refusal because this daemon may not know of a new key yet.
	UnknownAccount Reason = "unknown-account"
	// QuotaExceeded means that the client account has used up its limit.
	QuotaExceeded   Reason = "quota-exceeded"
	NoConfiguration Reason = "no-configuration"
	BadRequest      Reason = "bad-request"
	BadKey          Reason = "bad-key"
	KeyReused       Reason = "key-reused"
	KeysFull        Reason = "keys-full"
	// KeyClosed means that the owner no longer keeps keys of the key's epoch, or does
	// not keep them yet.
	KeyClosed Reason = "key-closed"
	// OwnerGone means that the owner of the key was not found or did not respond.
	OwnerGone Reason = "owner-gone"
	// ResponseNotStored means that the request ran but its response was not kept for
	// retries.
	ResponseNotStored Reason = "answer-not-held"
	Overloaded        Reason = "overloaded"
	DeadlineTooNear   Reason = "deadline-too-near"
	DeadlinePassed    Reason = "deadline-passed"
	Quarantined       Reason = "quarantined"
	NoTarget          Reason = "no-target"
	TargetFailed      Reason = "target-failed"
	PeerFailed        Reason = "peer-failed"
	CallerGone        Reason = "caller-gone"
	TooManyHops       Reason = "too-many-hops"
	MemoryLimit       Reason = "memory-limit"
	RequestTooLarge   Reason = "request-too-large"
	// BodyLimit means that too many bodies were arriving, or that this one stood still while
	// others waited.
	BodyLimit Reason = "body-limit"
	// BodyIncomplete means that the caller did not send the rest of a body.
	BodyIncomplete Reason = "body-incomplete"
	// Leaving means that the daemon is being stopped before the request could end.
	Leaving Reason = "leaving"
	// InternalError means that handling the request panicked.
	InternalError Reason = "internal-error"
)

// Response is the response to a request. Whoever writes it to its receiver calls
// Close afterwards.
type Response struct {
	Outcome outcome.Outcome
	Status  int
	Header  http.Header
	// Buffered is the buffered start of the body, or all of it if Rest is nil.
	Buffered []byte
	// Rest is the stream that follows Buffered, or nil if Buffered is the whole
	// body. Close closes it.
	Rest io.ReadCloser
	// Size is the length of the whole body, or -1 if unknown.
	Size   unit.Bytes
	Reason Reason
	// Release releases what the response holds, such as the memory of Buffered; nil
	// if there is nothing to release. Close calls it.
	Release func()
	// RetryAfter is the duration after which a retry may succeed; zero if
	// unknown.
	RetryAfter time.Duration
}

// Refuse returns the response of a daemon to a request that it refuses.
func Refuse(o outcome.Outcome, status int, reason Reason) Response {
	body := []byte(string(o) + ": " + string(reason) + "\n")
	return Response{
		Outcome:  o,
		Status:   status,
		Header:   http.Header{"Content-Type": {"text/plain; charset=utf-8"}},
		Buffered: body,
		Size:     unit.Bytes(len(body)),
		Reason:   reason,
	}
}

// Close closes Rest and, on the first call only, calls Release.
func (r *Response) Close() {
	if r.Rest != nil {
		r.Rest.Close()
	}
	if r.Release != nil {
		r.Release()
		r.Release = nil
	}
}
