package peer

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/briarrouter/briarrouter/backlog"
	"github.com/briarrouter/briarrouter/kernel"
	"github.com/briarrouter/briarrouter/peer/peerpb"
	"github.com/briarrouter/briarrouter/registry"
	"github.com/briarrouter/briarrouter/scripttest"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

const (
	// The fleet and the configuration of the planned size: 940 daemons, of which 23
	// read from the platform, each daemon follows two of these, and 3,800 routes.
	followersOfReader = 82
	plannedRoutes     = 3800
	// largeLink and smallLink are the rates of a large and a small host's link, in
	// bytes a second.
	largeLink = 25_000_000
	smallLink = 1_250_000
	// maxPropagation is how long after it was published a change must be known
	// everywhere.
	maxPropagation = 2 * time.Second
)

// TestConfigurationChangeReachesFollowersOverSlowLinks has one daemon serve its feed to many over links of limited rates.
func TestConfigurationChangeReachesFollowersOverSlowLinks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFeed(t, largeLink, smallLink, followersOfReader)
		defer f.stop()
		f.source.publish(largeConfiguration(1, -1))
		time.Sleep(10 * time.Second)
		require.Equal(t, followersOfReader, f.count(1), "followers with the first configuration after 10 s")
		for change := range 5 {
			revision := registry.Revision(change + 2)
			f.source.publish(largeConfiguration(revision, 700*change))
			time.Sleep(maxPropagation)
			require.Equal(t, followersOfReader, f.count(revision), "followers with revision %d", revision)
		}
		require.Zero(t, f.ended, "streams that ended")
	})
}

// TestFeedMessageLongerThanTimeout sends a listing that takes a slow link several times streamTimeout.
func TestFeedMessageLongerThanTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFeed(t, smallLink/40, smallLink, 1)
		defer f.stop()
		f.source.publish(largeConfiguration(1, -1))
		time.Sleep(time.Minute)
		require.Equal(t, 1, f.count(1))
		require.Zero(t, f.ended, "streams that ended")
	})
}

// TestFeedForDaemonsWithoutPatches decodes what a follower gets that accepts no patches.
func TestFeedForDaemonsWithoutPatches(t *testing.T) {
	var e feedEncoder
	for revision := range registry.Revision(3) {
		u := registry.Update{Revision: revision, Configuration: largeConfiguration(revision, -1)}
		m, err := e.encode(registry.FeedMessage{Listing: registry.Listing{Updates: []registry.Update{u}}})
		require.NoError(t, err)
		require.Equal(t, u.Configuration, m.GetUpdates()[0].GetConfiguration())
		require.Nil(t, m.GetUpdates()[0].GetPatch())
	}
}

// TestPatchOfUnknownConfiguration expects the stream to end, so that the next one starts with a listing.
func TestPatchOfUnknownConfiguration(t *testing.T) {
	e := feedEncoder{patches: &patchCache{}, sent: registry.Update{Revision: 7, Configuration: largeConfiguration(7, -1)}}
	u := registry.Update{Revision: 8, Configuration: largeConfiguration(8, 3)}
	m, err := e.encode(registry.FeedMessage{Listing: registry.Listing{Updates: []registry.Update{u}}})
	require.NoError(t, err)
	var d feedDecoder
	_, err = d.decode(m)
	require.EqualError(t, err, "patch of configuration revision 7; the last one received has revision 0")
	m.Updates[0].Patch = []byte("no patch")
	_, err = (&feedDecoder{received: registry.Update{Revision: 7}}).decode(m)
	require.Error(t, err)
}

// largeConfiguration returns a document in which one route differs from the others.
func largeConfiguration(revision registry.Revision, changedRoute int) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, `{"version":%d,"hosts":[`, revision)
	for i := range plannedRoutes {
		timeout := 800
		if i == changedRoute {
			timeout = 900
		}
		fmt.Fprintf(&b, `{"host":"host%d.example","paths":[{"name":"route-%d","prefix":"/p%x/","service":"s%d","timeoutMs":%d,"maxAttempts":2}]},`,
			i%40, i, uint32(i)*2654435761, i%370, timeout)
	}
	b.WriteString("{}]}")
	return []byte(b.String())
}

// feedServer is a daemon that serves its feed to followers.
type feedServer struct {
	source  *configurationFeed
	service *Service
	server  *http.Server
	group   sync.WaitGroup

	mu sync.Mutex
	// received has the last revision of the configuration for each follower.
	received map[int]registry.Revision
	ended    int
}

func startFeed(t *testing.T, sendRate, receiveRate float64, followers int) *feedServer {
	t.Helper()
	f := &feedServer{source: &configurationFeed{changed: make(chan struct{})}, received: make(map[int]registry.Revision)}
	k := kernel.New()
	k.Register(registry.ServiceName, f.source)
	ctx, cancel := context.WithCancel(context.Background())
	f.service = &Service{kernel: k, streamContext: ctx, cancelStreams: cancel}
	f.service.cfg.Log = zerolog.Nop()
	f.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		stream, err := f.service.feedStream(r)
		if err == nil {
			stream.ServeHTTP(w, r)
		}
	})}
	listener := scripttest.NewPipeListener()
	f.group.Go(func() { f.server.Serve(listener) })
	uplink := &scripttest.Link{Rate: sendRate}
	for i := range followers {
		conn := listener.Connect(uplink, &scripttest.Link{Rate: receiveRate})
		f.group.Go(func() { f.follow(i, conn) })
	}
	return f
}

func (f *feedServer) follow(follower int, conn net.Conn) {
	var m peerpb.FeedMessage
	var decoder feedDecoder
	readStream(conn, "peer", feedPath, &m, func() error {
		decoded, err := decoder.decode(&m)
		f.mu.Lock()
		defer f.mu.Unlock()
		for _, u := range decoded.Listing.Updates {
			f.received[follower] = u.Revision
		}
		return err
	})
	conn.Close()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ended++
}

// count returns how many followers have a revision of the configuration.
func (f *feedServer) count(revision registry.Revision) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, r := range f.received {
		if r == revision {
			n++
		}
	}
	return n
}

func (f *feedServer) stop() {
	f.service.cancelStreams()
	f.server.Shutdown(context.Background())
	f.group.Wait()
}

// configurationFeed is a feed that holds a configuration only.
type configurationFeed struct {
	mu      sync.Mutex
	current registry.Update
	cursor  backlog.Cursor
	changed chan struct{}
}

func (*configurationFeed) Start(context.Context, *kernel.Kernel) error { return nil }
func (*configurationFeed) Stop(context.Context) error                  { return nil }
func (*configurationFeed) State() any                                  { return nil }

func (s *configurationFeed) publish(document []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cursor++
	s.current = registry.Update{Revision: registry.Revision(s.cursor), Configuration: document}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *configurationFeed) Changes(c backlog.Cursor, first bool) (registry.FeedMessage, backlog.Cursor, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := registry.FeedMessage{Listing: registry.Listing{Revision: s.current.Revision, Full: first}}
	if s.cursor > 0 && (first || c < s.cursor) {
		m.Listing.Updates = []registry.Update{s.current}
	}
	return m, s.cursor, s.changed
}
