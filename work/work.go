// Package work holds a request and its answer apart from any encoding.
package work

import (
	"encoding/binary"
	"io"
	"net/http"
	"time"

	"github.com/briarrouter/briarrouter/id"
	"github.com/briarrouter/briarrouter/outcome"
	"github.com/briarrouter/briarrouter/unit"
	"github.com/cespare/xxhash/v2"
)

// Fingerprint identifies requests with the same contents.
type Fingerprint uint64

// Request is one arrival of a request.
type Request struct {
	ID     id.Request
	Caller id.Caller
	// Key is empty where the caller gave none.
	Key    id.Key
	Method string
	// URI is the path and query as the caller wrote them.
	URI  string
	Path string
	Host string
	// Header holds the end-to-end fields only.
	Header http.Header
	Body   Body
	// Deadline is zero until the route is known, where the caller named none.
	Deadline time.Time
	// Idempotent tells that the request may be run more than once; false until
	// the route is known.
	Idempotent bool
	// Hops counts the daemons that relayed the request to this one.
	Hops int
}

// Body is the body of a request. The part that is held can be sent again.
type Body struct {
	// Held is the start of the body.
	Held []byte
	// Rest is what follows Held; nil where Held is the whole body. It can be
	// read once.
	Rest io.Reader
	// Size is the length of the whole body, or -1 where it is not known.
	Size unit.Bytes
}

// Replayable tells whether the whole body can be sent again.
func (b Body) Replayable() bool { return b.Rest == nil }

// Fingerprint returns the fingerprint of the method, URI and the part of the
// body that is held. The Host field is left out: a caller that repeats a
// request through another daemon names that daemon there.
func (r *Request) Fingerprint() Fingerprint {
	h := xxhash.New()
	for _, part := range []string{r.Method, r.URI} {
		writePart(h, []byte(part))
	}
	writePart(h, r.Body.Held)
	writePart(h, binary.BigEndian.AppendUint64(nil, uint64(r.Body.Size)))
	return Fingerprint(h.Sum64())
}

func writePart(h *xxhash.Digest, part []byte) {
	var size [8]byte
	binary.BigEndian.PutUint64(size[:], uint64(len(part)))
	h.Write(size[:])
	h.Write(part)
}

// Reason says in one word why the system, not a target, gave the answer.
type Reason string

// The reasons.
const (
	// NoReason stands in an answer that a target gave.
	NoReason          Reason = ""
	NoRoute           Reason = "no-route"
	NoConfiguration   Reason = "no-configuration"
	BadRequest        Reason = "bad-request"
	BadKey            Reason = "bad-key"
	KeyReused         Reason = "key-reused"
	KeysFull          Reason = "keys-full"
	KeyClosed         Reason = "key-closed"
	OwnerGone         Reason = "owner-gone"
	AnswerNotHeld     Reason = "answer-not-held"
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
	ServiceNotStarted Reason = "starting"
)

// Answer is the answer to a request.
type Answer struct {
	Outcome outcome.Outcome
	Status  int
	Header  http.Header
	// Held is the whole body, or its start where Rest follows.
	Held []byte
	// Rest is the part of the body that is streamed; nil where Held is whole.
	// Whoever holds the answer closes it.
	Rest io.ReadCloser
	// Size is the length of the whole body, or -1 where it is not known.
	Size   unit.Bytes
	Reason Reason
	// Done gives back the memory of Held; nil where there is none to give
	// back. Whoever passes the answer on calls Close at the end.
	Done func()
	// RetryAfter is when another try makes sense; zero where nothing is said.
	RetryAfter time.Duration
}

// Refuse returns an answer that the system gives itself.
func Refuse(o outcome.Outcome, status int, reason Reason) Answer {
	text := []byte(string(o) + ": " + string(reason) + "\n")
	return Answer{
		Outcome: o,
		Status:  status,
		Header:  http.Header{"Content-Type": {"text/plain; charset=utf-8"}},
		Held:    text,
		Size:    unit.Bytes(len(text)),
		Reason:  reason,
	}
}

// Close ends the use of the answer.
func (a *Answer) Close() {
	if a.Rest != nil {
		a.Rest.Close()
	}
	if a.Done != nil {
		a.Done()
		a.Done = nil
	}
}
