package caller

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
)

// receiveBuffer reads from a connection in the background, so that a disconnect
// is detected while a request runs, even if the caller has pipelined further
// requests.
type receiveBuffer struct {
	conn net.Conn
	// onDisconnect is called at most once, when receiving has ended for a
	// reason other than a read timeout.
	onDisconnect func()

	mu sync.Mutex
	// changed is signalled when data or err changes.
	changed *sync.Cond
	// data holds the bytes that were received and not read yet. Receiving stops
	// while it holds receiveBufferSize bytes or more.
	data []byte
	// err is the reason why no more bytes will be received; nil while more may
	// come.
	err error
	// awaitingRequest is set while the server waits for the first byte of a
	// request.
	awaitingRequest bool
}

// receiveBufferSize bounds the bytes of bodies and pipelined requests that are
// received ahead of reading. The buffer may exceed it by less than
// receiveChunkSize.
const receiveBufferSize = 64 << 10

// receiveChunkSize is the size of a single read; most requests without a body
// fit.
const receiveChunkSize = 4 << 10

func newReceiveBuffer(conn net.Conn, onDisconnect func()) *receiveBuffer {
	b := &receiveBuffer{conn: conn, onDisconnect: onDisconnect}
	b.changed = sync.NewCond(&b.mu)
	return b
}

// loop receives bytes until the connection ends or a read times out. It runs as
// a task of its own beside the one that serves the connection's requests.
func (b *receiveBuffer) loop() {
	chunk := make([]byte, receiveChunkSize)
	for b.awaitSpace() {
		n, err := b.conn.Read(chunk)
		if b.store(chunk[:n], err) {
			continue
		}
		if !b.timedOut() {
			b.onDisconnect()
		}
		return
	}
}

// timedOut reports whether receiving ended because of a read timeout.
func (b *receiveBuffer) timedOut() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return errors.Is(b.err, os.ErrDeadlineExceeded)
}

// awaitSpace waits until the buffer has space and reports whether more bytes
// may come.
func (b *receiveBuffer) awaitSpace() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for len(b.data) >= receiveBufferSize && b.err == nil {
		b.changed.Wait()
	}
	return b.err == nil
}

// store appends received bytes and records the first error. It reports whether
// more bytes may come.
func (b *receiveBuffer) store(data []byte, err error) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.data = append(b.data, data...)
	if err != nil && b.err == nil {
		b.err = err
	}
	b.changed.Broadcast()
	return b.err == nil
}

// Read returns buffered bytes and blocks while there are none.
func (b *receiveBuffer) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for len(b.data) == 0 {
		if b.err != nil {
			return 0, b.err
		}
		b.changed.Wait()
	}
	n := copy(p, b.data)
	b.data = b.data[n:]
	if len(b.data) == 0 {
		b.data = nil
	}
	b.changed.Broadcast()
	return n, nil
}

var errStopped = errors.New("daemon is stopping")

// awaitFirstByte waits for the first byte of a request or the end of the
// connection.
func (b *receiveBuffer) awaitFirstByte() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.awaitingRequest = true
	defer func() { b.awaitingRequest = false }()
	for len(b.data) == 0 {
		if b.err != nil {
			return b.err
		}
		b.changed.Wait()
	}
	return nil
}

// closeIdle ends the connection if it is waiting for a request and no byte has
// arrived. It reports whether it did.
func (b *receiveBuffer) closeIdle() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.awaitingRequest || len(b.data) > 0 {
		return false
	}
	if b.err == nil {
		b.err = errStopped
	}
	b.changed.Broadcast()
	return true
}

// discardUntilClosed discards received bytes until the connection ends or its
// read deadline passes.
func (b *receiveBuffer) discardUntilClosed() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for b.err == nil {
		b.data = nil
		b.changed.Broadcast()
		b.changed.Wait()
	}
}

// headerReader limits the size of a request's header section.
type headerReader struct {
	input *receiveBuffer
	// remaining is the number of bytes that the header section may still have;
	// negative while no header section is being read.
	remaining int
}

var errHeaderTooLarge = errors.New("head of the request is too large")

func (h *headerReader) Read(p []byte) (int, error) {
	if h.remaining == 0 {
		return 0, errHeaderTooLarge
	}
	if h.remaining > 0 && len(p) > h.remaining {
		p = p[:h.remaining]
	}
	n, err := h.input.Read(p)
	if h.remaining > 0 {
		h.remaining -= n
	}
	return n, err
}

// eofReader records whether a body was read to its end.
type eofReader struct {
	io.Reader
	atEOF bool
}

func (e *eofReader) Read(p []byte) (int, error) {
	n, err := e.Reader.Read(p)
	if err == io.EOF {
		e.atEOF = true
	}
	return n, err
}
