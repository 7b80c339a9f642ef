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

// format decodes published configurations.
type format interface {
	Compose(docs Documents) (*Snapshot, error)
	Collect(index []byte, current *Snapshot, fetch func(id.Service) ([]byte, error)) (Documents, error)
}

type StoreConfig struct {
	Log zerolog.Logger
	// Format defaults to INI.
	Format format
}

// Store holds the configuration in force. It starts empty and never returns to
// an earlier version.
type Store struct {
	log zerolog.Logger
	// changeMu is held while the configuration in force or the format is replaced.
	// The fields that are atomic pointers are read without it.
	changeMu    sync.Mutex
	format      atomic.Pointer[format]
	current     atomic.Pointer[Snapshot]
	lastRefusal atomic.Pointer[Refusal]
	// conflicts counts offers with the number of the version in force but
	// another digest.
	conflicts atomic.Int64
	// first is closed when the first configuration is in force.
	first     chan struct{}
	firstOnce sync.Once
}

// Refusal describes the last configuration that was rejected.
type Refusal struct {
	Source string
	Reason string
}

func NewStore(cfg StoreConfig) *Store {
	if cfg.Format == nil {
		cfg.Format = INI{}
	}
	s := &Store{log: cfg.Log, first: make(chan struct{})}
	s.format.Store(&cfg.Format)
	return s
}

// SetFormat replaces the format and composes the configuration in force again.
// On an error, nothing changes.
func (s *Store) SetFormat(f format) error {
	s.changeMu.Lock()
	defer s.changeMu.Unlock()
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

func (s *Store) Start(context.Context, *kernel.Kernel) error { return nil }

func (s *Store) Stop(context.Context) error { return nil }

// Current returns the configuration in force, or nil.
func (s *Store) Current() *Snapshot { return s.current.Load() }

// Await waits until a configuration is in force and returns it. It returns nil
// if the context ends first.
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

// Collect gathers the documents that an index names, in the store's format.
func (s *Store) Collect(index []byte, fetch func(id.Service) ([]byte, error)) (Documents, error) {
	return (*s.format.Load()).Collect(index, s.Current(), fetch)
}

// Offer puts the documents in force if they are valid and newer than those in
// force. The source is named in the log and in the dump.
func (s *Store) Offer(docs Documents, source string) Verdict {
	s.changeMu.Lock()
	defer s.changeMu.Unlock()
	next, err := (*s.format.Load()).Compose(docs)
	if err != nil {
		s.lastRefusal.Store(&Refusal{Source: source, Reason: err.Error()})
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
		s.logAccountProblems(next)
	}
	return verdict
}

// maxLoggedProblems bounds the log lines about contradictions in one configuration.
const maxLoggedProblems = 16

func (s *Store) logAccountProblems(next *Snapshot) {
	if next.Accounts == nil {
		return
	}
	problems := next.Accounts.Problems()
	for _, p := range problems[:min(len(problems), maxLoggedProblems)] {
		s.log.Warn().Stringer("Version", next.Version).Str("Problem", string(p)).Msg("client accounts contradict each other")
	}
}

// Assess returns what Offer would return, and changes nothing.
func (s *Store) Assess(docs Documents) Verdict {
	next, err := (*s.format.Load()).Compose(docs)
	if err != nil {
		return Invalid
	}
	return Accept(s.Version(), next.Version)
}

// StoreState is the store's part of a dump.
type StoreState struct {
	Version   id.ConfigVersion
	Services  int
	Accounts  int
	Conflicts int64
	Refused   *Refusal
}

func (s *Store) State() any {
	st := StoreState{Version: s.Version(), Conflicts: s.conflicts.Load(), Refused: s.lastRefusal.Load()}
	if c := s.Current(); c != nil {
		st.Services = len(c.Services)
		if c.Accounts != nil {
			st.Accounts = c.Accounts.Len()
		}
	}
	return st
}
