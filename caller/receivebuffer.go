package caller

import (
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/briarrouter/briarrouter/memory"
	"github.com/briarrouter/briarrouter/socket"
	"github.com/briarrouter/briarrouter/unit"
	"github.com/rs/zerolog"
)

// receiveBuffer reads from a connection in the background, so that a disconnect
// is detected while a request runs, even if the caller has pipelined further
// requests or sends a body that nobody reads yet.
type receiveBuffer struct {
	conn net.Conn
	// memory limits the bytes that the buffers of all connections hold beyond one chunk
	// each.
	memory *memory.Limiter
	// onDisconnect is called once, when receiving has ended.
	onDisconnect func()

	mu sync.Mutex
	// changed is signalled when data or err changes.
	changed *sync.Cond
	// data holds the bytes that were received and not read yet. Receiving stops
	// while it holds receiveBufferSize bytes or more.
	data []byte
	// received and consumed count the bytes that were received and those of them that
	// were read.
	received, consumed int64
	// arrivals holds when the bytes arrived that have not been read and parsed yet,
	// oldest first; at most maxArrivals.
	arrivals []arrival
	// reserved is the memory reserved for data, at least len(data) - receiveChunkSize.
	reserved unit.Bytes
	// err is the reason why no more bytes will be received; nil while more may
	// come.
	err error
	// awaitingRequest is set while the server waits for the first byte of a
	// request.
	awaitingRequest bool
	// closesIdle is set when the connection is to end as soon as it waits for a request of
	// which no byte has arrived. Only the receiving task ends it for that, so that bytes
	// which it is just reading are not lost.
	closesIdle bool
	// deadline is the read deadline. The connection has it unless paused is set.
	deadline time.Time
	// expired is the error of a read during which the deadline has passed; nil again once
	// another deadline is set. Receiving continues then: the request that the deadline was
	// meant for may just have arrived.
	expired error
	// unread counts the bytes that nobody read.
	unread unread
	// paused is set while the buffer is full and the receiving task waits for the end
	// of the connection instead of more bytes.
	paused bool
	// yielded is set when the connection is to end as soon as all received bytes have been
	// read.
	yielded bool
	// bodies counts the bodies that were read from the connection. readsBody is set while
	// the last of them is read, and interrupted once it is not to be read any further.
	bodies                 uint64
	readsBody, interrupted bool
	// waitingSince is since when Read waits, in nanoseconds since 1970; zero if it does not.
	waitingSince atomic.Int64
}

// errYielded is the error of a read on a connection whose slot is needed for another one.
var errYielded = errors.New("caller stands still while others wait")

// yield ends the wait for the caller, now or later.
func (b *receiveBuffer) yield() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.yielded = true
	b.changed.Broadcast()
}

// beginBody returns the number of the body that is read from now on until endBody.
func (b *receiveBuffer) beginBody() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bodies++
	b.readsBody, b.interrupted = true, false
	return b.bodies
}

func (b *receiveBuffer) endBody() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.readsBody, b.interrupted = false, false
}

// interruptBody fails the reads of the body of a number, unless it has ended.
func (b *receiveBuffer) interruptBody(number uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.readsBody && b.bodies == number {
		b.interrupted = true
		b.changed.Broadcast()
	}
}

// waitsSince returns since when Read waits for bytes; false if it does not.
func (b *receiveBuffer) waitsSince() (time.Time, bool) {
	at := b.waitingSince.Load()
	return time.Unix(0, at), at != 0
}

// buffered returns how many bytes were received and not read.
func (b *receiveBuffer) buffered() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.data)
}

// unread counts the bytes of a connection that nobody read.
type unread struct {
	// dropped were received, and discarded by the close of the connection or while the
	// server lingered: pipelined requests, or the rest of a body.
	dropped unit.Bytes
	// notReceived were left in the operating system by the close of the connection,
	// which is then reset: the caller may lose a response that it has not read yet.
	notReceived unit.Bytes
}

func (u unread) MarshalZerologObject(e *zerolog.Event) {
	e.Int64("DroppedBytes", int64(u.dropped)).Int64("NotReceivedBytes", int64(u.notReceived))
}

// arrival is the arrival of bytes at a time.
type arrival struct {
	// end is how many bytes of the connection had arrived then.
	end int64
	at  time.Time
}

const (
	// maxArrivals bounds the arrivals that are kept apart. It suffices for a full buffer
	// unless its bytes arrive in small pieces; a piece beyond it counts as having arrived
	// with the one before.
	maxArrivals = 32
	// receiveBufferSize bounds the bytes of bodies and pipelined requests that are
	// received ahead of reading. The buffer may exceed it by less than
	// receiveChunkSize.
	receiveBufferSize = 64 << 10
	// resumeSize is the size below which a buffer that was full receives again.
	resumeSize = receiveBufferSize / 2
	// receiveChunkSize is the size of a single read; most requests without a body
	// fit.
	receiveChunkSize = 4 << 10
)

func newReceiveBuffer(conn net.Conn, limiter *memory.Limiter, onDisconnect func()) *receiveBuffer {
	b := &receiveBuffer{conn: conn, memory: limiter, onDisconnect: onDisconnect}
	b.changed = sync.NewCond(&b.mu)
	return b
}

// loop receives bytes until the connection ends. It runs as a task of its own beside the
// one that serves the connection's requests. It waits for the connection or, when the
// deadline has passed, for the other task, so it ends when the connection is closed.
func (b *receiveBuffer) loop() {
	chunk := make([]byte, receiveChunkSize)
	for b.awaitSpace() {
		n, err := b.conn.Read(chunk)
		b.store(chunk[:n], err)
	}
	b.onDisconnect()
}

// close closes the connection and ends the wait of all tasks that use the buffer. What
// they answer to a request that was cut off by that must not reach the caller: it may have
// been proper.
func (b *receiveBuffer) close() {
	b.countNotReceived()
	b.conn.Close()
	b.store(nil, net.ErrClosed)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.clear()
}

// countNotReceived counts the bytes that the close leaves in the operating system. Two
// tasks may close the connection, and the later one finds no bytes.
func (b *receiveBuffer) countNotReceived() {
	left := b.notReceived()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.unread.notReceived = max(b.unread.notReceived, left)
}

// notReceived returns how many bytes have arrived that are still with the operating
// system; zero if the connection has been closed.
func (b *receiveBuffer) notReceived() unit.Bytes {
	conn, ok := b.conn.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return 0
	}
	n := 0
	if raw.Control(func(fd uintptr) { n = socket.Unread(int(fd)) }) != nil {
		return 0
	}
	return unit.Bytes(n)
}

// clear discards the received bytes. The caller holds mu.
func (b *receiveBuffer) clear() {
	b.unread.dropped += unit.Bytes(len(b.data))
	b.data = nil
	b.memory.Release(b.reserved)
	b.reserved = 0
}

// timedOut reports whether the deadline has passed while bytes were awaited.
func (b *receiveBuffer) timedOut() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.expired != nil
}

// cause returns why no bytes come, or nil if more may come.
func (b *receiveBuffer) cause() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ended()
}

// unreadCount returns the number of bytes that nobody read, once the connection has been
// closed.
func (b *receiveBuffer) unreadCount() unread {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.unread
}

// ended returns why no bytes come, or nil if more may come. The caller holds mu.
func (b *receiveBuffer) ended() error {
	switch {
	case b.err != nil:
		return b.err
	case b.yielded:
		return errYielded
	default:
		return b.expired
	}
}

// setDeadline sets the time after which reading fails if no bytes arrive; the zero time
// removes it.
func (b *receiveBuffer) setDeadline(t time.Time) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.deadline, b.expired = t, nil
	defer b.changed.Broadcast()
	if b.paused {
		return nil
	}
	return b.conn.SetReadDeadline(t)
}

// awaitSpace waits until the buffer has space and reports whether more bytes may come.
func (b *receiveBuffer) awaitSpace() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for b.err == nil && (b.expired != nil || !b.hasSpace()) {
		if conn, ok := b.conn.(syscall.Conn); ok && b.expired == nil {
			b.awaitSpaceOrEnd(conn)
			continue
		}
		b.changed.Wait()
	}
	return b.err == nil
}

// hasSpace reports whether another chunk may be received, and reserves memory for it.
// The first chunk of each buffer needs no reservation, so that every connection makes
// progress. The caller holds mu.
func (b *receiveBuffer) hasSpace() bool {
	size := receiveBufferSize
	if b.paused {
		size = resumeSize
	}
	switch {
	case len(b.data) >= size:
		return false
	case unit.Bytes(len(b.data)) <= b.reserved:
		return true
	case !b.memory.TryAcquire(receiveChunkSize):
		return false
	}
	b.reserved += receiveChunkSize
	return true
}

// awaitSpaceOrEnd waits until the buffer has space or the connection has ended. Bytes
// that have arrived meanwhile stay with the operating system. The caller holds mu, which
// is released while waiting.
func (b *receiveBuffer) awaitSpaceOrEnd(conn syscall.Conn) {
	raw, err := conn.SyscallConn()
	if err == nil {
		b.paused = true
		err = b.conn.SetReadDeadline(time.Time{})
	}
	ended := false
	if err == nil {
		b.mu.Unlock()
		err = raw.Read(func(fd uintptr) bool {
			b.mu.Lock()
			defer b.mu.Unlock()
			ended = b.err != nil || socket.IsClosedByPeer(int(fd))
			return ended || b.hasSpace()
		})
		b.mu.Lock()
	}
	b.paused = false
	switch {
	case ended:
		err = errDisconnected
	case err == nil, errors.Is(err, os.ErrDeadlineExceeded):
		err = b.conn.SetReadDeadline(b.deadline)
	}
	b.end(err)
	// closeIdle may have been called during the pause.
	b.interruptIdle()
}

var errDisconnected = errors.New("caller has closed the connection")

// end records the first error. The caller holds mu.
func (b *receiveBuffer) end(err error) {
	if err != nil && b.err == nil {
		b.err = err
	}
	b.changed.Broadcast()
}

// resume ends the pause of the receiving task if the buffer has space again. The caller
// holds mu.
func (b *receiveBuffer) resume() {
	if b.paused && b.hasSpace() {
		// The receiving task sets the deadline that is in force when it wakes up.
		b.end(b.conn.SetReadDeadline(time.Unix(1, 0)))
	}
}

// store appends received bytes and records a timeout or the first error.
func (b *receiveBuffer) store(data []byte, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.err != nil {
		b.unread.dropped += unit.Bytes(len(data))
	}
	if b.err == nil && len(data) > 0 {
		b.data = append(b.data, data...)
		b.received += int64(len(data))
		if len(b.arrivals) < maxArrivals {
			b.arrivals = append(b.arrivals, arrival{at: time.Now()})
		}
		b.arrivals[len(b.arrivals)-1].end = b.received
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		switch {
		case !b.deadline.IsZero() && !time.Now().Before(b.deadline):
			b.expired, err = err, nil
		case b.endsIdle() && !socket.HasInput(b.conn):
			err = errStopped
		default:
			// The other task has set another deadline since the read failed, or bytes have
			// arrived just before the connection would have ended.
			err = b.conn.SetReadDeadline(b.deadline)
		}
	}
	b.end(err)
}

// arrivedAt returns when the last byte arrived that was read and, of those, is not among
// the given number of unparsed ones.
func (b *receiveBuffer) arrivedAt(unparsed int) time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	last := b.consumed - int64(unparsed)
	for _, a := range b.arrivals {
		if a.end >= last {
			return a.at
		}
	}
	return time.Now()
}

// Read returns buffered bytes and blocks while there are none.
func (b *receiveBuffer) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.interrupted {
		return 0, errInterrupted
	}
	if len(b.data) == 0 {
		b.waitingSince.Store(time.Now().UnixNano())
		defer b.waitingSince.Store(0)
	}
	for len(b.data) == 0 {
		if err := b.ended(); err != nil {
			return 0, err
		}
		b.changed.Wait()
		if b.interrupted {
			return 0, errInterrupted
		}
	}
	n := copy(p, b.data)
	b.data = b.data[n:]
	b.consumed += int64(n)
	b.forgetArrivals()
	if len(b.data) == 0 {
		b.clear()
	}
	b.resume()
	b.changed.Broadcast()
	return n, nil
}

// forgetArrivals forgets the arrivals of bytes that have left the reader of the
// connection too. The caller holds mu.
func (b *receiveBuffer) forgetArrivals() {
	parsed := 0
	for parsed < len(b.arrivals) && b.arrivals[parsed].end <= b.consumed-readBufferSize {
		parsed++
	}
	b.arrivals = b.arrivals[parsed:]
}

// discardUntilClosed discards received bytes until the connection ends or its
// read deadline passes.
func (b *receiveBuffer) discardUntilClosed() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for b.ended() == nil {
		b.clear()
		b.resume()
		b.changed.Broadcast()
		b.changed.Wait()
	}
}
