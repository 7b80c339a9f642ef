package caller

import (
	"errors"

	"golang.org/x/sys/unix"
)

// unreadBytes returns how many bytes a socket has received that have not been read.
func unreadBytes(fd int) int {
	n, err := unix.IoctlGetInt(fd, unix.SIOCINQ)
	if err != nil {
		return 0
	}
	return n
}

// isClosedByPeer reports whether the peer of a socket has closed the connection, or its
// sending side, or has reset it. Unlike a read, it sees that behind bytes that have not
// been read yet.
func isClosedByPeer(fd int) bool {
	return poll(fd, unix.POLLRDHUP)&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}

// isReadable reports whether a read from a socket would not wait.
func isReadable(fd int) bool { return poll(fd, unix.POLLIN) != 0 }

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
