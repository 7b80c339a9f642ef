package peer

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/briarrouter/briarrouter/backlog"
	"github.com/briarrouter/briarrouter/id"
	"github.com/briarrouter/briarrouter/message"
	"github.com/briarrouter/briarrouter/metric"
	"github.com/briarrouter/briarrouter/peer/peerpb"
	"github.com/briarrouter/briarrouter/schedule"
	"github.com/briarrouter/briarrouter/suspicion"
	"github.com/briarrouter/briarrouter/unit"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"
)

// sightingPath is where a daemon serves its sightings: the observations of targets
// that it shares with peers.
const sightingPath = "/sightings"

const (
	// streamHeartbeat is the longest time between two messages of a stream.
	streamHeartbeat = 300 * time.Millisecond
	// streamTimeout bounds the time without progress in reading or writing. It does not
	// bound a message: a listing may take longer on a slow link, and starting it anew
	// would only load the link more.
	streamTimeout     = 3 * streamHeartbeat
	streamDialTimeout = 300 * time.Millisecond
	// maxStreamMessage limits the size of a message. It leaves room for a
	// complete listing of the planned fleet, including its configuration.
	maxStreamMessage = 16 * unit.MiB
)

// stream sends messages to a follower until the follower disconnects or this
// daemon stops.
type stream struct {
	service *Service
	// next returns the next message, which may be empty, and a channel that is
	// closed when there is more to send.
	next func() (proto.Message, <-chan struct{})
}

// ServeHTTP sends the messages, at least one in each streamHeartbeat, so that
// the follower can tell a silent stream from a broken one.
func (s stream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	control := http.NewResponseController(w)
	timer := time.NewTimer(streamHeartbeat)
	defer timer.Stop()
	for {
		next, more := s.next()
		if _, err := protodelim.MarshalTo(progressWriter{w, control}, next); err != nil {
			return
		}
		if err := control.Flush(); err != nil {
			return
		}
		timer.Reset(streamHeartbeat)
		select {
		case <-more:
		case <-timer.C:
		case <-r.Context().Done():
			return
		case <-s.service.streamContext.Done():
			return
		}
	}
}

// maxStreamWrite is how much is written within one streamTimeout. The slowest link
// of a host carries many times as much.
const maxStreamWrite = 16 << 10

// progressWriter writes in pieces, each of which must be written within
// streamTimeout.
type progressWriter struct {
	io.Writer
	control *http.ResponseController
}

func (w progressWriter) Write(p []byte) (int, error) {
	written := 0
	for piece := range slices.Chunk(p, maxStreamWrite) {
		if err := w.control.SetWriteDeadline(time.Now().Add(streamTimeout)); err != nil {
			return written, err
		}
		n, err := w.Writer.Write(piece)
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// progressConn is a connection of which each read must end within streamTimeout.
type progressConn struct{ net.Conn }

func (c progressConn) Read(p []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(streamTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Read(p)
}

// sightingStream returns a stream of this daemon's sightings for one follower; it
// starts with the current state of all targets.
func (s *Service) sightingStream() stream {
	var cursor backlog.Cursor
	first := true
	return stream{s, func() (proto.Message, <-chan struct{}) {
		list, next, more := s.dispatcher.Sightings(cursor, first)
		cursor, first = next, false
		return encodeSightings(list), more
	}}
}

var errUnknownPeer = errors.New("address of the peer is not known")

// FollowSightings calls handle for each message of a peer's sightings until ctx
// ends or the peer stops responding, and returns the reason.
func (s *Service) FollowSightings(ctx context.Context, host id.Host, handle func([]schedule.Sighting)) error {
	var m peerpb.SightingMessage
	return s.follow(ctx, host, sightingStreamKind, &m, func() error {
		handle(decodeSightings(&m))
		return nil
	})
}

// streamKind is a kind of stream that a daemon serves to its followers.
type streamKind struct {
	path string
	link metric.Link
}

var (
	sightingStreamKind = streamKind{sightingPath, metric.SightingLink}
	feedStreamKind     = streamKind{feedPath, metric.FeedLink}
)

// follow reads the messages of a stream into m and calls handle after each, until
// ctx ends, the peer stops responding or handle returns an error.
func (s *Service) follow(ctx context.Context, host id.Host, kind streamKind, m proto.Message, handle func() error) error {
	l := s.link(host)
	if l == nil {
		return errUnknownPeer
	}
	dialer := &net.Dialer{Timeout: streamDialTimeout, KeepAlive: -1}
	conn, err := dialer.DialContext(ctx, "tcp", string(l.address))
	if err != nil {
		return err
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	conn = s.traffic(l.failureDomain, kind.link).Count(conn)
	return readStream(conn, string(l.address), kind.path, m, handle)
}

func readStream(conn net.Conn, address, path string, m proto.Message, handle func() error) error {
	reader, err := openStream(conn, address, path)
	if err != nil {
		return err
	}
	options := protodelim.UnmarshalOptions{MaxSize: int64(maxStreamMessage)}
	for {
		if err := options.UnmarshalFrom(reader, m); err != nil {
			return fmt.Errorf("read stream %s from peer: %w", path, unexpectedEOF(err))
		}
		if err := handle(); err != nil {
			return fmt.Errorf("read stream %s from peer: %w", path, err)
		}
	}
}

var errStreamHeader = fmt.Errorf("header section of a peer's stream exceeds %s", maxRPCHeader)

func openStream(conn net.Conn, address, path string) (*bufio.Reader, error) {
	if err := conn.SetWriteDeadline(time.Now().Add(streamTimeout)); err != nil {
		return nil, err
	}
	req, err := http.NewRequest(http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return nil, err
	}
	req.Header.Set(acceptPatchField, patchMethod)
	if err := req.Write(conn); err != nil {
		return nil, err
	}
	source := &message.LimitedReader{Source: progressConn{conn}, Remaining: maxRPCHeader, Err: errStreamHeader}
	resp, err := http.ReadResponse(bufio.NewReader(source), req)
	if err != nil {
		return nil, err
	}
	source.Remaining = math.MaxInt64
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("open stream %s from peer: got status %d, want 200", path, resp.StatusCode)
	}
	return bufio.NewReader(resp.Body), nil
}

// unexpectedEOF replaces io.EOF: a stream has no regular end.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

func encodeSightings(list []schedule.Sighting) *peerpb.SightingMessage {
	m := &peerpb.SightingMessage{}
	for _, sighting := range list {
		m.Sightings = append(m.Sightings, &peerpb.Sighting{
			Service: string(sighting.Service), Target: string(sighting.Target), Incarnation: sighting.Incarnation,
			Evidence: encodeObservations(sighting.Observations), Running: uint32(sighting.Running),
			Whole: sighting.Snapshot, Sick: sighting.FailureProbability, AgeMilliseconds: uint32(sighting.ObservationAge.Milliseconds()),
		})
	}
	return m
}

func decodeSightings(m *peerpb.SightingMessage) []schedule.Sighting {
	var list []schedule.Sighting
	for _, sighting := range m.GetSightings() {
		list = append(list, schedule.Sighting{
			Service: id.Service(sighting.GetService()), Target: id.Target(sighting.GetTarget()), Incarnation: sighting.GetIncarnation(),
			Observations: decodeObservations(sighting.GetEvidence()), Running: int(sighting.GetRunning()),
			Snapshot: sighting.GetWhole(), FailureProbability: sighting.GetSick(), ObservationAge: time.Duration(sighting.GetAgeMilliseconds()) * time.Millisecond,
		})
	}
	return list
}

func encodeObservations(list []suspicion.Observation) []byte {
	data := make([]byte, len(list))
	for i, o := range list {
		data[i] = byte(o)
	}
	return data
}

func decodeObservations(data []byte) []suspicion.Observation {
	list := make([]suspicion.Observation, len(data))
	for i, b := range data {
		list[i] = suspicion.Observation(b)
	}
	return list
}
