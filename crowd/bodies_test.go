package crowd

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/briarrouter/briarrouter/id"
	"github.com/briarrouter/briarrouter/unit"
	"github.com/stretchr/testify/require"
)

// sender sends the body of a request of a size on a connection, with the fields of the
// header section that state its length and the end of that section.
type sender func(conn net.Conn, size int)

// body is a way in which the clients of a crowd send a body.
type body struct {
	name string
	size int
	send sender
}

// bodies holds such ways. Those that do not send all of a body stop before its last byte.
var bodies = []body{
	{"whole", 256 << 10, whole},
	{"whole in chunks", 256 << 10, wholeInChunks},
	{"60 KB but for a byte", 60 << 10, allButOneByte},
	{"256 KB but for a byte", 256 << 10, allButOneByte},
	{"1 MB but for a byte", 1 << 20, allButOneByte},
	{"256 KB in pieces but for a byte", 256 << 10, piecesButOneByte},
	{"1 MB in chunks but for a byte", 1 << 20, chunksButOneByte},
	{"40 KB in chunks of a byte but for a byte", 40 << 10, tinyChunksButOneByte},
	{"256 KB in pieces that are chunks but for a byte", 256 << 10, piecesOfChunksButOneByte},
	{"nothing", 1 << 20, func(conn net.Conn, size int) { fmt.Fprintf(conn, "Content-Length: %d\r\n\r\n", size) }},
}

const (
	pieceSize     = 4 << 10
	pieceInterval = 20 * time.Millisecond
)

func filler(size int) []byte { return bytes.Repeat([]byte("x"), size) }

func whole(conn net.Conn, size int) {
	fmt.Fprintf(conn, "Content-Length: %d\r\n\r\n%s", size, filler(size))
}

func wholeInChunks(conn net.Conn, size int) {
	io.WriteString(conn, "Transfer-Encoding: chunked\r\n\r\n")
	for range size / pieceSize {
		fmt.Fprintf(conn, "%x\r\n%s\r\n", pieceSize, filler(pieceSize))
	}
	io.WriteString(conn, "0\r\n\r\n")
}

func allButOneByte(conn net.Conn, size int) {
	fmt.Fprintf(conn, "Content-Length: %d\r\n\r\n%s", size, filler(size-1))
}

func piecesButOneByte(conn net.Conn, size int) {
	fmt.Fprintf(conn, "Content-Length: %d\r\n\r\n", size)
	for sent := 0; sent < size-pieceSize; sent += pieceSize {
		if _, err := conn.Write(filler(pieceSize)); err != nil {
			return
		}
		time.Sleep(pieceInterval)
	}
	conn.Write(filler(pieceSize - 1))
}

func chunksButOneByte(conn net.Conn, size int) {
	fmt.Fprintf(conn, "Transfer-Encoding: chunked\r\n\r\n%x\r\n%s", size, filler(size-1))
}

func tinyChunksButOneByte(conn net.Conn, size int) {
	fmt.Fprintf(conn, "Transfer-Encoding: chunked\r\n\r\n%s1\r\n", strings.Repeat("1\r\nx\r\n", size-1))
}

func piecesOfChunksButOneByte(conn net.Conn, size int) {
	io.WriteString(conn, "Transfer-Encoding: chunked\r\n\r\n")
	for sent := 0; sent < size; sent += pieceSize {
		if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", pieceSize, filler(pieceSize)); err != nil {
			return
		}
		time.Sleep(pieceInterval)
	}
	io.WriteString(conn, "1\r\n")
}

// hold sends a request and holds its connection until the daemon closes it or some seconds
// have passed. The header section begins with head.
func hold(address id.Address, head []byte, size int, send sender) {
	conn, err := net.DialTimeout("tcp", string(address), crowdTime)
	if err != nil {
		return
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(crowdTime))
	conn.Write(head)
	send(conn, size)
	io.Copy(io.Discard, conn)
}

// postHead returns the start of a POST request up to the fields that state the length of
// its body.
func postHead(path string) []byte {
	return fmt.Appendf(nil, "POST %s HTTP/1.1\r\nHost: %s\r\nBriarrouter-Attempt-Id: c-%d\r\n", path, hostName, rand.Int64())
}

// relayHead is postHead at the address for peers.
func relayHead(path string) []byte {
	return append(postHead("/relay"+path), fmt.Sprintf("Briarrouter-Request: c-%d\r\nBriarrouter-Deadline-Ms: 20000\r\nBriarrouter-Hops: 1\r\nBriarrouter-Purpose: dispatcher\r\n", rand.Int64())...)
}

// TestBodies guards against bodies of legal size that together take more than the memory
// of the host, where they are buffered for a retry and where they are streamed, and with
// targets that read slowly or not at all.
func TestBodies(t *testing.T) {
	const streamed = 16 * unit.KiB
	for _, c := range []struct {
		name, path string
		cfg        config
		bodies     []body
	}{
		{"buffered", "/work/", config{}, bodies},
		{"streamed", "/work/", config{bodyBuffer: streamed}, bodies},
		{"to a target that does not read", "/unread/", config{bodyBuffer: streamed}, bodies[:2]},
		{"to a target that reads slowly", "/slow/", config{bodyBuffer: streamed}, bodies[:2]},
	} {
		for _, b := range c.bodies {
			t.Run(c.name+"/"+b.name, func(t *testing.T) {
				d := startDaemon(t, c.cfg)
				run(func(int) { hold(d.callers, postHead(c.path), b.size, b.send) })
				d.requireWithinLimits()
			})
		}
	}
}

// TestBodiesOfPeers guards against the same at the address for peers, which callers may
// reach too.
func TestBodiesOfPeers(t *testing.T) {
	for _, b := range bodies {
		t.Run(b.name, func(t *testing.T) {
			d := startDaemon(t, config{})
			run(func(int) { hold(d.peers, relayHead("/work/"), b.size, b.send) })
			d.requireWithinLimits()
		})
	}
}

// TestBodyLines guards against chunk extensions and trailers that are kept while the body
// stands still within them.
func TestBodyLines(t *testing.T) {
	for _, c := range []struct {
		name string
		send sender
	}{
		{"chunk extension without an end", func(conn net.Conn, size int) {
			fmt.Fprintf(conn, "Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n5%s", size, filler(size), strings.Repeat(";a=b", 1000))
		}},
		{"chunk extensions", func(conn net.Conn, size int) {
			io.WriteString(conn, "Transfer-Encoding: chunked\r\n\r\n")
			for range size / 16 {
				fmt.Fprintf(conn, "1;%s\r\nx\r\n", strings.Repeat("a", 15))
			}
		}},
		{"trailers without an end", func(conn net.Conn, size int) {
			fmt.Fprintf(conn, "Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n%s", size, filler(size), bytes.TrimSuffix(trailers(3500), []byte("\r\n")))
		}},
		{"one long trailer", func(conn net.Conn, size int) {
			fmt.Fprintf(conn, "Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\na: %s", size, filler(size), filler(64<<10))
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := startDaemon(t, config{})
			run(func(int) { hold(d.callers, postHead("/work/"), 64<<10, c.send) })
			d.requireWithinLimits()
		})
	}
}

// TestHeadsAndBodies guards against header sections and bodies that keep their limits each
// but not together, with clients that read no response among them.
func TestHeadsAndBodies(t *testing.T) {
	d := startDaemon(t, config{})
	end := time.Now().Add(crowdTime)
	run(func(i int) {
		switch i % 4 {
		case 0:
			exchange(d.callers, sectionOf(i, func(i int) string { return shortName(i) + ":\r\n" }))
		case 1:
			for time.Now().Before(end) {
				pipeline(d, i, end)
			}
		case 2:
			head := postHead("/work/")
			for n := 0; len(head) < sectionSize; n++ {
				head = append(head, shortName(n)+":\r\n"...)
			}
			hold(d.callers, head, 256<<10, piecesButOneByte)
		default:
			hold(d.callers, postHead("/work/"), 1<<20, allButOneByte)
		}
	})
	d.requireWithinLimits()
}

// TestUnreadResponses guards against large responses that are held, by the daemon or by the
// operating system, for clients that read nothing.
func TestUnreadResponses(t *testing.T) {
	for _, path := range []string{"/quick/large", "/quick/huge"} {
		t.Run(strings.TrimPrefix(path, "/quick/"), func(t *testing.T) {
			d := startDaemon(t, config{})
			run(func(i int) {
				conn, err := net.DialTimeout("tcp", string(d.callers), crowdTime)
				if err != nil {
					return
				}
				defer conn.Close()
				conn.(*net.TCPConn).SetReadBuffer(4096)
				fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\nBriarrouter-Attempt-Id: c-%d\r\n\r\n", path, hostName, i)
				time.Sleep(crowdTime)
			})
			d.requireWithinLimits()
		})
	}
}

// TestLargestBody guards against limits that a single client meets: the largest legal body,
// sent at once or in pieces, with a length or in chunks, is served on the smallest host.
func TestLargestBody(t *testing.T) {
	const size = 64 << 20
	d := startDaemon(t, config{maxBody: size})
	for _, chunked := range []bool{false, true} {
		body := io.Reader(io.LimitReader(zeros{}, size))
		req, err := http.NewRequest(http.MethodPost, "http://"+string(d.callers)+"/upload/", body)
		require.NoError(t, err)
		req.Host = hostName
		if !chunked {
			req.ContentLength = size
		}
		req.Header.Set("Briarrouter-Attempt-Id", fmt.Sprintf("largest-%v", chunked))
		resp, err := http.DefaultClient.Do(req)
		require.NoError(t, err)
		io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		require.Equal(t, http.StatusOK, resp.StatusCode, "chunked: %v", chunked)
	}
	d.requireWithinLimits()
}

type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

// crowd runs clients until stop is called. A client that ends is started again, so that it
// takes any place that it has lost.
type crowd struct {
	group sync.WaitGroup
	ended chan struct{}
	// sent counts down the clients that have sent their first request, or failed to.
	sent sync.WaitGroup
}

// startCrowd starts the clients of a crowd and waits until each has been run up to its
// call of sent.
func startCrowd(client func(sent func(), ended <-chan struct{})) *crowd {
	c := &crowd{ended: make(chan struct{})}
	c.sent.Add(clients)
	for range clients {
		c.group.Go(func() { c.run(client) })
	}
	c.sent.Wait()
	return c
}

func (c *crowd) run(client func(sent func(), ended <-chan struct{})) {
	sent := sync.OnceFunc(c.sent.Done)
	defer sent()
	for {
		client(sent, c.ended)
		sent()
		select {
		case <-c.ended:
			return
		case <-time.After(100 * time.Millisecond):
		}
	}
}

func (c *crowd) stop() {
	close(c.ended)
	c.group.Wait()
}

// stand opens a connection, has write send on it, and holds it until the daemon closes it
// or the crowd ends. It reads nothing unless read is set.
func stand(address id.Address, sent func(), ended <-chan struct{}, read bool, write func(conn net.Conn)) {
	conn, err := net.DialTimeout("tcp", string(address), time.Second)
	if err != nil {
		return
	}
	closed := make(chan struct{})
	var group sync.WaitGroup
	defer group.Wait()
	defer conn.Close()
	group.Go(func() {
		defer close(closed)
		write(conn)
		sent()
		if read {
			io.Copy(io.Discard, conn)
			return
		}
		<-ended
	})
	select {
	case <-closed:
	case <-ended:
	}
}
