package caller

import (
	"fmt"
	"net/http"
	"path"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/briarrouter/briarrouter/id"
	"github.com/briarrouter/briarrouter/message"
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

// Dialect is the project's own protocol towards callers; docs/CALLERS.md
// describes it.
type Dialect struct{}

// Decode turns the head of a caller's request into a request.
func (Dialect) Decode(r *http.Request, now time.Time) (*work.Request, error) { return decode(r, now) }

// Encode returns the fields of an answer.
func (Dialect) Encode(request id.Request, a work.Answer) http.Header {
	return message.AnswerHeader(request, a)
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
