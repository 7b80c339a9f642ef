package message

import (
	"errors"
	"io"
	"maps"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/briarrouter/briarrouter/id"
	"github.com/briarrouter/briarrouter/work"
)

// copyBufferSize is the size of the buffer for streaming a response.
const copyBufferSize = 32 << 10

// ResponseHeader returns the header fields of a response: the end-to-end fields
// and those defined by this project.
func ResponseHeader(request id.Request, response work.Response) http.Header {
	header := EndToEnd(response.Header)
	header.Set(OutcomeField, string(response.Outcome))
	header.Set(RequestField, string(request))
	if response.Reason != work.NoReason {
		header.Set(ReasonField, string(response.Reason))
	}
	if response.RetryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(response.RetryAfter.Seconds()))))
	}
	return header
}

// WriteResponse writes and closes a response. If streaming the body fails, it
// panics with http.ErrAbortHandler, which makes net/http abort the connection,
// so that the receiver does not take the truncated body for a complete one.
// timeout bounds each write.
func WriteResponse(w http.ResponseWriter, request id.Request, response work.Response, timeout time.Duration) {
	defer response.Close()
	header := w.Header()
	maps.Copy(header, ResponseHeader(request, response))
	if response.Size >= 0 && bodyAllowed(response.Status) {
		header.Set("Content-Length", strconv.FormatInt(int64(response.Size), 10))
	}
	out := &timeoutWriter{writer: w, control: http.NewResponseController(w), timeout: timeout}
	w.WriteHeader(response.Status)
	if _, err := out.Write(response.Buffered); err != nil {
		return
	}
	if response.Rest == nil {
		return
	}
	if _, err := io.CopyBuffer(out, struct{ io.Reader }{response.Rest}, make([]byte, copyBufferSize)); err != nil {
		panic(http.ErrAbortHandler)
	}
}

func bodyAllowed(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}

// timeoutWriter sets a deadline for each write, so that a receiver that stops
// reading cannot hold the connection open indefinitely.
type timeoutWriter struct {
	writer  io.Writer
	control *http.ResponseController
	timeout time.Duration
}

func (w *timeoutWriter) Write(b []byte) (int, error) {
	if len(b) == 0 {
		return 0, nil
	}
	if err := w.control.SetWriteDeadline(time.Now().Add(w.timeout)); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return 0, err
	}
	return w.writer.Write(b)
}
