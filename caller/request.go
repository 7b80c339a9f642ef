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

// Header fields that callers may send.
const (
	// CallerField identifies the client account.
	CallerField = message.Prefix + "Caller"
	// TimeoutField is how long the caller waits for the response, in
	// milliseconds.
	TimeoutField = message.Prefix + "Timeout"
	// KeyField carries the idempotency key.
	KeyField = "Idempotency-Key"
)

const (
	maxTimeout = time.Hour
	// Limits on the lengths of header field values, in bytes.
	maxCallerLength = 128
	maxKeyLength    = 256
)

var methods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete,
}

// badRequest is the reason for rejecting a request, as sent to the caller.
type badRequest string

func (b badRequest) Error() string { return string(b) }

// Dialect is the project's own protocol for callers; docs/CALLERS.md describes
// it.
type Dialect struct{}

func (Dialect) Decode(r *http.Request, now time.Time) (*work.Request, error) { return decode(r, now) }

func (Dialect) Encode(request id.Request, response work.Response) http.Header {
	return message.ResponseHeader(request, response)
}

// decode checks the header section of a request and converts it. The body is
// left to the connection.
func decode(r *http.Request, now time.Time) (*work.Request, error) {
	if err := checkRequest(r); err != nil {
		return nil, err
	}
	account, err := singleValue(r.Header, CallerField, maxCallerLength)
	if err != nil {
		return nil, err
	}
	key, err := singleValue(r.Header, KeyField, maxKeyLength)
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
		Header:   work.EncodeFields(header),
		Deadline: deadline,
	}, nil
}

func checkRequest(r *http.Request) error {
	switch {
	case !slices.Contains(methods, r.Method):
		return badRequest(fmt.Sprintf("method %q is not accepted; accepted: %s", r.Method, strings.Join(methods, ", ")))
	case !strings.HasPrefix(r.RequestURI, "/") || strings.HasPrefix(r.RequestURI, "//"):
		return badRequest("the request target must be a path that starts with one slash")
	case !isCleanPath(r.URL.Path):
		return badRequest("the path must not hold empty or dot segments")
	case message.IsUpgrade(r.Header):
		return badRequest("a change of protocol is not accepted")
	case r.Host == "":
		return badRequest("the Host field is missing")
	}
	return nil
}

// isCleanPath reports whether a path has no empty or dot segments; a trailing
// slash is allowed. Other paths are rejected so that the target sees the same
// path that the route was selected by.
func isCleanPath(p string) bool {
	return path.Clean(p) == p || path.Clean(p)+"/" == p
}

// singleValue returns the value of a field that may occur at most once, or an
// empty string if the field is missing. limit is the largest length in bytes.
func singleValue(h http.Header, name string, limit int) (string, error) {
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

// decodeDeadline returns the zero time if the request sets no timeout.
func decodeDeadline(h http.Header, now time.Time) (time.Time, error) {
	text, err := singleValue(h, TimeoutField, len("3600000"))
	if err != nil || text == "" {
		return time.Time{}, err
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < 1 || n > maxTimeout.Milliseconds() {
		return time.Time{}, badRequest(fmt.Sprintf("%s %q is not accepted; accepted: milliseconds from 1 to %d", TimeoutField, text, maxTimeout.Milliseconds()))
	}
	return now.Add(time.Duration(n) * time.Millisecond), nil
}
