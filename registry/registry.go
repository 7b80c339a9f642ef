// Package registry keeps a copy of what the platform publishes, the
// configuration and the registered targets, and hands on what changes. Package
// platform speaks to the platform; View decides what its answers mean.
package registry

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/briarrouter/briarrouter/clock"
	"github.com/briarrouter/briarrouter/configuration"
	"github.com/briarrouter/briarrouter/id"
	"github.com/briarrouter/briarrouter/kernel"
	"github.com/briarrouter/briarrouter/schedule"
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

// Config makes a Registry.
type Config struct {
	Source source
	Log    zerolog.Logger
	Scope  tally.Scope
}

// Registry watches the platform.
type Registry struct {
	cfg    Config
	store  store
	cancel context.CancelFunc
	group  conc.WaitGroup

	mu   sync.Mutex
	view *View
	// listed tells that everything was listed once.
	listed bool
	// watchers holds who wants to hear of a service's targets.
	watchers map[id.Service][]*watcher
	calls    int64
	failures int64
}

// watcher is who wants to hear of a service's targets.
type watcher struct{ take func([]schedule.Endpoint) }

// New returns a registry that does not watch yet.
func New(cfg Config) *Registry {
	return &Registry{cfg: cfg, view: NewView(), watchers: make(map[id.Service][]*watcher)}
}

// Start begins to watch.
func (r *Registry) Start(_ context.Context, k *kernel.Kernel) error {
	var err error
	if r.store, err = kernel.Find[store](k, configuration.ServiceName); err != nil {
		return err
	}
	var ctx context.Context
	ctx, r.cancel = context.WithCancel(context.Background())
	r.group.Go(func() { r.run(ctx) })
	r.group.Go(func() { r.loop(ctx) })
	return nil
}

// Stop ends the watch.
func (r *Registry) Stop(context.Context) error {
	r.cancel()
	r.group.Wait()
	return nil
}

const (
	// firstDelay and maxDelay bound the pause after a failed call. The platform
	// charges refused calls too, and what it acknowledges after its return must
	// be in force two seconds later.
	firstDelay = 100 * time.Millisecond
	maxDelay   = 800 * time.Millisecond
	// tick is the time between two looks at targets that may have lapsed.
	tick = 200 * time.Millisecond
)

// run lists everything once, and again where the history is lost, and follows
// the changes in between.
func (r *Registry) run(ctx context.Context) {
	delay := firstDelay
	for ctx.Err() == nil {
		err := r.step(ctx)
		if err == nil {
			delay = firstDelay
			continue
		}
		if ctx.Err() != nil {
			return
		}
		clock.Sleep(ctx, delay/2+rand.N(delay/2))
		delay = min(2*delay, maxDelay)
	}
}

// step makes one call and takes its result.
func (r *Registry) step(ctx context.Context) error {
	r.mu.Lock()
	listed, after := r.listed, r.view.At()
	r.calls++
	r.mu.Unlock()
	r.cfg.Scope.Counter("platform_calls").Inc(1)
	if !listed {
		l, err := r.cfg.Source.List(ctx)
		if err != nil {
			return r.failed(ctx, err)
		}
		r.take(l, true)
		return nil
	}
	l, err := r.cfg.Source.Watch(ctx, after)
	switch {
	case errors.Is(err, ErrHistoryLost):
		r.cfg.Log.Warn().Uint64("Revision", uint64(after)).Msg("platform lost its history; everything is listed anew")
		r.mu.Lock()
		r.listed = false
		r.mu.Unlock()
		return nil
	case err != nil:
		return r.failed(ctx, err)
	}
	r.take(l, false)
	return nil
}

func (r *Registry) failed(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return err
	}
	r.mu.Lock()
	r.failures++
	first := r.failures == 1
	if !first {
		r.view.Away()
	}
	at := r.view.At()
	r.mu.Unlock()
	r.cfg.Scope.Counter("platform_failures").Inc(1)
	event := r.cfg.Log.Debug()
	if first {
		event = r.cfg.Log.Warn()
	}
	event.Uint64("Revision", uint64(at)).AnErr("Cause", err).Msg("platform does not answer")
	return err
}

// take takes what the platform answered and hands on what changed.
func (r *Registry) take(l Listing, whole bool) {
	now := time.Now()
	r.mu.Lock()
	if r.failures > 0 {
		r.cfg.Log.Info().Int64("Failures", r.failures).Uint64("Revision", uint64(l.At)).Msg("platform answers again")
	}
	r.failures = 0
	before := r.view.Configuration()
	var changed []id.Service
	if whole {
		changed = r.view.Replace(now, l)
		r.listed = true
	} else {
		changed = r.view.Apply(now, l)
	}
	document := r.view.Configuration()
	r.mu.Unlock()
	for _, u := range l.Updates {
		r.logUpdate(u)
	}
	if document != nil && (before == nil || &before[0] != &document[0]) {
		r.offer(document)
	}
	r.hand(changed)
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

// hand tells who waits for the targets of the services.
func (r *Registry) hand(services []id.Service) {
	for _, s := range services {
		r.mu.Lock()
		list, watchers := r.view.Targets(s), r.watchers[s]
		r.mu.Unlock()
		for _, w := range watchers {
			w.take(list)
		}
	}
}

// loop gives up targets that did not come back after the platform did.
func (r *Registry) loop(ctx context.Context) {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			r.mu.Lock()
			changed := r.view.Tick(now)
			r.mu.Unlock()
			r.hand(changed)
		}
	}
}

// WatchTargets calls take for each change of a service's targets, from the
// first listing on, until the context ends.
func (r *Registry) WatchTargets(ctx context.Context, group *conc.WaitGroup, s id.Service, take func([]schedule.Endpoint)) {
	w := &watcher{take: take}
	r.mu.Lock()
	r.watchers[s] = append(r.watchers[s], w)
	r.mu.Unlock()
	group.Go(func() { r.first(ctx, s, w) })
}

// firstWait is the time between two looks for the first listing.
const firstWait = 20 * time.Millisecond

// first gives a watcher the list that is there already.
func (r *Registry) first(ctx context.Context, s id.Service, w *watcher) {
	for ctx.Err() == nil {
		r.mu.Lock()
		ready, list := r.listed, r.view.Targets(s)
		r.mu.Unlock()
		if ready {
			w.take(list)
			return
		}
		clock.Sleep(ctx, firstWait)
	}
}

// Targets returns nothing: peers exchange updates, not documents.
func (r *Registry) Targets(id.Service) []byte { return nil }

// State is the registry's part of a dump.
type State struct {
	Revision Revision
	Targets  int
	Missing  int
	Calls    int64
	// Failures counts the calls in a row that failed.
	Failures int64
}

// State returns how far the copy is.
func (r *Registry) State() any {
	r.mu.Lock()
	defer r.mu.Unlock()
	return State{Revision: r.view.At(), Targets: len(r.view.targets), Missing: r.view.Missing(), Calls: r.calls, Failures: r.failures}
}
