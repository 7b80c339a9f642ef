// Package peer communicates with the other daemons: it detects failures with
// direct and indirect pings (SWIM), gossips membership, configuration versions,
// quarantines and statements of targets, streams platform changes and observations of
// targets, and relays requests.
package peer

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/briarrouter/briarrouter/backlog"
	"github.com/briarrouter/briarrouter/configuration"
	"github.com/briarrouter/briarrouter/departure"
	"github.com/briarrouter/briarrouter/id"
	"github.com/briarrouter/briarrouter/kernel"
	"github.com/briarrouter/briarrouter/memory"
	"github.com/briarrouter/briarrouter/message"
	"github.com/briarrouter/briarrouter/quarantine"
	"github.com/briarrouter/briarrouter/roster"
	"github.com/briarrouter/briarrouter/router"
	"github.com/briarrouter/briarrouter/schedule"
	"github.com/briarrouter/briarrouter/settings"
	"github.com/briarrouter/briarrouter/socket"
	"github.com/briarrouter/briarrouter/statement"
	"github.com/briarrouter/briarrouter/work"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"
	"golang.org/x/time/rate"
)

const ServiceName kernel.Name = "peer"

// store holds the configuration in force and accepts newer ones.
type store interface {
	// Current returns the configuration in force, or nil.
	Current() *configuration.Snapshot
	// Version returns the version in force, or the zero version.
	Version() id.ConfigVersion
	// Collect gathers the documents that an index names. It calls get only for
	// the values that differ from those in force.
	Collect(index []byte, get func(id.Service) ([]byte, error)) (configuration.Documents, error)
	// Offer puts the documents in force if they are valid and newer. The source
	// appears in the log only.
	Offer(docs configuration.Documents, source string) configuration.Verdict
}

// dispatcher is this daemon's dispatch service: it provides what this daemon
// knows about targets and suspect requests, to be sent to peers, and records
// what peers sent.
type dispatcher interface {
	Quarantines(n int) []quarantine.Notice
	LearnQuarantines(notices []quarantine.Notice)
	LeavingNotices(n int) []statement.LeavingNotice
	LearnLeaving(notices []statement.LeavingNotice)
	LimitNotices(n int) []statement.LimitNotice
	LearnLimits(notices []statement.LimitNotice)
	// Sightings returns the sightings after a cursor, the cursor to continue
	// from, and a channel that is closed when there are more. If first is set,
	// as in the first call for a follower, it ignores the cursor and returns the
	// current state of all targets.
	Sightings(c backlog.Cursor, first bool) ([]schedule.Sighting, backlog.Cursor, <-chan struct{})
	// UrgentServices returns a channel of services whose standbys must be
	// notified immediately of a new quarantine or a leaving target.
	UrgentServices() <-chan id.Service
}

// relayHandler handles requests that peers relay.
type relayHandler interface {
	HandleRelayed(ctx context.Context, req *work.Request, purpose router.Purpose) work.Response
}

// Config configures a Service.
type Config struct {
	// Self is this daemon's initial membership entry.
	Self roster.Member
	// Listen is the address to listen on. Peers are told to use Self.Peers,
	// which may be a different address.
	Listen id.Address
	Limits settings.Limits
	Timing settings.Timing
	Memory *memory.Limiter
	Scope  tally.Scope
	Log    zerolog.Logger
	// RandomSeed seeds the random order of the probes and the random choice of peers
	// to send gossip and indirect pings to.
	RandomSeed uint64
	// Seeds lists addresses of peers to contact first. They may be down.
	Seeds []id.Address
}

// Service is this daemon's side of the communication with its peers.
type Service struct {
	cfg        Config
	store      store
	dispatcher dispatcher
	// kernel is used to find the handler of relayed requests when one arrives.
	// The handler needs this Service and therefore starts after it.
	kernel *kernel.Kernel
	server *message.Server
	cancel context.CancelFunc
	ctx    context.Context
	// streamContext is the context of the streams that this daemon sends. It is
	// cancelled before ctx: Stop waits for these streams to end before it cancels
	// ctx.
	streamContext context.Context
	cancelStreams context.CancelFunc
	group         conc.WaitGroup
	// responsivenessChanges counts the changes of the links' unresponsive flags.
	responsivenessChanges atomic.Uint64
	patches               patchCache
	// departure is the plan of the stop in progress; nil if there is none, or if it
	// waits for all requests.
	departure atomic.Pointer[departure.Plan]

	mu    sync.Mutex
	table *roster.Table
	// links has an entry for each member whose address is known, except this
	// daemon.
	links map[id.Host]*link
	// seeds holds the seed addresses that are polled.
	seeds map[id.Address]bool
	// heardFrom holds the hosts whose own membership entry was received since the
	// start, from themselves or in the result of an indirect ping.
	heardFrom map[id.Host]bool
	// linksGeneration is the roster's generation at the last update of links.
	linksGeneration uint64
	// gossipLimiter limits the gossip that is sent outside of the regular
	// probes.
	gossipLimiter *rate.Limiter
	started       time.Time
}

// New returns a Service that knows no peers yet.
func New(cfg Config) *Service {
	random := rand.New(rand.NewPCG(cfg.RandomSeed, uint64(cfg.Self.Incarnation)))
	cfg.Self.State = roster.Joining
	return &Service{
		cfg:           cfg,
		table:         roster.New(roster.Config{Self: cfg.Self, SuspicionTimeout: cfg.Timing.Suspect, Random: random}),
		links:         make(map[id.Host]*link),
		seeds:         make(map[id.Address]bool),
		heardFrom:     make(map[id.Host]bool),
		gossipLimiter: rate.NewLimiter(gossipRate, gossipBurst),
	}
}

// noKeepAlive disables TCP keep-alive probes, since the peers probe each other.
const noKeepAlive = time.Duration(-1)

const (
	// headerTimeout bounds the reading of the header section of a peer's request, and
	// bodyTimeout that of its body, unless the request is relayed.
	headerTimeout = 5 * time.Second
	bodyTimeout   = fetchTimeout
	// idleTimeout is longer than peers keep idle connections.
	idleTimeout = 2 * relayIdleLimit
)

// Start starts listening to peers and probing them.
func (s *Service) Start(_ context.Context, k *kernel.Kernel) error {
	s.kernel = k
	var err error
	if s.store, err = kernel.Find[store](k, configuration.ServiceName); err != nil {
		return err
	}
	if s.dispatcher, err = kernel.Find[dispatcher](k, "dispatch"); err != nil {
		return err
	}
	listener, err := socket.Listen(s.cfg.Listen, s.cfg.Limits.PeerBuffers(), noKeepAlive)
	if err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	s.server = s.newServer()
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.streamContext, s.cancelStreams = context.WithCancel(s.ctx)
	s.started = time.Now()
	s.group.Go(func() { s.run(listener) })
	s.group.Go(func() { s.loop(s.ctx) })
	s.AddSeeds(s.cfg.Seeds)
	return nil
}

func (s *Service) newServer() *message.Server {
	return message.NewServer(&http.Server{
		Handler:           s.routes(),
		ReadHeaderTimeout: headerTimeout,
		MaxHeaderBytes:    2 * int(s.cfg.Limits.RequestHeader),
		IdleTimeout:       idleTimeout,
	}, message.ServerConfig{
		Name: "peer", Memory: s.cfg.Memory, Connections: s.cfg.Limits.PeerConnections(), BodyTimeout: bodyTimeout, Scope: s.cfg.Scope, Log: s.cfg.Log,
	})
}

// AddSeeds adds seed addresses. Addresses that were added earlier are still
// polled, even if seeds lacks them: they may be the only ones that are up.
func (s *Service) AddSeeds(seeds []id.Address) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, address := range seeds {
		if address != s.cfg.Self.Peers && !s.seeds[address] {
			s.seeds[address] = true
			p := newSeedPoller(s, address)
			s.group.Go(func() { p.run(s.ctx) })
		}
	}
}

func (s *Service) run(listener net.Listener) {
	if err := s.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		s.cfg.Log.Error().Err(err).Msg("listener for peers ended")
	}
}

// Stop ends the streams, waits for the requests that peers relayed, at most
// until ctx ends, and then stops the probes.
func (s *Service) Stop(ctx context.Context) error {
	s.cancelStreams()
	err := s.server.Stop(ctx)
	s.cancel()
	s.group.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.links {
		l.close()
	}
	return err
}

// SetListed updates the roster with the platform's list of daemons.
func (s *Service) SetListed(list []roster.ListedMember) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.SetListed(time.Now(), list)
	s.updateLinks()
}

// Self returns this daemon's own membership entry.
func (s *Service) Self() roster.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Self()
}

// Generation returns a number that increases with each change of the result of
// Members.
func (s *Service) Generation() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Generation() + s.responsivenessChanges.Load()
}

// Members returns all known daemons, including this one. A peer that did not
// respond to the direct ping of this daemon's last probe is reported as suspect,
// even if indirect pings reach it.
func (s *Service) Members() []roster.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	members := slices.Clone(s.table.Members())
	for i := range members {
		m := &members[i]
		if l := s.links[m.Host]; l != nil && m.State == roster.Alive && l.unresponsive.Load() {
			m.State = roster.Suspect
		}
	}
	return members
}

// Find returns the member that runs the given incarnation, unless it is dead.
func (s *Service) Find(i id.Incarnation) (roster.Member, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Find(i)
}

// Ready reports whether this daemon has joined and is not leaving.
func (s *Service) Ready() bool { return s.Self().State == roster.Alive }

// Leave marks this daemon as leaving, so that callers are no longer given its
// address, and notifies peers immediately. The requests that peers relay until they
// know are taken or rejected by the plan of the stop.
func (s *Service) Leave(plan *departure.Plan) {
	s.departure.Store(plan)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.SetState(roster.Leaving)
	s.notifyRandomPeers(leaveFanout)
}

// State returns this daemon's view of the roster.
func (s *Service) State() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	return State{Self: s.table.Self(), Members: s.table.Members()}
}

// State is the peer service's part of a dump.
type State struct {
	Self    roster.Member
	Members []roster.Member
}

// updateLinks creates a link for each member that has none, replaces the links
// of members whose address changed, and closes the links of members that are
// gone. The caller holds mu.
func (s *Service) updateLinks() {
	if g := s.table.Generation(); g == s.linksGeneration {
		return
	}
	s.linksGeneration = s.table.Generation()
	wanted := make(map[id.Host]bool)
	for _, m := range s.table.Members() {
		if m.Host == s.cfg.Self.Host || m.Peers == "" {
			continue
		}
		wanted[m.Host] = true
		if l := s.links[m.Host]; l != nil && l.address == m.Peers {
			continue
		}
		s.replaceLink(m)
	}
	for host, l := range s.links {
		if !wanted[host] {
			l.close()
			delete(s.links, host)
		}
	}
}

func (s *Service) replaceLink(m roster.Member) {
	if old := s.links[m.Host]; old != nil {
		old.close()
	}
	l := newLink(s, m)
	s.links[m.Host] = l
	s.group.Go(func() { l.run(l.ctx) })
}

func (s *Service) link(host id.Host) *link {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.links[host]
}
