package message

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/briarrouter/briarrouter/memory"
	"github.com/briarrouter/briarrouter/unit"
	"github.com/briarrouter/briarrouter/work"
)

// BodyConfig sets the limits for reading a body.
type BodyConfig struct {
	// Limit is the size of the largest body that is accepted.
	Limit unit.Bytes
	// Buffer is the size of the largest body that is buffered whole.
	Buffer unit.Bytes
	// Memory limits the buffered bytes of all requests together.
	Memory *memory.Limiter
	// ReadTimeout is the timeout of each read from the sender.
	ReadTimeout time.Duration
}

// ErrTooLarge is returned for a body that is declared to be larger than the
// limit. A body of unknown size fails with *http.MaxBytesError when reading
// passes the limit.
var ErrTooLarge = errors.New("request body is too large")

// ReadBody buffers the whole body of a request if it is small and memory is
// available, and streams it otherwise. If a body of unknown size is too large
// for the buffer, its start is buffered and the rest is streamed. release
// returns the reserved memory and must be called when the request has ended; it
// is never nil, even if there is an error.
func ReadBody(w http.ResponseWriter, r *http.Request, cfg BodyConfig) (body work.Body, release func(), err error) {
	release = func() {}
	if r.ContentLength > int64(cfg.Limit) {
		return body, release, ErrTooLarge
	}
	if r.ContentLength == 0 || r.Body == http.NoBody {
		return work.Body{}, release, nil
	}
	source := &timeoutReader{
		reader:  http.MaxBytesReader(w, r.Body, int64(cfg.Limit)),
		control: http.NewResponseController(w),
		timeout: cfg.ReadTimeout,
	}
	size := unit.Bytes(r.ContentLength)
	reserved := min(cfg.Buffer, cfg.Limit)
	if size >= 0 {
		reserved = size
	}
	if size > cfg.Buffer || !cfg.Memory.TryAcquire(reserved) {
		return work.Body{Rest: source, Size: size}, release, nil
	}
	release = func() { cfg.Memory.Release(reserved) }
	buffered, err := io.ReadAll(io.LimitReader(source, int64(reserved)))
	if err != nil {
		return body, release, fmt.Errorf("read body: %w", err)
	}
	if size >= 0 || unit.Bytes(len(buffered)) < reserved {
		return work.Body{Buffered: buffered, Size: unit.Bytes(len(buffered))}, release, nil
	}
	return work.Body{Buffered: buffered, Rest: source, Size: size}, release, nil
}

// timeoutReader sets a deadline for each read, so that a sender that stops
// sending cannot hold the request open indefinitely.
type timeoutReader struct {
	reader  io.Reader
	control *http.ResponseController
	timeout time.Duration
}

func (r *timeoutReader) Read(b []byte) (int, error) {
	if err := r.control.SetReadDeadline(time.Now().Add(r.timeout)); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return 0, err
	}
	n, err := r.reader.Read(b)
	if err != nil {
		r.control.SetReadDeadline(time.Time{})
	}
	return n, err
}
