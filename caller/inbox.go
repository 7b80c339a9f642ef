package caller

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
)

// inbox reads what a caller sends as it comes, so that the end of the
// connection is seen while a request runs, even if the caller has already sent
// further requests.
type inbox struct {
	conn net.Conn
	// gone is called once, when the caller has ended the connection.
	gone func()

	mu sync.Mutex
	// changed is signalled when data, err or closed change.
	changed *sync.Cond
	// data holds what came and was not read yet; at most inboxSize.
	data []byte
	// err is why nothing more comes; nil while more may come.
	err error
	// waiting tells that the reader waits for the first byte of a request.
	waiting bool
}

// inboxSize bounds what is held of requests that were sent ahead.
const inboxSize = 64 << 10

// inboxChunk is how much is read from a connection at once: most requests
// without a body fit.
const inboxChunk = 4 << 10

func newInbox(c net.Conn, gone func()) *inbox {
	b := &inbox{conn: c, gone: gone}
	b.changed = sync.NewCond(&b.mu)
	return b
}

func (b *inbox) loop() {
	chunk := make([]byte, inboxChunk)
	for b.awaitRoom() {
		n, err := b.conn.Read(chunk)
		if b.put(chunk[:n], err) {
			continue
		}
		if !b.timedOut() {
			b.gone()
		}
		return
	}
}

// timedOut tells whether the caller was given up for sending nothing in time.
func (b *inbox) timedOut() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return errors.Is(b.err, os.ErrDeadlineExceeded)
}

// awaitRoom waits until there is room, and tells whether more may come.
func (b *inbox) awaitRoom() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for len(b.data) >= inboxSize && b.err == nil {
		b.changed.Wait()
	}
	return b.err == nil
}

func (b *inbox) put(data []byte, err error) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.data = append(b.data, data...)
	if err != nil && b.err == nil {
		b.err = err
	}
	b.changed.Broadcast()
	return b.err == nil
}

// Read returns what came, and waits for it where nothing has.
func (b *inbox) Read(p []byte) (int, error) {
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

var errStopped = errors.New("daemon stops")

// awaitFirst waits for the first byte of a request, or for the end.
func (b *inbox) awaitFirst() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waiting = true
	defer func() { b.waiting = false }()
	for len(b.data) == 0 {
		if b.err != nil {
			return b.err
		}
		b.changed.Wait()
	}
	return nil
}

// stopIdle ends the connection if no byte of a request has come. It reports
// whether it did.
func (b *inbox) stopIdle() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.waiting || len(b.data) > 0 {
		return false
	}
	if b.err == nil {
		b.err = errStopped
	}
	b.changed.Broadcast()
	return true
}

// awaitEnd throws away what comes until the other side ends the connection.
func (b *inbox) awaitEnd() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for b.err == nil {
		b.data = nil
		b.changed.Broadcast()
		b.changed.Wait()
	}
}

// headReader reads from an inbox and bounds the size of a request's head.
type headReader struct {
	inbox *inbox
	// left is how much of a head may still come; negative while no head is read.
	left int
}

var errHeadTooLarge = errors.New("head of the request is too large")

func (h *headReader) Read(p []byte) (int, error) {
	if h.left == 0 {
		return 0, errHeadTooLarge
	}
	if h.left > 0 && len(p) > h.left {
		p = p[:h.left]
	}
	n, err := h.inbox.Read(p)
	if h.left > 0 {
		h.left -= n
	}
	return n, err
}

// endReader notes that a body was read to its end.
type endReader struct {
	io.Reader
	ended bool
}

func (e *endReader) Read(p []byte) (int, error) {
	n, err := e.Reader.Read(p)
	if err == io.EOF {
		e.ended = true
	}
	return n, err
}
