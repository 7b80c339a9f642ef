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

// BodyConfig bounds the reading of a body.
type BodyConfig struct {
	// Limit is the largest body that is accepted.
	Limit unit.Bytes
	// Buffer is the largest body that is held whole.
	Buffer unit.Bytes
	// Memory counts what is held.
	Memory *memory.Gate
	// Pause is how long the sender may pause.
	Pause time.Duration
}

// ErrTooLarge means that a body is longer than the limit.
var ErrTooLarge = errors.New("body is too large")

// ReadBody takes the body of a request: whole if it is small and there is
// memory, else as a stream. Call release when the request has ended.
func ReadBody(w http.ResponseWriter, r *http.Request, cfg BodyConfig) (body work.Body, release func(), err error) {
	release = func() {}
	if r.ContentLength > int64(cfg.Limit) {
		return body, release, ErrTooLarge
	}
	if r.ContentLength == 0 || r.Body == http.NoBody {
		return work.Body{}, release, nil
	}
	source := &paced{
		reader:  http.MaxBytesReader(w, r.Body, int64(cfg.Limit)),
		control: http.NewResponseController(w),
		pause:   cfg.Pause,
	}
	size := unit.Bytes(r.ContentLength)
	take := min(cfg.Buffer, cfg.Limit)
	if size >= 0 {
		take = size
	}
	if size > cfg.Buffer || !cfg.Memory.TryTake(take) {
		return work.Body{Rest: source, Size: size}, release, nil
	}
	release = func() { cfg.Memory.Release(take) }
	held, err := io.ReadAll(io.LimitReader(source, int64(take)))
	if err != nil {
		return body, release, fmt.Errorf("read body: %w", err)
	}
	if size >= 0 || unit.Bytes(len(held)) < take {
		return work.Body{Held: held, Size: unit.Bytes(len(held))}, release, nil
	}
	return work.Body{Held: held, Rest: source, Size: size}, release, nil
}

// paced reads from a sender that may pause only for a while.
type paced struct {
	reader  io.Reader
	control *http.ResponseController
	pause   time.Duration
}

func (p *paced) Read(b []byte) (int, error) {
	if err := p.control.SetReadDeadline(time.Now().Add(p.pause)); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return 0, err
	}
	n, err := p.reader.Read(b)
	if err != nil {
		p.control.SetReadDeadline(time.Time{})
	}
	return n, err
}
