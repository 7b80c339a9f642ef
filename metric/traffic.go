package metric

import (
	"context"
	"net"
	"syscall"

	"github.com/briarrouter/briarrouter/id"
	"github.com/uber-go/tally/v4"
)

// Link is what a connection between failure domains is for; a label of the metrics.
type Link string

const (
	TargetLink Link = "target"
	// PeerLink stands for the calls between daemons: pings with their gossip, and
	// fetches of configurations.
	PeerLink     Link = "peer"
	RelayLink    Link = "relay"
	FeedLink     Link = "feed"
	SightingLink Link = "sightings"
	UsageLink    Link = "usage"
	// StoreLink stands for calls to the platform's store, whose failure domain is not
	// known. All of them are counted.
	StoreLink Link = "store"
)

// Traffic counts the bytes on connections. Only the side that dials counts, so that
// the sum over all daemons has each byte once. A nil Traffic counts nothing.
type Traffic struct{ sent, received tally.Counter }

// NewTraffic returns the counters of the bytes that cross a failure domain on links of
// a kind. The service is empty unless the link is TargetLink. The scope must have no
// labels of its own: the reporter panics if counters of one name differ in their labels.
func NewTraffic(scope tally.Scope, link Link, service id.Service) *Traffic {
	counter := func(direction string) tally.Counter {
		return scope.Tagged(map[string]string{"link": string(link), "service": string(service), "direction": direction}).Counter("cross_domain_bytes")
	}
	return &Traffic{sent: counter("sent"), received: counter("received")}
}

// DialFunc opens a connection, see net.Dialer.DialContext.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dial returns a function that dials and counts the bytes on the connection.
func (t *Traffic) Dial(dial DialFunc) DialFunc {
	if t == nil {
		return dial
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return t.Count(conn), nil
	}
}

// Count returns a connection whose bytes are counted.
func (t *Traffic) Count(conn net.Conn) net.Conn {
	if t == nil {
		return conn
	}
	counted := countedConn{conn, t}
	if raw, ok := conn.(syscall.Conn); ok {
		return countedSocket{counted, raw}
	}
	return counted
}

type countedConn struct {
	net.Conn
	traffic *Traffic
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.received.Inc(int64(n))
	return n, err
}

func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.sent.Inc(int64(n))
	return n, err
}

// countedSocket gives access to the socket, which package exchange checks before it
// uses an idle connection.
type countedSocket struct {
	countedConn
	syscall.Conn
}
