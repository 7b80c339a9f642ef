package crowd

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/briarrouter/briarrouter/id"
)

// TestHeaderLines guards against parsed header sections that take many times their size.
// Each client sends one request whose header section is made of very many lines.
func TestHeaderLines(t *testing.T) {
	for _, c := range []struct {
		name string
		line func(i int) string
	}{
		{"lines of one name", func(int) string { return "a:\r\n" }},
		{"distinct names", func(i int) string { return shortName(i) + ":\r\n" }},
		{"distinct names with values", func(i int) string { return shortName(i) + ":v\r\n" }},
		{"empty values", func(i int) string { return "a" + shortName(i) + ": \t \r\n" }},
		{"one long line", func(int) string { return "long: " + strings.Repeat("x", sectionSize-200) + "\r\n" }},
		{"list members", func(int) string { return "Connection:" + strings.Repeat(",", 15) + "aa\r\n" }},
		{"list members and distinct names", func(i int) string {
			if i%2 == 0 {
				return shortName(i) + ":\r\n"
			}
			return "Connection:" + shortName(4*i) + "," + shortName(4*i+1) + "," + shortName(4*i+2) + ",,,,,,,,\r\n"
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := startDaemon(t, config{})
			run(func(i int) { exchange(d.callers, sectionOf(i, c.line)) })
			d.requireWithinLimits()
		})
	}
}

// TestOtherAddresses guards against header sections at the addresses for lookups, peers and
// operators that take more memory than those of requests may.
func TestOtherAddresses(t *testing.T) {
	for _, c := range []struct {
		name, path string
		address    func(d *daemon) id.Address
	}{
		{"lookups", "/v1/resolve", func(d *daemon) id.Address { return d.resolve }},
		{"peers", "/relay/work/", func(d *daemon) id.Address { return d.peers }},
		{"operators", "/dump", func(d *daemon) id.Address { return d.operator }},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := startDaemon(t, config{})
			end := time.Now().Add(crowdTime)
			run(func(int) {
				for time.Now().Before(end) {
					sendHalf(c.address(d), c.path, end)
				}
			})
			d.requireWithinLimits()
		})
	}
}

// sendHalf sends a header section but for its end, and waits.
func sendHalf(address id.Address, path string, end time.Time) {
	conn, err := net.DialTimeout("tcp", string(address), time.Second)
	if err != nil {
		return
	}
	defer conn.Close()
	conn.SetDeadline(end)
	var b bytes.Buffer
	fmt.Fprintf(&b, "GET %s HTTP/1.1\r\nHost: d\r\n", path)
	for i := 0; b.Len() < sectionSize; i++ {
		b.WriteString(shortName(i) + ":\r\n")
	}
	conn.Write(b.Bytes())
	io.Copy(io.Discard, conn)
}

// TestResponseHeaders guards against parsed header sections of targets' responses that are
// held without a bound.
func TestResponseHeaders(t *testing.T) {
	d := startDaemon(t, config{})
	run(func(i int) {
		exchange(d.callers, fmt.Appendf(nil, "GET /lines/ HTTP/1.1\r\nHost: %s\r\nBriarrouter-Attempt-Id: c-%d\r\n\r\n", hostName, i))
	})
	d.requireWithinLimits()
}

// TestPipelinedHeaderSections guards against requests that are received or parsed ahead
// without a bound. Each client sends requests without an end and reads no response.
func TestPipelinedHeaderSections(t *testing.T) {
	d := startDaemon(t, config{})
	end := time.Now().Add(crowdTime)
	run(func(i int) {
		for time.Now().Before(end) {
			pipeline(d, i, end)
		}
	})
	d.requireWithinLimits()
}

func pipeline(d *daemon, client int, end time.Time) {
	conn, err := net.DialTimeout("tcp", string(d.callers), time.Second)
	if err != nil {
		return
	}
	defer conn.Close()
	conn.SetDeadline(end)
	for {
		if _, err := conn.Write(sectionOf(client, func(i int) string { return shortName(i) + ":\r\n" })); err != nil {
			return
		}
	}
}

// TestSlowHeaderSections guards against half-read header sections that are held until
// their timeout. Each client sends nearly all of a header section and then a line at a
// time.
func TestSlowHeaderSections(t *testing.T) {
	d := startDaemon(t, config{})
	end := time.Now().Add(crowdTime)
	run(func(i int) {
		for time.Now().Before(end) {
			sendSlowly(d, i, end)
		}
	})
	d.requireWithinLimits()
}

func sendSlowly(d *daemon, client int, end time.Time) {
	conn, err := net.DialTimeout("tcp", string(d.callers), time.Second)
	if err != nil {
		return
	}
	defer conn.Close()
	conn.SetDeadline(end)
	head := requestHead(http.MethodGet, client)
	for i := 0; len(head) < sectionSize; i++ {
		head = append(head, shortName(i)+":\r\n"...)
	}
	for i := 0; ; i++ {
		if _, err := conn.Write(head); err != nil {
			return
		}
		time.Sleep(200 * time.Millisecond)
		head = fmt.Appendf(nil, "z%d:\r\n", i)
	}
}

// TestSilentConnections guards against connections without a request that take the file
// descriptors and the memory of the process.
func TestSilentConnections(t *testing.T) {
	d := startDaemon(t, config{descriptors: 256})
	end := time.Now().Add(crowdTime)
	run(func(int) {
		for time.Now().Before(end) {
			conn, err := net.DialTimeout("tcp", string(d.callers), time.Second)
			if err != nil {
				continue
			}
			conn.SetDeadline(end)
			io.Copy(io.Discard, conn)
			conn.Close()
		}
	})
	d.requireWithinLimits()
}

// TestChunks guards against trailers, chunk extensions and lists of trailers that are
// kept in parsed form.
func TestChunks(t *testing.T) {
	d := startDaemon(t, config{})
	run(func(i int) {
		request := requestHead(http.MethodPost, i)
		request = append(request, "Transfer-Encoding: chunked\r\n"...)
		for n := 0; len(request) < sectionSize; n++ {
			request = append(request, "Trailer: x"+shortName(n)+"\r\n"...)
		}
		request = append(request, "\r\n"...)
		if i%2 == 0 {
			for range 8 {
				request = append(request, "1;"+strings.Repeat(";a=", 1000)+"\r\nx\r\n"...)
			}
		}
		request = append(request, "0\r\n"...)
		exchange(d.callers, append(request, trailers(3500)...))
	})
	d.requireWithinLimits()
}

// TestSmallUploads guards against the buffers of many uploads, some with a length and some
// in chunks, whose last byte comes late.
func TestSmallUploads(t *testing.T) {
	d := startDaemon(t, config{})
	run(func(i int) {
		conn, err := net.DialTimeout("tcp", string(d.callers), crowdTime)
		if err != nil {
			return
		}
		defer conn.Close()
		conn.SetDeadline(time.Now().Add(serviceTime + crowdTime))
		request, end := requestHead(http.MethodPost, i), "x"
		if i%2 == 0 {
			request = append(request, "Content-Length: 200000\r\n\r\n"...)
		} else {
			request = append(request, "Transfer-Encoding: chunked\r\n\r\n30d40\r\n"...)
			end = "x\r\n0\r\n\r\n"
		}
		if _, err := conn.Write(append(request, bytes.Repeat([]byte("x"), 199_999)...)); err != nil {
			return
		}
		time.Sleep(2 * time.Second)
		io.WriteString(conn, end)
		io.Copy(io.Discard, conn)
	})
	d.requireWithinLimits()
}

// TestLongIdentifiers guards against long ids of requests, hosts and paths that are kept
// after the request, in the log that nobody reads or with the connection to a target.
func TestLongIdentifiers(t *testing.T) {
	d := startDaemon(t, config{unreadLog: true})
	run(func(i int) {
		for n := range 20 {
			exchange(d.callers, fmt.Appendf(nil, "GET /quick/%s HTTP/1.1\r\nHost: %s\r\nBriarrouter-Attempt-Id: c-%d-%d-%s\r\n\r\n",
				strings.Repeat("p", 7000), hostName, i, n, strings.Repeat("x", 7000)))
		}
	})
	d.requireWithinLimits()
}

// TestSlowReaders guards against responses that are held without a bound for clients that
// read them slowly.
func TestSlowReaders(t *testing.T) {
	d := startDaemon(t, config{})
	end := time.Now().Add(crowdTime)
	run(func(i int) {
		conn, err := net.DialTimeout("tcp", string(d.callers), crowdTime)
		if err != nil {
			return
		}
		defer conn.Close()
		conn.(*net.TCPConn).SetReadBuffer(4096)
		fmt.Fprintf(conn, "GET /quick/large HTTP/1.1\r\nHost: %s\r\nBriarrouter-Attempt-Id: c-%d\r\n\r\n", hostName, i)
		for time.Now().Before(end) {
			if _, err := conn.Read(make([]byte, 1)); err != nil {
				return
			}
			time.Sleep(100 * time.Millisecond)
		}
	})
	d.requireWithinLimits()
}

// TestSlowTargets guards against requests that are held without a bound for targets that
// do not read them.
func TestSlowTargets(t *testing.T) {
	d := startDaemon(t, config{})
	run(func(i int) {
		request := fmt.Appendf(nil, "POST /unread/ HTTP/1.1\r\nHost: %s\r\nBriarrouter-Attempt-Id: c-%d\r\nContent-Length: 200000\r\n\r\n", hostName, i)
		exchange(d.callers, append(request, bytes.Repeat([]byte("x"), 200_000)...))
	})
	d.requireWithinLimits()
}
