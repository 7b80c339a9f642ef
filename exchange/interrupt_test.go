package exchange

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/briarrouter/briarrouter/memory"
	"github.com/briarrouter/briarrouter/outcome"
	"github.com/briarrouter/briarrouter/work"
	"github.com/stretchr/testify/require"
)

// stillBody is a body of which nothing arrives until it is interrupted.
type stillBody struct {
	once sync.Once
	done chan struct{}
}

func (b *stillBody) Read([]byte) (int, error) {
	<-b.done
	return 0, errors.New("interrupted")
}

func (b *stillBody) Interrupt() { b.once.Do(func() { close(b.done) }) }

// TestBodiesThatStandStill guards against exchanges that last until their caller has sent
// the rest of a body, although the deadline has passed or the target has responded.
func TestBodiesThatStandStill(t *testing.T) {
	for _, c := range []struct {
		name, response string
		after          time.Duration
		ending         outcome.Ending
	}{
		{"deadline", "", 5 * time.Second, outcome.BodyFailed},
		{"response before the end of the body", "HTTP/1.1 413 x\r\nContent-Length: 0\r\n\r\n", writeGrace, outcome.Answered},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				client, server := net.Pipe()
				defer server.Close()
				go io.Copy(io.Discard, server)
				go io.WriteString(server, c.response)
				p := New(Config{
					Connections: 1, DialTimeout: time.Second, HeaderLimit: 1 << 10, Memory: memory.New(1 << 10),
					Dial: func(context.Context, string, string) (net.Conn, error) { return client, nil },
				})
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
				defer cancel()
				started := time.Now()
				reply := p.Do(ctx, Call{Method: "POST", URI: "/", Host: "h", Body: work.Body{Rest: &stillBody{done: make(chan struct{})}, Size: 10}})
				require.Equal(t, c.ending, reply.Ending, "%v", reply.Err)
				require.Equal(t, c.after, time.Since(started))
			})
		})
	}
}
