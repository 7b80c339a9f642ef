// Package registry keeps a copy of what the platform publishes, the
// configuration and the registered targets, and hands on what changes. A few
// daemons of the fleet read from the platform and the others follow them.
// Package platform speaks to the platform and package peer to the daemons; View
// decides what their answers mean, and chooser whom to read from.
package registry

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/briarrouter/briarrouter/backlog"
	"github.com/briarrouter/briarrouter/clock"
	"github.com/briarrouter/briarrouter/configuration"
	"github.com/briarrouter/briarrouter/id"
	"github.com/briarrouter/briarrouter/kernel"
	"github.com/briarrouter/briarrouter/roster"
	"github.com/briarrouter/briarrouter/schedule"
	"github.com/briarrouter/briarrouter/steering"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"
)

// ServiceName is the name of the Registry in the kernel. It gives the lists of
// targets.
const ServiceName kernel.Name = "targets"

// ErrHistoryLost means that the changes since a revision are no longer held, so
// that everything must be listed anew.
var ErrHistoryLost = errors.New("registry: history is lost")

// source is where changes are read from.
type source interface {
	// List returns everything that is published. Changes made while it is read
	// may be missing; they come after the listing's revision.
	List(ctx context.Context) (Listing, error)
	// Watch waits for changes after a revision and returns them, or nothing
	// after a time without any.
	Watch(ctx context.Context, after Revision) (Listing, error)
}

// store is where configurations go.
type store interface {
	Collect(index []byte, get func(id.Service) ([]byte, error)) (configuration.Documents, error)
	Offer(docs configuration.Documents, source string) configuration.Verdict
}

// peers is the other daemons.
type peers interface {
	Self() roster.Member
	Members() []roster.Member
	// Generation returns a number that grows with each change of Members.
	Generation() uint64
	// Follow calls take for each message of a peer's feed until the context
	// ends or the peer does not answer, and returns why.
	Follow(ctx context.Context, host id.Host, take func(Message)) error
}

// maxFeed is how many updates a feed holds. A follower that is further behind
// gets everything instead.
const maxFeed = 1024

// Message is a part of a daemon's feed.
type Message struct {
	Listing Listing
	// Age is how old the sender's copy is.
	Age time.Duration
}

// Config makes a Registry.
type Config struct {
	Source source
	Log    zerolog.Logger
	Scope  tally.Scope
	// Seed tells that other daemons ask this one first.
	Seed bool
}

// Registry keeps the copy of one daemon.
type Registry struct {
	cfg     Config
	store   store
	peers   peers
	context context.Context
	cancel  context.CancelFunc
	group   conc.WaitGroup

	// handing is held while a list is read and handed on, so that an older list
	// never follows a newer one. It is taken before mu.
	handing sync.Mutex

	mu      sync.Mutex
	view    *View
	feed    *backlog.Log[Update]
	chooser *chooser
	// confirmed is as of when the copy is complete, by source; the platform is
	// the empty host. Sources that are no longer read from stay until they are
	// too old.
	confirmed map[id.Host]time.Time
	// reader is the task that reads from the platform; nil while there is none.
	reader *reader
	// followers has an entry for each peer that is followed.
	followers map[id.Host]*follower
	// watchers holds who wants to hear of a service's targets.
	watchers map[id.Service][]*watcher
	// fleet is the ranked daemons as of the roster's generation.
	fleet      []Reader
	generation uint64
	calls      int64
}

// watcher is who wants to hear of a service's targets.
type watcher struct{ take func([]schedule.Endpoint) }

// New returns a registry that does not read yet.
func New(cfg Config) *Registry {
	return &Registry{
		cfg: cfg, view: NewView(), confirmed: make(map[id.Host]time.Time), followers: make(map[id.Host]*follower),
		watchers: make(map[id.Service][]*watcher), feed: backlog.New[Update](maxFeed),
	}
}

// Start begins to read.
func (r *Registry) Start(_ context.Context, k *kernel.Kernel) error {
	var err error
	if r.store, err = kernel.Find[store](k, configuration.ServiceName); err != nil {
		return err
	}
	if r.peers, err = kernel.Find[peers](k, "peer"); err != nil {
		return err
	}
	r.context, r.cancel = context.WithCancel(context.Background())
	self := r.peers.Self()
	r.chooser = newChooser(Reader{Host: self.Host, Domain: self.FailureDomain}, r.cfg.Seed, time.Now())
	r.group.Go(func() { r.loop(r.context) })
	return nil
}

// Stop ends the reading.
func (r *Registry) Stop(context.Context) error {
	r.cancel()
	r.group.Wait()
	return nil
}

const (
	// tick is the time between two looks at the sources and at targets in doubt.
	tick = 100 * time.Millisecond
	// startTick is the time between two looks before there is a copy.
	startTick = 20 * time.Millisecond
)

// loop chooses the sources and lets time pass for the view.
func (r *Registry) loop(ctx context.Context) {
	for ctx.Err() == nil {
		r.turn(time.Now())
		r.mu.Lock()
		pause := tick
		if r.view.At() == 0 {
			pause = startTick
		}
		r.mu.Unlock()
		clock.Sleep(ctx, pause)
	}
}

func (r *Registry) turn(now time.Time) {
	fleet := r.rankedFleet()
	r.mu.Lock()
	effects := r.view.Tick(now)
	s := r.chooser.choose(now, fleet, r.age(now, true), r.age(now, false))
	r.readFrom(s)
	r.mu.Unlock()
	r.publish(effects, nil)
}

// readers is the service by whose rank the daemons that read from the platform
// are chosen.
const readers id.Service = "registry"

// rankedFleet returns the daemons that run, ranked alike by all. Only the head
// of the list is ranked; it is longer than what is read of it.
func (r *Registry) rankedFleet() []Reader {
	generation := r.peers.Generation()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.fleet != nil && generation == r.generation {
		return r.fleet
	}
	var running []roster.Member
	for _, m := range r.peers.Members() {
		if m.State == roster.Alive || m.State == roster.Joining {
			m.State = roster.Alive
			running = append(running, m)
		}
	}
	ranked := steering.New(running).RankRoomy(readers)
	r.fleet, r.generation = nil, generation
	for _, m := range ranked {
		r.fleet = append(r.fleet, Reader{Host: m.Host, Domain: m.FailureDomain})
	}
	if len(r.fleet) == 0 {
		r.fleet = []Reader{r.chooser.self}
	}
	return r.fleet
}

// age returns how old the copy is; negative where there is none. The lock is
// held.
func (r *Registry) age(now time.Time, withPlatform bool) time.Duration {
	var last time.Time
	for host, at := range r.confirmed {
		if (host != "" || withPlatform) && at.After(last) {
			last = at
		}
	}
	if last.IsZero() {
		return -1
	}
	return now.Sub(last)
}

// readFrom starts and ends tasks until they are those of s. The lock is held.
func (r *Registry) readFrom(s Sources) {
	if s.Platform != (r.reader != nil) {
		r.cfg.Log.Info().Bool("Platform", s.Platform).Bool("InNeed", r.chooser.inNeed).Int("Fleet", len(r.fleet)).
			Dur("Age", r.age(time.Now(), true)).Uint64("Revision", uint64(r.view.At())).Msg("reading from the platform changes")
	}
	switch {
	case s.Platform && r.reader == nil:
		r.reader = newReader(r)
		r.group.Go(r.reader.run)
	case !s.Platform && r.reader != nil:
		r.reader.cancel()
		r.reader = nil
	}
	for _, host := range s.Peers {
		if r.followers[host] == nil {
			f := newFollower(r, host)
			r.followers[host] = f
			r.group.Go(f.run)
		}
	}
	for host, f := range r.followers {
		if !slices.Contains(s.Peers, host) {
			f.cancel()
			delete(r.followers, host)
		}
	}
}

// confirm records that the copy is complete as of a time, by a source.
func (r *Registry) confirm(source id.Host, at time.Time) {
	if at.After(r.confirmed[source]) {
		r.confirmed[source] = at
	}
}

// publish hands on what took effect: to the followers, to the store of
// configurations and to those who watch targets. Before is the configuration
// before.
func (r *Registry) publish(effects []Update, before []byte) {
	if len(effects) == 0 {
		return
	}
	r.mu.Lock()
	r.feed.Append(effects)
	document := r.view.Configuration()
	r.mu.Unlock()
	services := make(map[id.Service]bool)
	for _, u := range effects {
		r.logUpdate(u)
		if u.Target == "" {
			continue
		}
		if u.Entry != nil {
			services[u.Entry.Service] = true
			continue
		}
		// What service the target had is not said; the lists are short.
		r.mu.Lock()
		for s := range r.watchers {
			services[s] = true
		}
		r.mu.Unlock()
	}
	if document != nil && (before == nil || &before[0] != &document[0]) {
		r.offer(document)
	}
	for _, s := range slices.Sorted(maps.Keys(services)) {
		r.hand(s)
	}
}

func (r *Registry) logUpdate(u Update) {
	event := r.cfg.Log.Info().Uint64("Revision", uint64(u.Revision))
	switch {
	case u.Target == "":
		event.Int("Bytes", len(u.Configuration)).Msg("configuration published")
	case u.Entry == nil:
		event.Str("Target", string(u.Target)).Msg("target is gone")
	default:
		event.Str("Target", string(u.Target)).Str("Service", string(u.Entry.Service)).Str("Address", string(u.Entry.Address)).
			Bool("Leaving", u.Entry.Leaving).Uint64("Incarnation", u.Entry.Incarnation).Msg("target registered")
	}
}

func (r *Registry) offer(document []byte) {
	docs, err := r.store.Collect(document, func(id.Service) ([]byte, error) { return nil, errors.New("the document is whole") })
	if err != nil {
		r.cfg.Log.Error().Err(err).Msg("configuration cannot be read")
		return
	}
	r.store.Offer(docs, "platform")
}

// hand tells who waits for the targets of a service.
func (r *Registry) hand(s id.Service) {
	r.handing.Lock()
	defer r.handing.Unlock()
	r.mu.Lock()
	list, watchers := r.view.Targets(s), r.watchers[s]
	r.mu.Unlock()
	for _, w := range watchers {
		w.take(list)
	}
}

// WatchTargets calls take for each change of a service's targets, from the
// first listing on, until the context ends.
func (r *Registry) WatchTargets(ctx context.Context, group *conc.WaitGroup, s id.Service, take func([]schedule.Endpoint)) {
	w := &watcher{take: take}
	r.mu.Lock()
	r.watchers[s] = append(r.watchers[s], w)
	r.mu.Unlock()
	group.Go(func() { w.run(ctx, r, s) })
}

// firstWait is the time between two looks for the first listing.
const firstWait = 20 * time.Millisecond

// run gives a watcher the list that is there already.
func (w *watcher) run(ctx context.Context, r *Registry, s id.Service) {
	for ctx.Err() == nil && !w.first(r, s) {
		clock.Sleep(ctx, firstWait)
	}
}

func (w *watcher) first(r *Registry, s id.Service) bool {
	r.handing.Lock()
	defer r.handing.Unlock()
	r.mu.Lock()
	ready, list := r.view.At() > 0, r.view.Targets(s)
	r.mu.Unlock()
	if ready {
		w.take(list)
	}
	return ready
}

// Changes returns what a follower at a cursor needs, where the feed goes on,
// and a channel that is closed when there is more. A cursor of another process
// must not be given.
func (r *Registry) Changes(c backlog.Cursor, first bool) (Message, backlog.Cursor, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := Message{Age: r.age(time.Now(), true)}
	updates, ok := r.feed.Since(c)
	if first || !ok {
		m.Listing = r.view.Everything()
	} else {
		m.Listing = Listing{Updates: updates, At: r.view.At()}
	}
	return m, r.feed.End(), r.feed.Changed()
}

// Targets returns nothing: peers follow the feed instead of asking for
// documents.
func (r *Registry) Targets(id.Service) []byte { return nil }
