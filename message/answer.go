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

// copyBuffer is the size of the buffer that streamed answers go through.
const copyBuffer = 32 << 10

// AnswerHeader returns the fields of an answer.
func AnswerHeader(request id.Request, a work.Answer) http.Header {
	header := EndToEnd(a.Header)
	header.Set(OutcomeField, string(a.Outcome))
	header.Set(RequestField, string(request))
	if a.Reason != work.NoReason {
		header.Set(ReasonField, string(a.Reason))
	}
	if a.RetryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(a.RetryAfter.Seconds()))))
	}
	return header
}

// WriteAnswer writes an answer and closes it. A streamed answer that is cut
// cuts the connection, so that the receiver cannot take the cut for the end.
func WriteAnswer(w http.ResponseWriter, request id.Request, a work.Answer, pause time.Duration) {
	defer a.Close()
	header := w.Header()
	maps.Copy(header, AnswerHeader(request, a))
	if a.Size >= 0 && bodyAllowed(a.Status) {
		header.Set("Content-Length", strconv.FormatInt(int64(a.Size), 10))
	}
	out := &pacedWriter{writer: w, control: http.NewResponseController(w), pause: pause}
	w.WriteHeader(a.Status)
	if _, err := out.Write(a.Held); err != nil {
		return
	}
	if a.Rest == nil {
		return
	}
	if _, err := io.CopyBuffer(out, struct{ io.Reader }{a.Rest}, make([]byte, copyBuffer)); err != nil {
		panic(http.ErrAbortHandler)
	}
}

func bodyAllowed(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}

// pacedWriter writes to a receiver that may pause only for a while.
type pacedWriter struct {
	writer  io.Writer
	control *http.ResponseController
	pause   time.Duration
}

func (p *pacedWriter) Write(b []byte) (int, error) {
	if len(b) == 0 {
		return 0, nil
	}
	if err := p.control.SetWriteDeadline(time.Now().Add(p.pause)); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return 0, err
	}
	return p.writer.Write(b)
}
