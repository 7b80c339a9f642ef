// Package socket tells what the operating system knows of a TCP connection or listener,
// and bounds what it holds for one.
package socket

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/briarrouter/briarrouter/id"
	"github.com/briarrouter/briarrouter/unit"
	"golang.org/x/sys/unix"
)

// Buffers bounds the bytes that the operating system holds for one connection. Zero leaves
// a size to the operating system.
type Buffers struct {
	// Receive is for bytes that have arrived and not been read.
	Receive unit.Bytes
	// Send is for bytes that have been written and not been taken by the other side.
	Send unit.Bytes
}

// Listen listens on an address. Its connections have the buffers from the start, so that
// they also bound what arrives before a connection is accepted. A negative keepAlive
// disables keep-alive probes, zero stands for the default.
func Listen(address id.Address, buffers Buffers, keepAlive time.Duration) (net.Listener, error) {
	cfg := net.ListenConfig{KeepAlive: keepAlive, Control: buffers.Control}
	return cfg.Listen(context.Background(), "tcp", string(address))
}

// Control sets the buffers of a socket before it is used; see net.Dialer and
// net.ListenConfig. Without them the operating system chooses, so an error is not reported.
func (b Buffers) Control(_, _ string, conn syscall.RawConn) error {
	return conn.Control(func(fd uintptr) {
		setBuffer(int(fd), unix.SO_RCVBUF, b.Receive)
		setBuffer(int(fd), unix.SO_SNDBUF, b.Send)
	})
}

func setBuffer(fd, option int, size unit.Bytes) {
	if size > 0 {
		_ = unix.SetsockoptInt(fd, unix.SOL_SOCKET, option, int(size))
	}
}

// SetReceiveBuffer changes how many bytes the operating system may hold of those that have
// arrived on a connection.
func SetReceiveBuffer(conn net.Conn, size unit.Bytes) {
	if tcp, ok := conn.(interface{ SetReadBuffer(bytes int) error }); ok {
		_ = tcp.SetReadBuffer(int(size))
	}
}

// Unread returns how many bytes a socket has received that have not been read.
func Unread(fd int) int {
	n, err := unix.IoctlGetInt(fd, unix.SIOCINQ)
	if err != nil {
		return 0
	}
	return n
}

// IsClosedByPeer reports whether the peer of a socket has closed the connection, or its
// sending side, or has reset it. Unlike a read, it sees that behind bytes that have not
// been read yet.
func IsClosedByPeer(fd int) bool {
	return poll(fd, unix.POLLRDHUP)&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}

// IsReadable reports whether a read from a socket, or an accept of a listening one, would
// not wait.
func IsReadable(fd int) bool { return poll(fd, unix.POLLIN) != 0 }

// HasInput reports whether a connection has bytes or its end to be read, or a listener a
// connection to be accepted. It is false for other kinds than those of the operating
// system.
func HasInput(v any) bool {
	conn, ok := v.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	readable := false
	err = raw.Control(func(fd uintptr) { readable = IsReadable(int(fd)) })
	return err == nil && readable
}

// poll returns which of the events, and of those that end a connection, a socket shows.
func poll(fd int, events int16) int16 {
	for {
		fds := []unix.PollFd{{Fd: int32(fd), Events: events}}
		_, err := unix.Poll(fds, 0)
		switch {
		case errors.Is(err, unix.EINTR):
			continue
		case err != nil:
			return 0
		}
		return fds[0].Revents
	}
}
