package message

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
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
	// Deadline bounds the time in which a body that is buffered must arrive; zero for no
	// bound.
	Deadline time.Time
}

// ErrTooLarge is returned for a body that is declared to be larger than the
// limit. A body of unknown size fails with *http.MaxBytesError when reading
// passes the limit.
var ErrTooLarge = errors.New("request body is too large")

// ReadBody reads the body of a request; see BufferBody. release is never nil.
func ReadBody(w http.ResponseWriter, r *http.Request, cfg BodyConfig) (body work.Body, release func(), err error) {
	if r.ContentLength > int64(cfg.Limit) {
		return body, func() {}, ErrTooLarge
	}
	if r.ContentLength == 0 || r.Body == http.NoBody {
		return work.Body{}, func() {}, nil
	}
	source := &timeoutReader{
		reader:   http.MaxBytesReader(w, r.Body, int64(cfg.Limit)),
		control:  http.NewResponseController(w),
		timeout:  cfg.ReadTimeout,
		deadline: cfg.Deadline,
	}
	body, releaseMemory, err := BufferBody(source, unit.Bytes(r.ContentLength), BufferConfig{Limit: min(cfg.Buffer, cfg.Limit), Memory: cfg.Memory})
	release = func() {
		source.end()
		releaseMemory()
	}
	if err != nil {
		return body, release, fmt.Errorf("read body: %w", err)
	}
	source.deadline = time.Time{}
	return body, release, nil
}

// timeoutReader sets a deadline for each read, so that a sender that stops
// sending cannot hold the request open indefinitely.
type timeoutReader struct {
	reader  io.Reader
	control *http.ResponseController
	timeout time.Duration
	// deadline bounds all reads; zero for no bound.
	deadline    time.Time
	interrupted atomic.Bool

	mu sync.Mutex
	// ended is set once the request has ended, and the deadline is no longer the body's.
	ended bool
	// waitingSince is since when a Read waits, in nanoseconds since 1970; zero if none does.
	waitingSince atomic.Int64
}

var errInterrupted = errors.New("request body is no longer read")

func (r *timeoutReader) Read(b []byte) (int, error) {
	now := time.Now()
	end := now.Add(r.timeout)
	if !r.deadline.IsZero() && r.deadline.Before(end) {
		end = r.deadline
	}
	if err := r.setDeadline(end); err != nil {
		return 0, err
	}
	if r.interrupted.Load() {
		return 0, errInterrupted
	}
	r.waitingSince.Store(now.UnixNano())
	n, err := r.reader.Read(b)
	r.waitingSince.Store(0)
	if err != nil {
		// net/http goes on to wait for the end of the connection.
		_ = r.setDeadline(time.Time{})
	}
	return n, err
}

func (r *timeoutReader) setDeadline(t time.Time) error {
	if err := r.control.SetReadDeadline(t); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return err
	}
	return nil
}

// end marks the end of the request.
func (r *timeoutReader) end() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended = true
}

// Interrupt ends a Read in progress, and fails later ones. It has no effect after the
// request has ended.
func (r *timeoutReader) Interrupt() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended {
		return
	}
	r.interrupted.Store(true)
	// A Read that has not begun sees that it is interrupted.
	_ = r.setDeadline(time.Unix(1, 0))
}

// WaitingSince returns since when a Read waits for the sender; false if none does.
func (r *timeoutReader) WaitingSince() (time.Time, bool) {
	at := r.waitingSince.Load()
	return time.Unix(0, at), at != 0
}
