package message

import (
	"fmt"
	"io"
	"net/http"

	"github.com/briarrouter/briarrouter/unit"
)

// LimitedReader reads from Source and fails once more than Remaining bytes follow,
// unlike io.LimitedReader, which reports a regular end.
type LimitedReader struct {
	Source io.Reader
	// Remaining is how many more bytes may be read.
	Remaining unit.Bytes
	// Err is the error for a byte beyond the limit.
	Err error
}

func (r *LimitedReader) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	if r.Remaining <= 0 {
		var next [1]byte
		n, err := r.Source.Read(next[:])
		if n > 0 {
			return 0, r.Err
		}
		return 0, err
	}
	if unit.Bytes(len(p)) > r.Remaining {
		p = p[:r.Remaining]
	}
	n, err := r.Source.Read(p)
	r.Remaining -= unit.Bytes(n)
	return n, err
}

// ResponseLimits limits the responses that an HTTP client reads. Without limits, a
// broken server can send a header section or a body without an end.
type ResponseLimits struct {
	Header, Body unit.Bytes
}

// LimitResponses returns a transport whose responses are within the limits. Reading
// a longer body fails. It sets the limit of the header section of t.
func LimitResponses(t *http.Transport, limits ResponseLimits) http.RoundTripper {
	t.MaxResponseHeaderBytes = int64(limits.Header)
	return &limitedTransport{Transport: t, body: limits.Body}
}

type limitedTransport struct {
	*http.Transport
	body unit.Bytes
}

func (t *limitedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.Transport.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	tooLarge := fmt.Errorf("response body exceeds %s", t.body)
	if resp.ContentLength > int64(t.body) && r.Method != http.MethodHead {
		resp.Body.Close()
		return nil, tooLarge
	}
	resp.Body = &limitedBody{LimitedReader{Source: resp.Body, Remaining: t.body, Err: tooLarge}, resp.Body}
	return resp, nil
}

type limitedBody struct {
	LimitedReader
	io.Closer
}
