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
	for {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		_, err := unix.Poll(fds, 0)
		if errors.Is(err, unix.EINTR) {
			continue
		}
		return err == nil && fds[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	}
}
