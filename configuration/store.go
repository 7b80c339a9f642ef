package configuration

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/briarrouter/briarrouter/id"
	"github.com/briarrouter/briarrouter/kernel"
	"github.com/rs/zerolog"
)

// ServiceName is the name of the Store in the kernel.
const ServiceName kernel.Name = "configuration"

// format reads configurations as they are published.
type format interface {
	Compose(docs Documents) (*Snapshot, error)
	Collect(index []byte, have *Snapshot, get func(id.Service) ([]byte, error)) (Documents, error)
}

// StoreConfig makes a Store.
type StoreConfig struct {
	Log zerolog.Logger
	// Format is INI where it is nil.
	Format format
}

// Store holds the configuration in force. It starts empty and never goes back
// to an earlier version.
type Store struct {
	log zerolog.Logger
	// changing is held while a configuration or the format changes.
	changing sync.Mutex
	format   atomic.Pointer[format]
	current  atomic.Pointer[Snapshot]
	refused  atomic.Pointer[Refusal]
	// conflicts counts offers whose number was in force with other contents.
	conflicts atomic.Int64
	// first is closed when the first configuration is in force.
	first     chan struct{}
	firstOnce sync.Once
}

// Refusal is the last configuration that was refused, and why.
type Refusal struct {
	Source string
	Reason string
}

// NewStore returns an empty store.
func NewStore(cfg StoreConfig) *Store {
	if cfg.Format == nil {
		cfg.Format = INI{}
	}
	s := &Store{log: cfg.Log, first: make(chan struct{})}
	s.format.Store(&cfg.Format)
	return s
}

// SetFormat reads configurations by another format from now on, and the one in
// force anew. An error leaves everything as it was.
func (s *Store) SetFormat(f format) error {
	s.changing.Lock()
	defer s.changing.Unlock()
	if old := s.current.Load(); old != nil {
		next, err := f.Compose(old.Documents)
		if err != nil {
			return err
		}
		s.current.Store(next)
	}
	s.format.Store(&f)
	return nil
}

// Start does nothing: the store has no work of its own.
func (s *Store) Start(context.Context, *kernel.Kernel) error { return nil }

// Stop does nothing.
func (s *Store) Stop(context.Context) error { return nil }

// Current returns the configuration in force, or nil.
func (s *Store) Current() *Snapshot { return s.current.Load() }

// Await returns the configuration in force, and waits for the first one while
// the context lasts. It returns nil where none came.
func (s *Store) Await(ctx context.Context) *Snapshot {
	select {
	case <-s.first:
	case <-ctx.Done():
	}
	return s.Current()
}

// Version returns the version in force, or the zero version.
func (s *Store) Version() id.ConfigVersion {
	if c := s.Current(); c != nil {
		return c.Version
	}
	return id.ConfigVersion{}
}

// Collect gathers the documents of an index, as the store's format has them.
func (s *Store) Collect(index []byte, get func(id.Service) ([]byte, error)) (Documents, error) {
	return (*s.format.Load()).Collect(index, s.Current(), get)
}

// Offer puts the documents in force if they are whole and newer than what is
// in force. The source is named in the log.
func (s *Store) Offer(docs Documents, source string) Verdict {
	s.changing.Lock()
	defer s.changing.Unlock()
	next, err := (*s.format.Load()).Compose(docs)
	if err != nil {
		s.refused.Store(&Refusal{Source: source, Reason: err.Error()})
		s.log.Error().Str("Source", source).Err(err).Msg("configuration refused")
		return Invalid
	}
	inForce := s.Version()
	if Conflict(inForce, next.Version) {
		s.conflicts.Add(1)
		s.log.Error().Str("Source", source).Stringer("InForce", inForce).Stringer("Offered", next.Version).
			Msg("two configurations have the same version number")
	}
	verdict := Accept(inForce, next.Version)
	if verdict == Accepted {
		s.current.Store(next)
		s.firstOnce.Do(func() { close(s.first) })
		s.log.Info().Str("Source", source).Stringer("Version", next.Version).Msg("configuration in force")
	}
	return verdict
}

// StoreState is the store's part of a dump.
type StoreState struct {
	Version   id.ConfigVersion
	Services  int
	Conflicts int64
	Refused   *Refusal
}

// State returns the version in force and the last refusal.
func (s *Store) State() any {
	st := StoreState{Version: s.Version(), Conflicts: s.conflicts.Load(), Refused: s.refused.Load()}
	if c := s.Current(); c != nil {
		st.Services = len(c.Services)
	}
	return st
}
