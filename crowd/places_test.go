package crowd

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/briarrouter/briarrouter/id"
	"github.com/briarrouter/briarrouter/unit"
	"github.com/stretchr/testify/require"
)

// fewConnections is less than the clients of a crowd.
const fewConnections = 64

// TestConnectionsThatStandStill guards against connections that wait for their callers and
// keep all others out. The callers may pause for longer than the test lasts, and those that
// lose their connection come back.
func TestConnectionsThatStandStill(t *testing.T) {
	for _, c := range []struct {
		name string
		read bool
		send func(conn net.Conn)
	}{
		{"in a header section", true, func(conn net.Conn) { conn.Write(postHead("/work/")) }},
		{"before a body", true, func(conn net.Conn) { fmt.Fprintf(conn, "%sContent-Length: 1000\r\n\r\n", postHead("/upload/")) }},
		{"in a body", true, func(conn net.Conn) { conn.Write(postHead("/upload/")); allButOneByte(conn, 1000) }},
		{"in a chunk", true, func(conn net.Conn) { conn.Write(postHead("/upload/")); chunksButOneByte(conn, 1000) }},
		{"in a streamed body", true, func(conn net.Conn) { conn.Write(postHead("/upload/")); allButOneByte(conn, 100<<10) }},
		{"in a trailer", true, func(conn net.Conn) {
			fmt.Fprintf(conn, "%sTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\na: b", postHead("/upload/"))
		}},
		{"in the second request", true, func(conn net.Conn) {
			fmt.Fprintf(conn, "GET /quick/ HTTP/1.1\r\nHost: %s\r\nBriarrouter-Attempt-Id: first\r\n\r\n", hostName)
			if resp, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
				io.Copy(io.Discard, resp.Body)
			}
			conn.Write(postHead("/upload/"))
			allButOneByte(conn, 1000)
		}},
		{"in a response", false, func(conn net.Conn) {
			conn.(*net.TCPConn).SetReadBuffer(4096)
			fmt.Fprintf(conn, "GET /quick/huge HTTP/1.1\r\nHost: %s\r\nBriarrouter-Attempt-Id: unread\r\n\r\n", hostName)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := startDaemon(t, config{connections: fewConnections, bodyBuffer: 16 * unit.KiB, pause: longPause})
			crowd := startCrowd(func(sent func(), ended <-chan struct{}) { stand(d.callers, sent, ended, c.read, c.send) })
			defer crowd.stop()
			d.requireWithinLimits()
		})
	}
}

// TestSlotsThatStandStill guards against streamed bodies that stand still and keep all
// requests of other callers from a target.
func TestSlotsThatStandStill(t *testing.T) {
	for _, c := range []struct {
		name string
		send sender
	}{{"with a length", allButOneByte}, {"in chunks", chunksButOneByte}} {
		t.Run(c.name, func(t *testing.T) {
			d := startDaemon(t, config{bodyBuffer: 16 * unit.KiB, pause: longPause})
			crowd := startCrowd(func(sent func(), ended <-chan struct{}) {
				stand(d.callers, sent, ended, true, func(conn net.Conn) { conn.Write(postHead("/few/")); c.send(conn, 100<<10) })
			})
			defer crowd.stop()
			d.requireServing("/few/")
			d.requireWithinLimits()
		})
	}
}

// TestSlowConnections guards against callers that send short bodies slowly and keep all
// others out. None of them stands still.
func TestSlowConnections(t *testing.T) {
	d := startDaemon(t, config{connections: fewConnections})
	crowd := startCrowd(func(sent func(), ended <-chan struct{}) {
		stand(d.callers, sent, ended, true, func(conn net.Conn) {
			fmt.Fprintf(conn, "%sContent-Length: 1000\r\n\r\n", postHead("/upload/"))
			sent()
			for range 1000 {
				if _, err := conn.Write([]byte("x")); err != nil {
					return
				}
				select {
				case <-ended:
					return
				case <-time.After(200 * time.Millisecond):
				}
			}
		})
	})
	defer crowd.stop()
	d.requireWithinLimits()
}

// TestKeptLookups guards against kept lookup connections that keep other callers from
// looking up addresses. None of them is idle for long.
func TestKeptLookups(t *testing.T) {
	d := startDaemon(t, config{})
	crowd := startCrowd(func(sent func(), ended <-chan struct{}) {
		conn, err := net.DialTimeout("tcp", string(d.resolve), time.Second)
		if err != nil {
			return
		}
		defer conn.Close()
		reader := bufio.NewReader(conn)
		for {
			conn.SetDeadline(time.Now().Add(5 * time.Second))
			fmt.Fprint(conn, "GET /v1/resolve?name=x HTTP/1.1\r\nHost: d\r\n\r\n")
			sent()
			resp, err := http.ReadResponse(reader, nil)
			if err != nil {
				return
			}
			io.Copy(io.Discard, resp.Body)
			select {
			case <-ended:
				return
			case <-time.After(time.Second):
			}
		}
	})
	defer crowd.stop()
	d.requireAnswer(d.resolve, "/v1/resolve?name=x")
	d.requireWithinLimits()
}

// requireAnswer waits until the daemon answers a request on a new connection to one of its
// addresses.
func (d *daemon) requireAnswer(address id.Address, path string) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	require.Eventually(d.t, func() bool {
		resp, err := client.Get("http://" + string(address) + path)
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		_, err = io.Copy(io.Discard, resp.Body)
		return err == nil
	}, recoveryTime, 50*time.Millisecond, "a request at %s%s is not answered", address, path)
}

// TestOtherAddressesThatStandStill guards against requests at the addresses for lookups,
// peers and operators that stand still, or whose responses nobody reads, and take all
// connections or descriptors.
func TestOtherAddressesThatStandStill(t *testing.T) {
	addresses := []struct {
		name, path string
		address    func(d *daemon) id.Address
	}{
		{"lookups", "/v1/resolve?name=x", func(d *daemon) id.Address { return d.resolve }},
		{"peers", "/nothing", func(d *daemon) id.Address { return d.peers }},
		{"operators", "/metrics", func(d *daemon) id.Address { return d.operator }},
	}
	kinds := []struct {
		name string
		read bool
		send func(conn net.Conn, path string)
	}{
		{"silent", true, func(net.Conn, string) {}},
		{"in a header section", true, func(conn net.Conn, path string) { fmt.Fprintf(conn, "GET %s HTTP/1.1\r\n", path) }},
		{"before a body", true, func(conn net.Conn, path string) {
			fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: d\r\nContent-Length: 1000\r\n\r\n", path)
		}},
		{"idle after a response", false, func(conn net.Conn, path string) {
			fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: d\r\n\r\n", path)
		}},
		{"in responses", false, func(conn net.Conn, path string) {
			conn.(*net.TCPConn).SetReadBuffer(4096)
			conn.SetWriteDeadline(time.Now().Add(time.Second))
			for range 2000 {
				if _, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: d\r\n\r\n", path); err != nil {
					return
				}
			}
		}},
	}
	for _, a := range addresses {
		for _, k := range kinds {
			t.Run(a.name+"/"+k.name, func(t *testing.T) {
				d := startDaemon(t, config{descriptors: 256})
				crowd := startCrowd(func(sent func(), ended <-chan struct{}) {
					stand(a.address(d), sent, ended, k.read, func(conn net.Conn) { k.send(conn, a.path) })
				})
				defer crowd.stop()
				d.requireAnswer(a.address(d), a.path)
				d.requireWithinLimits()
			})
		}
	}
	t.Run("peers/in a message", func(t *testing.T) {
		d := startDaemon(t, config{descriptors: 256})
		crowd := startCrowd(func(sent func(), ended <-chan struct{}) {
			stand(d.peers, sent, ended, true, func(conn net.Conn) {
				fmt.Fprint(conn, "POST /twirp/briarrouter.peer.Peer/Ping HTTP/1.1\r\nHost: d\r\nContent-Type: application/protobuf\r\nContent-Length: 1000\r\n\r\nx")
			})
		})
		defer crowd.stop()
		d.requireAnswer(d.peers, "/nothing")
		d.requireWithinLimits()
	})
}
