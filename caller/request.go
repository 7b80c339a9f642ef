package caller

import (
	"errors"
	"fmt"
	"net/http"
	"path"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/briarrouter/briarrouter/id"
	"github.com/briarrouter/briarrouter/message"
	"github.com/briarrouter/briarrouter/outcome"
	"github.com/briarrouter/briarrouter/work"
)

// Fields that callers may send.
const (
	// CallerField names the client account.
	CallerField = message.Prefix + "Caller"
	// TimeoutField gives the milliseconds that the caller waits for the answer.
	TimeoutField = message.Prefix + "Timeout"
	// KeyField carries the idempotency key.
	KeyField = "Idempotency-Key"
)

const (
	maxTimeout   = time.Hour
	maxCallerID  = 128
	maxKeyLength = 256
)

var methods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete,
}

// badRequest says why a request is refused.
type badRequest string

func (b badRequest) Error() string { return string(b) }

// request answers one request of a caller.
func (s *Server) request(w http.ResponseWriter, r *http.Request) {
	req, err := decode(r, time.Now())
	if err != nil {
		s.refuse(w, r, http.StatusBadRequest, work.BadRequest, err)
		return
	}
	body, release, err := message.ReadBody(w, r, message.BodyConfig{
		Limit: s.cfg.Limits.RequestBody, Buffer: s.cfg.Limits.BodyBuffer, Memory: s.cfg.Memory, Pause: s.cfg.Timing.SlowCaller,
	})
	defer release()
	switch {
	case errors.Is(err, message.ErrTooLarge):
		s.refuse(w, r, http.StatusRequestEntityTooLarge, work.RequestTooLarge, err)
		return
	case err != nil:
		s.refuse(w, r, http.StatusBadRequest, work.BadRequest, err)
		return
	}
	req.Body = body
	message.WriteAnswer(w, req.ID, s.handler.Handle(r.Context(), req), s.cfg.Timing.SlowCaller)
}

// refuse answers a request that was understood to be wrong before anything of
// it was done. Where it has a key, an earlier arrival with the key may have run.
func (s *Server) refuse(w http.ResponseWriter, r *http.Request, status int, reason work.Reason, err error) {
	known := outcome.NotRun
	if len(r.Header.Values(KeyField)) > 0 {
		known = outcome.Unknown
	}
	answer := work.Refuse(known, status, reason)
	answer.Held = append(answer.Held, err.Error()+"\n"...)
	answer.Size = -1
	w.Header().Set("Connection", "close")
	message.WriteAnswer(w, id.NewRequest(), answer, s.cfg.Timing.SlowCaller)
}

// decode turns the head of a caller's request into a request.
func decode(r *http.Request, now time.Time) (*work.Request, error) {
	if err := checkHead(r); err != nil {
		return nil, err
	}
	account, err := single(r.Header, CallerField, maxCallerID)
	if err != nil {
		return nil, err
	}
	key, err := single(r.Header, KeyField, maxKeyLength)
	if err != nil {
		return nil, err
	}
	deadline, err := decodeDeadline(r.Header, now)
	if err != nil {
		return nil, err
	}
	header := message.EndToEnd(r.Header)
	header.Del(KeyField)
	return &work.Request{
		ID:       id.NewRequest(),
		Caller:   id.Caller(account),
		Key:      id.Key(strings.Trim(key, `"`)),
		Method:   r.Method,
		URI:      r.RequestURI,
		Path:     r.URL.Path,
		Host:     r.Host,
		Header:   header,
		Deadline: deadline,
	}, nil
}

func checkHead(r *http.Request) error {
	switch {
	case !slices.Contains(methods, r.Method):
		return badRequest(fmt.Sprintf("method %q is not accepted; accepted: %s", r.Method, strings.Join(methods, ", ")))
	case !strings.HasPrefix(r.RequestURI, "/") || strings.HasPrefix(r.RequestURI, "//"):
		return badRequest("the request target must be a path that starts with one slash")
	case !plainPath(r.URL.Path):
		return badRequest("the path must not hold empty or dot segments")
	case message.Upgrade(r.Header):
		return badRequest("a change of protocol is not accepted")
	case r.Host == "":
		return badRequest("the Host field is missing")
	}
	return nil
}

// plainPath tells whether a path is in its shortest form, so that the target
// sees the path that the route was chosen by.
func plainPath(p string) bool {
	return path.Clean(p) == p || path.Clean(p)+"/" == p
}

// single returns the value of a field that may stand once.
func single(h http.Header, name string, limit int) (string, error) {
	values := h.Values(name)
	switch {
	case len(values) == 0:
		return "", nil
	case len(values) > 1:
		return "", badRequest(name + " stands more than once")
	case len(values[0]) > limit:
		return "", badRequest(fmt.Sprintf("%s is longer than %d bytes", name, limit))
	default:
		return values[0], nil
	}
}

func decodeDeadline(h http.Header, now time.Time) (time.Time, error) {
	text, err := single(h, TimeoutField, len("3600000"))
	if err != nil || text == "" {
		return time.Time{}, err
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < 1 || n > maxTimeout.Milliseconds() {
		return time.Time{}, badRequest(fmt.Sprintf("%s %q is not accepted; accepted: milliseconds from 1 to %d", TimeoutField, text, maxTimeout.Milliseconds()))
	}
	return now.Add(time.Duration(n) * time.Millisecond), nil
}
