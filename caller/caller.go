// Package caller speaks HTTP to callers: it tells them which addresses to use,
// takes their requests and gives them the answers.
package caller

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/briarrouter/briarrouter/configuration"
	"github.com/briarrouter/briarrouter/id"
	"github.com/briarrouter/briarrouter/kernel"
	"github.com/briarrouter/briarrouter/memory"
	"github.com/briarrouter/briarrouter/roster"
	"github.com/briarrouter/briarrouter/settings"
	"github.com/briarrouter/briarrouter/work"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"
	"golang.org/x/net/netutil"
)

// ServiceName is the name of the Server in the kernel.
const ServiceName kernel.Name = "caller"

// handler answers requests.
type handler interface {
	Handle(ctx context.Context, req *work.Request) work.Answer
	KeyPrefix() string
	Addresses(s id.Service, n int) []roster.Member
}

// member is this daemon among the others.
type member interface {
	Leave()
}

// policies gives the configuration in force.
type policies interface {
	Current() *configuration.Snapshot
}

// dialect is how callers write what a request needs and read what an answer
// says.
type dialect interface {
	// Decode turns the head of a request into a request. An error tells the
	// caller what is accepted.
	Decode(r *http.Request, now time.Time) (*work.Request, error)
	// Encode returns the fields of an answer.
	Encode(request id.Request, a work.Answer) http.Header
}

// Config makes a Server.
type Config struct {
	Address id.Address
	Limits  settings.Limits
	Timing  settings.Timing
	Memory  *memory.Gate
	Log     zerolog.Logger
	// Dialect is the project's own where it is nil. Callers of another one ask
	// elsewhere which addresses to use.
	Dialect dialect
}

// Server is the front end for callers.
type Server struct {
	cfg      Config
	dialect  dialect
	handler  handler
	member   member
	policies policies
	listener net.Listener
	group    conc.WaitGroup
	// timing is the time spans in force; never nil.
	timing atomic.Pointer[settings.Timing]
	// draining tells that every answer ends its connection.
	draining atomic.Bool

	mu sync.Mutex
	// connections holds the connections that are served.
	connections map[*connection]bool
	// idle is signalled when a connection ends.
	idle chan struct{}
}

// New returns a server that does not listen yet.
func New(cfg Config) *Server {
	s := &Server{cfg: cfg, dialect: cfg.Dialect, connections: make(map[*connection]bool), idle: make(chan struct{}, 1)}
	if s.dialect == nil {
		s.dialect = Dialect{}
	}
	s.timing.Store(&cfg.Timing)
	return s
}

// SetTiming puts other time spans in force. A stop that has begun and a request
// that is read keep those that they began with.
func (s *Server) SetTiming(t settings.Timing) { s.timing.Store(&t) }

// limits bounds what a caller may send.
type limits = configuration.Limits

// idleTimeout is how long a caller's connection may lie idle where the
// configuration does not say.
const idleTimeout = time.Minute

// limits returns the bounds of the configuration in force, or those of the
// settings where it has none.
func (s *Server) limits() limits {
	l := limits{Header: s.cfg.Limits.RequestHeader, Body: s.cfg.Limits.RequestBody, HeadTimeout: s.timing.Load().SlowCaller, IdleTimeout: idleTimeout}
	if s.policies == nil {
		return l
	}
	current := s.policies.Current()
	if current == nil {
		return l
	}
	if current.Limits.Header > 0 {
		l.Header = current.Limits.Header
	}
	if current.Limits.Body > 0 {
		l.Body = current.Limits.Body
	}
	if current.Limits.HeadTimeout > 0 {
		l.HeadTimeout = current.Limits.HeadTimeout
	}
	if current.Limits.IdleTimeout > 0 {
		l.IdleTimeout = current.Limits.IdleTimeout
	}
	return l
}

// Start begins to listen.
func (s *Server) Start(_ context.Context, k *kernel.Kernel) error {
	var err error
	if s.handler, err = kernel.Find[handler](k, "router"); err != nil {
		return err
	}
	if s.member, err = kernel.Find[member](k, "peer"); err != nil {
		return err
	}
	if s.policies, err = kernel.Find[policies](k, configuration.ServiceName); err != nil {
		return err
	}
	listener, err := net.Listen("tcp", string(s.cfg.Address))
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	s.listener = netutil.LimitListener(listener, s.cfg.Limits.CallerConnections)
	s.group.Go(s.run)
	return nil
}

// acceptPause keeps the loop from spinning while no connection can be taken,
// mostly for want of descriptors.
const acceptPause = 20 * time.Millisecond

// run takes connections until the listener is closed.
func (s *Server) run() {
	for {
		nc, err := s.listener.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			s.cfg.Log.Error().Err(err).Msg("connection of a caller was not taken")
			time.Sleep(acceptPause)
			continue
		}
		s.serve(nc)
	}
}

// serve begins to serve a connection.
func (s *Server) serve(nc net.Conn) {
	c := newConnection(s, nc)
	s.mu.Lock()
	s.connections[c] = true
	s.mu.Unlock()
	s.group.Go(c.run)
}

// forget drops a connection that has ended.
func (s *Server) forget(c *connection) {
	s.mu.Lock()
	delete(s.connections, c)
	s.mu.Unlock()
	select {
	case s.idle <- struct{}{}:
	default:
	}
}

// Stop leaves the answers about addresses, serves those who still hold this
// address for the time of the hold, and waits for every request to end. Each
// answer ends its connection meanwhile, so that callers move on.
func (s *Server) Stop(ctx context.Context) error {
	s.member.Leave()
	s.draining.Store(true)
	timing := s.timing.Load()
	s.cfg.Log.Info().Dur("Hold", timing.Hold).Int("Connections", s.open()).Msg("leaving; callers that hold this address are served")
	timer := time.NewTimer(timing.Hold + timing.LeaveMargin)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	err := s.listener.Close()
	s.stopIdle()
	s.awaitAll(ctx)
	s.closeAll()
	s.group.Wait()
	return err
}

func (s *Server) open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.connections)
}

func (s *Server) stopIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.connections {
		c.inbox.stopIdle()
	}
}

// awaitAll waits until every connection has ended.
func (s *Server) awaitAll(ctx context.Context) {
	for s.open() > 0 {
		select {
		case <-s.idle:
		case <-ctx.Done():
			s.cfg.Log.Warn().Int("Connections", s.open()).Msg("time to stop is over; connections are cut")
			return
		}
	}
}

func (s *Server) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.connections {
		c.end()
	}
}

// State returns nothing: requests are counted by the router.
func (s *Server) State() any { return nil }

// logAnswer tells how a request was answered.
func (s *Server) logAnswer(req *work.Request, a work.Answer, took time.Duration, gone bool) {
	s.cfg.Log.Info().
		Str("Request", string(req.ID)).
		Str("CallerHost", req.Host).
		Str("Path", req.Path).
		Int("Status", a.Status).
		Str("Outcome", string(a.Outcome)).
		Str("Reason", string(a.Reason)).
		Dur("RetryAfter", a.RetryAfter).
		Dur("Took", took).
		Bool("CallerGone", gone).
		Msg("request answered")
}
