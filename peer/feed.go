package peer

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/briarrouter/briarrouter/id"
	"github.com/briarrouter/briarrouter/kernel"
	"github.com/briarrouter/briarrouter/peer/peerpb"
	"github.com/briarrouter/briarrouter/registry"
	"github.com/briarrouter/briarrouter/schedule"
	"github.com/briarrouter/briarrouter/unit"
	"google.golang.org/protobuf/encoding/protodelim"
)

// feedPath is where a daemon's feed is read.
const feedPath = "/feed"

const (
	// feedBeat is the longest time between two messages of a feed.
	feedBeat = 300 * time.Millisecond
	// feedSilence is how long a follower waits for a message.
	feedSilence = 3 * feedBeat
	// feedDial bounds the making of a connection to a peer.
	feedDial = 300 * time.Millisecond
	// maxFeedMessage bounds a message: a whole listing of the size to come with
	// its configuration.
	maxFeedMessage = 16 * unit.MiB
)

// changes is the feed of this daemon.
type changes interface {
	Changes(c registry.Cursor, first bool) (registry.Message, registry.Cursor, <-chan struct{})
}

// feedServer sends this daemon's feed to a follower.
type feedServer struct{ *Service }

// ServeHTTP sends messages until the follower leaves or this daemon stops.
func (s feedServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	source, err := kernel.Find[changes](s.kernel, registry.ServiceName)
	if err != nil {
		http.Error(w, "this daemon has no feed", http.StatusNotFound)
		return
	}
	control := http.NewResponseController(w)
	message, cursor, more := source.Changes(0, true)
	timer := time.NewTimer(feedBeat)
	defer timer.Stop()
	for {
		if err := control.SetWriteDeadline(time.Now().Add(feedSilence)); err != nil {
			return
		}
		if _, err := protodelim.MarshalTo(w, encodeMessage(message)); err != nil {
			return
		}
		if err := control.Flush(); err != nil {
			return
		}
		timer.Reset(feedBeat)
		select {
		case <-more:
		case <-timer.C:
		case <-r.Context().Done():
			return
		case <-s.feeds.Done():
			return
		}
		message, cursor, more = source.Changes(cursor, false)
	}
}

var errNoLink = errors.New("peer is not known")

// Follow calls take for each message of a peer's feed until the context ends or
// the peer does not answer, and returns why.
func (s *Service) Follow(ctx context.Context, host id.Host, take func(registry.Message)) error {
	l := s.link(host)
	if l == nil {
		return errNoLink
	}
	dialer := &net.Dialer{Timeout: feedDial, KeepAlive: -1}
	conn, err := dialer.DialContext(ctx, "tcp", string(l.address))
	if err != nil {
		return err
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	return follow(conn, string(l.address), take)
}

// follow reads a feed from a connection.
func follow(conn net.Conn, address string, take func(registry.Message)) error {
	if err := conn.SetDeadline(time.Now().Add(feedSilence)); err != nil {
		return err
	}
	req, err := http.NewRequest(http.MethodGet, "http://"+address+feedPath, nil)
	if err != nil {
		return err
	}
	if err := req.Write(conn); err != nil {
		return err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("feed of a peer: status %d", resp.StatusCode)
	}
	reader := bufio.NewReader(resp.Body)
	for {
		if err := conn.SetReadDeadline(time.Now().Add(feedSilence)); err != nil {
			return err
		}
		var m peerpb.FeedMessage
		if err := (protodelim.UnmarshalOptions{MaxSize: int64(maxFeedMessage)}).UnmarshalFrom(reader, &m); err != nil {
			return fmt.Errorf("feed of a peer: %w", unexpected(err))
		}
		take(decodeMessage(&m))
	}
}

// unexpected names the end of a feed: it has none of its own.
func unexpected(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

func encodeMessage(m registry.Message) *peerpb.FeedMessage {
	f := &peerpb.FeedMessage{At: uint64(m.Listing.At), Whole: m.Listing.Whole, AgeMilliseconds: m.Age.Milliseconds()}
	if m.Age < 0 {
		f.AgeMilliseconds = -1
	}
	for _, u := range m.Listing.Updates {
		update := &peerpb.Update{Revision: uint64(u.Revision), Target: string(u.Target), Configuration: u.Configuration}
		if e := u.Entry; e != nil {
			update.Entry = &peerpb.Target{
				Service: string(e.Service), Address: string(e.Address), FailureDomain: string(e.FailureDomain),
				Leaving: e.Leaving, Incarnation: e.Incarnation, Slots: uint32(e.Slots),
			}
		}
		f.Updates = append(f.Updates, update)
	}
	return f
}

func decodeMessage(f *peerpb.FeedMessage) registry.Message {
	m := registry.Message{
		Listing: registry.Listing{At: registry.Revision(f.GetAt()), Whole: f.GetWhole()},
		Age:     time.Duration(f.GetAgeMilliseconds()) * time.Millisecond,
	}
	for _, u := range f.GetUpdates() {
		update := registry.Update{Revision: registry.Revision(u.GetRevision()), Target: id.Target(u.GetTarget()), Configuration: u.GetConfiguration()}
		if e := u.GetEntry(); e != nil {
			update.Entry = &registry.Entry{
				Service: id.Service(e.GetService()),
				Endpoint: schedule.Endpoint{
					ID: update.Target, Address: id.Address(e.GetAddress()), FailureDomain: id.FailureDomain(e.GetFailureDomain()),
					Leaving: e.GetLeaving(), Incarnation: e.GetIncarnation(), Slots: unit.Slots(e.GetSlots()),
				},
			}
		}
		m.Listing.Updates = append(m.Listing.Updates, update)
	}
	return m
}
