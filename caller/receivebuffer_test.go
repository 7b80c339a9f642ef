package caller

import (
	"io"
	"net"
	"testing"

	"github.com/briarrouter/briarrouter/memory"
	"github.com/briarrouter/briarrouter/socket"
	"github.com/stretchr/testify/require"
)

// TestBytesInSocketAreUnread guards against a stop that drops a pipelined request because
// the receiving task has not received it yet.
func TestBytesInSocketAreUnread(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	sender, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	defer sender.Close()
	receiver, err := listener.Accept()
	require.NoError(t, err)
	defer receiver.Close()
	b := newReceiveBuffer(receiver, memory.New(receiveBufferSize), func() {})
	require.False(t, b.hasUnread())
	_, err = io.WriteString(sender, "GET ")
	require.NoError(t, err)
	raw, err := receiver.(*net.TCPConn).SyscallConn()
	require.NoError(t, err)
	require.NoError(t, raw.Read(func(fd uintptr) bool { return socket.IsReadable(int(fd)) }))
	require.True(t, b.hasUnread())
}
