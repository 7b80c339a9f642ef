// Package peer speaks to the other daemons: it probes them, exchanges news of
// the roster, of configurations and of quarantines, and relays requests.
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
	"github.com/briarrouter/briarrouter/quarantine"
	"github.com/briarrouter/briarrouter/roster"
	"github.com/briarrouter/briarrouter/router"
	"github.com/briarrouter/briarrouter/schedule"
	"github.com/briarrouter/briarrouter/settings"
	"github.com/briarrouter/briarrouter/work"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"
	"golang.org/x/time/rate"
)

// ServiceName is the name of the Service in the kernel.
const ServiceName kernel.Name = "peer"

// store holds the configuration in force.
type store interface {
	Current() *configuration.Snapshot
	Version() id.ConfigVersion
	Collect(index []byte, get func(id.Service) ([]byte, error)) (configuration.Documents, error)
	Offer(docs configuration.Documents, source string) configuration.Verdict
}

// sightings is what the daemon saw of targets and must tell its peers.
type sightings interface {
	Quarantines(n int) []quarantine.Notice
	LearnQuarantines(notices []quarantine.Notice)
	Departures(n int) []departure.Notice
	LearnDepartures(notices []departure.Notice)
	// Sightings returns what was seen of targets behind a cursor, where the
	// sequence goes on, and a channel that is closed when there is more.
	Sightings(c backlog.Cursor, first bool) ([]schedule.Sighting, backlog.Cursor, <-chan struct{})
	// Urgent gives services with news that their standbys need at once.
	Urgent() <-chan id.Service
}

// handler answers requests that peers relay.
type handler interface {
	HandleRelayed(ctx context.Context, req *work.Request, purpose router.Purpose) work.Answer
}

// Config makes a Service.
type Config struct {
	// Self is this daemon's first statement about itself.
	Self roster.Member
	// Listen is the address to listen on. Others may be told another one.
	Listen id.Address
	Limits settings.Limits
	Timing settings.Timing
	Memory *memory.Gate
	Scope  tally.Scope
	Log    zerolog.Logger
	// Seed makes the order of probes.
	Seed uint64
	// Seeds lists addresses of peers to ask first. They may be down.
	Seeds []id.Address
}

// Service is this daemon among its peers.
type Service struct {
	cfg       Config
	store     store
	sightings sightings
	// kernel is where the handler of relayed requests is found once it is
	// registered; it needs this service, so it starts later.
	kernel *kernel.Kernel
	server *http.Server
	cancel context.CancelFunc
	ctx    context.Context
	// feeds ends before ctx, since a stop waits for the feeds that are sent.
	feeds     context.Context
	stopFeeds context.CancelFunc
	group     conc.WaitGroup
	// doubts counts the changes of the links' doubts.
	doubts atomic.Uint64

	mu    sync.Mutex
	table *roster.Table
	// links has an entry for each member with an address, but this daemon.
	links map[id.Host]*link
	// contacts has an entry for each address that is asked for its news.
	contacts map[id.Address]bool
	// answered lists the peers that answered since the start.
	answered map[id.Host]bool
	// connected is the roster's generation when the links were made.
	connected uint64
	// spreads bounds how often news is spread at once.
	spreads *rate.Limiter
	started time.Time
	leaving bool
}

// New returns a service that knows no peer yet.
func New(cfg Config) *Service {
	random := rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.Self.Incarnation)))
	cfg.Self.State = roster.Joining
	return &Service{
		cfg:      cfg,
		table:    roster.New(roster.Config{Self: cfg.Self, Suspect: cfg.Timing.Suspect, Random: random}),
		links:    make(map[id.Host]*link),
		contacts: make(map[id.Address]bool),
		answered: make(map[id.Host]bool),
		spreads:  rate.NewLimiter(spreadRate, spreadBurst),
	}
}

// quiet listens without keep-alive probes: the peers probe each other.
var quiet = net.ListenConfig{KeepAlive: -1}

// headerTimeout bounds the reading of a peer's request head.
const headerTimeout = 5 * time.Second

// Start begins to listen to peers and to probe them.
func (s *Service) Start(_ context.Context, k *kernel.Kernel) error {
	s.kernel = k
	var err error
	if s.store, err = kernel.Find[store](k, configuration.ServiceName); err != nil {
		return err
	}
	if s.sightings, err = kernel.Find[sightings](k, "dispatch"); err != nil {
		return err
	}
	listener, err := quiet.Listen(context.Background(), "tcp", string(s.cfg.Listen))
	if err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	s.server = &http.Server{
		Handler:           s.routes(),
		ReadHeaderTimeout: headerTimeout,
		MaxHeaderBytes:    2 * int(s.cfg.Limits.RequestHeader),
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.feeds, s.stopFeeds = context.WithCancel(s.ctx)
	s.started = time.Now()
	s.group.Go(func() { s.run(listener) })
	s.group.Go(func() { s.loop(s.ctx) })
	s.SetSeeds(s.cfg.Seeds)
	return nil
}

// SetSeeds takes the addresses of peers to ask. Those that are asked already
// are asked on; they may still be the only ones that are up.
func (s *Service) SetSeeds(seeds []id.Address) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, address := range seeds {
		if address != s.cfg.Self.Peers && !s.contacts[address] {
			s.contacts[address] = true
			c := newContact(s, address)
			s.group.Go(func() { c.run(s.ctx) })
		}
	}
}

func (s *Service) run(listener net.Listener) {
	if err := s.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		s.cfg.Log.Error().Err(err).Msg("listener for peers ended")
	}
}

// Stop ends the probes and waits for relayed requests to end.
func (s *Service) Stop(ctx context.Context) error {
	s.stopFeeds()
	err := s.server.Shutdown(ctx)
	s.cancel()
	s.group.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.links {
		l.close()
	}
	return err
}

// SetListed takes the platform's list of daemons.
func (s *Service) SetListed(list []roster.Listed) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.SetListed(time.Now(), list)
	s.connect()
}

// Self returns this daemon's own statement.
func (s *Service) Self() roster.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Self()
}

// Generation returns a number that grows with each change of what Members
// returns.
func (s *Service) Generation() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Generation() + s.doubts.Load()
}

// Members returns every daemon that is known, with this one. One that did not
// answer this daemon's last probe counts as suspected here, before the others
// were asked about it.
func (s *Service) Members() []roster.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	members := slices.Clone(s.table.Members())
	for i := range members {
		m := &members[i]
		if l := s.links[m.Host]; l != nil && m.State == roster.Alive && l.doubted.Load() {
			m.State = roster.Suspect
		}
	}
	return members
}

// Find returns the daemon that runs the given incarnation.
func (s *Service) Find(i id.Incarnation) (roster.Member, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Find(i)
}

// Ready tells whether this daemon serves callers.
func (s *Service) Ready() bool { return s.Self().State == roster.Alive }

// Leave makes this daemon leave the answers to callers, and tells the peers at
// once.
func (s *Service) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
	s.table.SetState(roster.Leaving)
	s.tell(leaveTo)
}

// State is this daemon's view of the roster.
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

// connect makes a link for each member that has none, and ends the links of
// those that are gone. The lock is held.
func (s *Service) connect() {
	if g := s.table.Generation(); g == s.connected {
		return
	}
	s.connected = s.table.Generation()
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
