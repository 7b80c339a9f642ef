package message

import (
	"io"

	"github.com/briarrouter/briarrouter/memory"
	"github.com/briarrouter/briarrouter/unit"
	"github.com/briarrouter/briarrouter/work"
)

// BufferConfig says how much of a body is buffered.
type BufferConfig struct {
	// Limit is the size of the largest body that is buffered whole.
	Limit  unit.Bytes
	Memory *memory.Limiter
	// OnRefusal is called when no memory is available for a buffer; nil for nothing.
	OnRefusal func()
	// OnBuffer is called when a size is reserved for the buffer, or when the body is streamed
	// (-1); nil for nothing.
	OnBuffer func(unit.Bytes)
}

// firstBuffer is the size of the first buffer of a body whose size is not known. It doubles
// up to BufferConfig.Limit.
const firstBuffer = 4 * unit.KiB

// BufferBody buffers the whole body if it is small and memory is available, and streams it
// otherwise. If a body of unknown size (-1) is too large for the buffer, its start is
// buffered and the rest is streamed. release returns the reserved memory and must be
// called when the request has ended, also after an error.
func BufferBody(source io.Reader, size unit.Bytes, cfg BufferConfig) (body work.Body, release func(), err error) {
	b := &bodyBuffer{cfg: cfg, source: source}
	if size >= 0 {
		body, err = b.readSized(size)
	} else {
		body, err = b.readUnsized()
	}
	return body, b.release, err
}

// bodyBuffer is the memory that is reserved for one body.
type bodyBuffer struct {
	cfg    BufferConfig
	source io.Reader
	// buffered is what is reserved for the buffer.
	buffered unit.Bytes
}

func (b *bodyBuffer) readSized(size unit.Bytes) (work.Body, error) {
	if size > b.cfg.Limit || !b.resize(size) {
		return b.stream(nil, size), nil
	}
	b.reserved(size)
	buffered := make([]byte, size)
	if _, err := io.ReadFull(b.source, buffered); err != nil {
		return work.Body{}, err
	}
	return work.Body{Buffered: buffered, Size: size}, nil
}

func (b *bodyBuffer) readUnsized() (work.Body, error) {
	var buffered []byte
	for {
		if len(buffered) == cap(buffered) {
			used := unit.Bytes(len(buffered))
			size := min(max(2*used, firstBuffer), b.cfg.Limit)
			if size <= used || !b.resize(used+size) {
				return b.stream(buffered, -1), nil
			}
			buffered = append(make([]byte, 0, size), buffered...)
			b.resize(size)
			b.reserved(size)
		}
		n, err := b.source.Read(buffered[len(buffered):cap(buffered)])
		buffered = buffered[:len(buffered)+n]
		switch {
		case err == io.EOF:
			return work.Body{Buffered: buffered, Size: unit.Bytes(len(buffered))}, nil
		case err != nil:
			return work.Body{}, err
		}
	}
}

// stream leaves the rest of the body to be read while the request is sent.
func (b *bodyBuffer) stream(buffered []byte, size unit.Bytes) work.Body {
	b.reserved(-1)
	return work.Body{Buffered: buffered, Rest: b.source, Size: size}
}

// resize changes the size of the buffer and reports whether the limit allowed it.
func (b *bodyBuffer) resize(size unit.Bytes) bool {
	if size > b.buffered && !b.cfg.Memory.TryAcquireBody(size-b.buffered) {
		if b.cfg.OnRefusal != nil {
			b.cfg.OnRefusal()
		}
		return false
	}
	if size < b.buffered {
		b.cfg.Memory.ReleaseBody(b.buffered - size)
	}
	b.buffered = size
	return true
}

func (b *bodyBuffer) reserved(size unit.Bytes) {
	if b.cfg.OnBuffer != nil {
		b.cfg.OnBuffer(size)
	}
}

func (b *bodyBuffer) release() {
	b.cfg.Memory.ReleaseBody(b.buffered)
	b.buffered = 0
}
