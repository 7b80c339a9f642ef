// Package registry keeps a copy of what the platform publishes: the configuration
// and the registered targets. It passes changes on to the services of this process.
// A few daemons of the fleet read from the platform. The others follow their feeds:
// streams that start with a full listing and continue with the changes. Package
// platform implements the protocol of the platform, and package peer the one between
// daemons. View applies responses and messages to the copy, and sourceSelector
// chooses the sources.
package registry

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/briarrouter/briarrouter/backlog"
	"github.com/briarrouter/briarrouter/clock"
	"github.com/briarrouter/briarrouter/configuration"
	"github.com/briarrouter/briarrouter/id"
	"github.com/briarrouter/briarrouter/kernel"
	"github.com/briarrouter/briarrouter/rendezvous"
	"github.com/briarrouter/briarrouter/roster"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"
)

// ServiceName is the name of the Registry in the kernel. The Reader of package
// publication has the same name; a daemon runs one of the two.
const ServiceName kernel.Name = "targets"

// ErrHistoryLost means that the changes since a revision are no longer
// available, so that everything must be listed again.
var ErrHistoryLost = errors.New("registry: changes since the requested revision are no longer available")

// platformClient reads from the platform.
type platformClient interface {
	// List returns everything that is published. It may lack changes made
	// during the call; Watch returns them after the listing's revision.
	List(ctx context.Context) (Listing, error)
	// Watch waits for changes after a revision and returns them. It returns no
	// updates if there are none within the wait, and ErrHistoryLost if the changes
	// after the revision are no longer available.
	Watch(ctx context.Context, after Revision, wait time.Duration) (Listing, error)
}

// store receives the published configurations.
type store interface {
	Collect(index []byte, fetch func(id.Service) ([]byte, error)) (configuration.Documents, error)
	Offer(docs configuration.Documents, source string) configuration.Verdict
	// Assess returns what Offer would return, and changes nothing.
	Assess(docs configuration.Documents) configuration.Verdict
}

// peers gives access to the other daemons.
type peers interface {
	Self() roster.Member
	Members() []roster.Member
	// Generation returns a number that grows with each change of Members.
	Generation() uint64
	// FollowFeed calls handle for each message of a peer's feed. It returns when
	// the context ends or the peer stops responding, with the reason.
	FollowFeed(ctx context.Context, host id.Host, handle func(FeedMessage)) error
}

// feedCapacity is how many updates a feed holds. A follower that is further
// behind gets a full listing.
const feedCapacity = 1024

// FeedMessage is one message of a daemon's feed.
type FeedMessage struct {
	Listing Listing
	// Age is the age of the sender's copy; negative while it has none.
	Age time.Duration
	// Confirmation is what Age counts from.
	Confirmation Confirmation
}

type Config struct {
	Platform platformClient
	Log      zerolog.Logger
	Scope    tally.Scope
	// Seed is set if other daemons are configured to contact this one first.
	Seed bool
	// InForce is the time within which a change that the platform acknowledged must be
	// in force; positive.
	InForce time.Duration
	// OwnDomain is set if feeds from other failure domains cost.
	OwnDomain bool
}

// Registry keeps one daemon's copy of the published data up to date.
type Registry struct {
	cfg    Config
	store  store
	peers  peers
	ctx    context.Context
	cancel context.CancelFunc
	group  conc.WaitGroup
	// self is this process.
	self id.Incarnation

	// notifyMu is held while targets are read and passed to watchers, so that
	// they never get an older state after a newer one. It is locked before mu.
	notifyMu sync.Mutex
	// notified holds the service under which each target was last passed to watchers.
	// It is guarded by notifyMu.
	notified map[id.Target]id.Service

	mu   sync.Mutex
	view *View
	// offered is the configuration document that was last offered to the store.
	offered  []byte
	feed     *backlog.Log[Update]
	selector *sourceSelector
	// confirmations tells which confirmations were received from other daemons.
	confirmations confirmations
	// ownConfirmations counts the confirmations of the platform to this process.
	ownConfirmations uint64
	// latest is the confirmation of the latest time in confirmed.
	latest Confirmation
	// confirmed is the time as of which each source last confirmed that the
	// copy is complete. The empty host stands for the platform. The entry of a
	// source that is no longer read stays valid.
	confirmed map[id.Host]time.Time
	// announced is the latest time in confirmed of which the followers were told at once.
	announced time.Time
	// reader is nil while this daemon does not read from the platform.
	reader *platformReader
	// followers holds the follower of each peer that is followed.
	followers map[id.Host]*follower
	watchers  map[id.Service][]*watcher
	// fleet is the ranked list of daemons at the time when peers.Generation
	// returned fleetGeneration.
	fleet           []Daemon
	fleetGeneration uint64
	platformCalls   int64
}

// New returns a registry that reads nothing until Start.
func New(cfg Config) *Registry {
	r := &Registry{
		cfg: cfg, confirmed: make(map[id.Host]time.Time), followers: make(map[id.Host]*follower),
		confirmations: make(confirmations), watchers: make(map[id.Service][]*watcher), notified: make(map[id.Target]id.Service), feed: backlog.New[Update](feedCapacity),
	}
	r.view = NewView(r.assess)
	return r
}

// Start starts reading from the selected sources.
func (r *Registry) Start(_ context.Context, k *kernel.Kernel) error {
	var err error
	if r.store, err = kernel.Find[store](k, configuration.ServiceName); err != nil {
		return err
	}
	if r.peers, err = kernel.Find[peers](k, "peer"); err != nil {
		return err
	}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	self := r.peers.Self()
	r.self = self.Incarnation
	r.selector = newSourceSelector(Daemon{Host: self.Host, FailureDomain: self.FailureDomain}, r.cfg.Seed, r.cfg.InForce, time.Now())
	r.selector.ownDomain = r.cfg.OwnDomain
	r.group.Go(func() { r.loop(r.ctx) })
	return nil
}

func (r *Registry) Stop(context.Context) error {
	r.cancel()
	r.group.Wait()
	return nil
}

const (
	// maintenanceInterval is the interval between calls of maintain.
	maintenanceInterval = 100 * time.Millisecond
	// startMaintenanceInterval replaces maintenanceInterval until there is a copy.
	startMaintenanceInterval = 20 * time.Millisecond
)

func (r *Registry) loop(ctx context.Context) {
	for ctx.Err() == nil {
		r.maintain(time.Now())
		r.mu.Lock()
		pause := maintenanceInterval
		if r.view.Revision() == 0 {
			pause = startMaintenanceInterval
		}
		r.mu.Unlock()
		clock.Sleep(ctx, pause)
	}
}

// maintain performs delayed removals that are due and selects the sources anew.
func (r *Registry) maintain(now time.Time) {
	fleet := r.rankedFleet()
	r.mu.Lock()
	applied := r.view.Expire(now)
	s := r.selector.selectSources(now, fleet, r.age(now, true), r.age(now, false))
	r.setSources(s)
	r.mu.Unlock()
	r.publish(applied, nil)
}

// rankingKey is hashed in place of a service name to rank the daemons. The first
// ones of the ranking read from the platform.
const rankingKey id.Service = "registry"

// rankedFleet returns the daemons that are alive or joining, in the same order on
// every daemon with the same membership; if there are none, this daemon alone.
// Joining members are ranked as alive, because rendezvous.New would omit them.
func (r *Registry) rankedFleet() []Daemon {
	generation := r.peers.Generation()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.fleet != nil && generation == r.fleetGeneration {
		return r.fleet
	}
	var eligible []roster.Member
	for _, m := range r.peers.Members() {
		if m.State == roster.Alive || m.State == roster.Joining {
			m.State = roster.Alive
			eligible = append(eligible, m)
		}
	}
	ranked := rendezvous.New(eligible).RankByCapacity(rankingKey)
	r.fleet, r.fleetGeneration = nil, generation
	for _, m := range ranked {
		r.fleet = append(r.fleet, Daemon{Host: m.Host, FailureDomain: m.FailureDomain})
	}
	if len(r.fleet) == 0 {
		r.fleet = []Daemon{r.selector.self}
	}
	return r.fleet
}

// age returns how long ago a source last confirmed the copy; it ignores the
// platform unless withPlatform is set. It is negative if none has confirmed the
// copy. The caller holds mu.
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

// setSources starts and stops the reader and the followers, so that they match s.
// The caller holds mu.
func (r *Registry) setSources(s Sources) {
	if s.Platform != (r.reader != nil) {
		r.cfg.Log.Info().Bool("Platform", s.Platform).Bool("InNeed", r.selector.fallback).Int("Fleet", len(r.fleet)).
			Dur("Age", r.age(time.Now(), true)).Uint64("Revision", uint64(r.view.Revision())).Msg("reading from the platform changes")
	}
	switch {
	case s.Platform && r.reader == nil:
		r.reader = newPlatformReader(r)
		r.group.Go(r.reader.run)
	case !s.Platform && r.reader != nil:
		r.reader.cancel()
		r.reader = nil
		r.view.StopReading()
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

// confirm records that a source confirmed that the copy is complete as of a
// time. The caller holds mu.
func (r *Registry) confirm(source id.Host, at time.Time, c Confirmation) {
	latest := true
	for _, other := range r.confirmed {
		latest = latest && at.After(other)
	}
	if latest {
		r.latest = c
	}
	if at.After(r.confirmed[source]) {
		r.confirmed[source] = at
	}
	if at.Sub(r.announced) >= announceInterval {
		r.announced = at
		r.feed.Wake()
	}
}

// confirmFromPlatform records that the platform confirmed that the copy is complete as of
// a time. The caller holds mu.
func (r *Registry) confirmFromPlatform(at time.Time) {
	r.ownConfirmations++
	r.confirm("", at, Confirmation{By: r.self, Number: r.ownConfirmations})
}

// confirmFromPeer records the age of a peer's copy. It ignores a confirmation that is
// already known, and that of a copy of an earlier era. The caller holds mu.
func (r *Registry) confirmFromPeer(now time.Time, host id.Host, m FeedMessage) {
	if m.Age >= 0 && m.Listing.Era >= r.view.Era() && m.Confirmation.By != r.self && r.confirmations.add(now, m.Confirmation) {
		r.confirm(host, now.Add(-m.Age), m.Confirmation)
	}
}

// announceInterval is by how much a copy must have become newer for its followers to be
// told at once. They would hear it with the next regular message, and theirs a further
// one later.
const announceInterval = 100 * time.Millisecond

// publish passes updates that took effect to the peers that follow this daemon, to
// the configuration store and to the watchers of targets. Before is the
// configuration document before the updates; if it is nil, the current document
// is offered to the store even if it did not change.
func (r *Registry) publish(applied []Update, before []byte) {
	if len(applied) == 0 {
		return
	}
	r.mu.Lock()
	r.feed.Append(withoutConfigurations(applied))
	document := r.view.Configuration()
	r.mu.Unlock()
	r.logUpdates(applied)
	if document != nil && (before == nil || !sameDocument(before, document)) {
		r.offer(document)
		r.mu.Lock()
		r.offered = document
		r.mu.Unlock()
	}
	r.notifyWatchers()
}

// maxLoggedUpdates bounds the targets that are logged one by one. After a listing, there
// may be as many updates as targets.
const maxLoggedUpdates = 64

func (r *Registry) logUpdates(applied []Update) {
	if len(applied) > maxLoggedUpdates {
		r.cfg.Log.Info().Int("Updates", len(applied)).Uint64("Revision", uint64(applied[len(applied)-1].Revision)).
			Msg("many targets registered or gone; each is logged at level debug")
	}
	for _, u := range applied {
		level := zerolog.InfoLevel
		if len(applied) > maxLoggedUpdates && u.Target != "" {
			level = zerolog.DebugLevel
		}
		r.logUpdate(level, u)
	}
}

func (r *Registry) logUpdate(level zerolog.Level, u Update) {
	event := r.cfg.Log.WithLevel(level).Uint64("Era", uint64(u.Era)).Uint64("Revision", uint64(u.Revision))
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

// Changes returns what a follower at cursor c lacks, the cursor for its next
// call, and a channel that is closed when there is more. The follower gets a
// full listing if first is set or c is too old. C must have been issued by this
// process.
func (r *Registry) Changes(c backlog.Cursor, first bool) (FeedMessage, backlog.Cursor, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := FeedMessage{Age: r.age(time.Now(), true), Confirmation: r.latest}
	updates, ok := r.feed.Since(c)
	if first || !ok {
		m.Listing = r.view.FullListing(time.Now())
	} else {
		m.Listing = r.view.changes(r.view.withNewestConfiguration(updates))
	}
	return m, r.feed.End(), r.feed.Changed()
}

// Targets returns nil. Package peer then tells the requesting peer that there is no
// such list. Peers follow the feed instead of requesting lists.
func (r *Registry) Targets(id.Service) []byte { return nil }
