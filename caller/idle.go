package caller

import (
	"errors"
	"time"

	"github.com/briarrouter/briarrouter/socket"
)

var errStopped = errors.New("daemon is stopping")

// awaitFirstByte waits for the first byte of a request or the end of the
// connection.
func (b *receiveBuffer) awaitFirstByte() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.awaitingRequest = true
	defer func() { b.awaitingRequest = false }()
	b.interruptIdle()
	for len(b.data) == 0 {
		if err := b.ended(); err != nil {
			return err
		}
		b.changed.Wait()
	}
	return nil
}

// closeIdle ends the connection if it is waiting for a request and no byte has arrived,
// now or later.
func (b *receiveBuffer) closeIdle() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closesIdle = true
	b.interruptIdle()
}

// endsIdle reports whether the connection is to end unless bytes have arrived. The caller
// holds mu.
func (b *receiveBuffer) endsIdle() bool {
	return b.closesIdle && b.awaitingRequest && len(b.data) == 0
}

// interruptIdle wakes the receiving task if the connection is to end. The caller holds mu.
func (b *receiveBuffer) interruptIdle() {
	if b.endsIdle() {
		b.end(b.conn.SetReadDeadline(time.Unix(1, 0)))
	}
}

// hasUnread reports whether bytes, or the end of the connection, have arrived that were
// not read.
func (b *receiveBuffer) hasUnread() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.data) > 0 || socket.HasInput(b.conn)
}
