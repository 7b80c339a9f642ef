package exchange

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/briarrouter/briarrouter/memory"
	"github.com/briarrouter/briarrouter/outcome"
	"github.com/stretchr/testify/require"
)

// socketPair returns two connected sockets. What one end does is seen at the other at
// once.
func socketPair(t *testing.T) (net.Conn, net.Conn) {
	fds, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM, 0)
	require.NoError(t, err)
	var ends [2]net.Conn
	for i, fd := range fds {
		file := os.NewFile(uintptr(fd), "socket")
		ends[i], err = net.FileConn(file)
		require.NoError(t, err)
		require.NoError(t, file.Close())
	}
	return ends[0], ends[1]
}

const idleResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// TestIdleConnectionChecked guards against requests that are sent on an idle connection
// that the server has closed, or on which it has sent a further response.
func TestIdleConnectionChecked(t *testing.T) {
	for name, disturb := range map[string]func(net.Conn){
		"closed":          func(server net.Conn) { server.Close() },
		"second response": func(server net.Conn) { io.WriteString(server, idleResponse) },
	} {
		t.Run(name, func(t *testing.T) {
			var servers []net.Conn
			pool := New(Config{
				Address: "server", Connections: 2, DialTimeout: time.Second, IdleLimit: time.Hour, HeaderLimit: 200, ResponseBuffer: 20, Memory: memory.New(64),
				Dial: func(context.Context, string, string) (net.Conn, error) {
					client, server := socketPair(t)
					servers = append(servers, server)
					go func() {
						reader := bufio.NewReader(server)
						for {
							if _, err := http.ReadRequest(reader); err != nil {
								return
							}
							io.WriteString(server, idleResponse)
						}
					}()
					return client, nil
				},
			})
			defer pool.Close()
			do := func() outcome.Ending {
				reply := pool.Do(t.Context(), Call{Method: http.MethodPost, URI: "/", Host: "server", MaxIdle: time.Hour})
				reply.Release()
				return reply.Ending
			}
			require.Equal(t, outcome.Answered, do())
			require.Equal(t, outcome.Answered, do())
			require.Len(t, servers, 1, "the connection is used again")
			disturb(servers[0])
			require.Equal(t, outcome.Answered, do())
			require.Len(t, servers, 2, "the disturbed connection is given up")
		})
	}
}
