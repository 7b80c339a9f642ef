// Package caller speaks HTTP to callers: it tells them which addresses to use,
// takes their requests and gives them the answers.
package caller

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/briarrouter/briarrouter/id"
	"github.com/briarrouter/briarrouter/kernel"
	"github.com/briarrouter/briarrouter/memory"
	"github.com/briarrouter/briarrouter/roster"
	"github.com/briarrouter/briarrouter/settings"
	"github.com/briarrouter/briarrouter/work"
	"github.com/julienschmidt/httprouter"
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

// Config makes a Server.
type Config struct {
	Address id.Address
	Limits  settings.Limits
	Timing  settings.Timing
	Memory  *memory.Gate
	Log     zerolog.Logger
}

// Server is the front end for callers.
type Server struct {
	cfg     Config
	handler handler
	member  member
	server  *http.Server
	group   conc.WaitGroup
}

// New returns a server that does not listen yet.
func New(cfg Config) *Server { return &Server{cfg: cfg} }

// idleTimeout is how long a caller's connection may lie idle.
const idleTimeout = time.Minute

// Start begins to listen.
func (s *Server) Start(_ context.Context, k *kernel.Kernel) error {
	var err error
	if s.handler, err = kernel.Find[handler](k, "router"); err != nil {
		return err
	}
	if s.member, err = kernel.Find[member](k, "peer"); err != nil {
		return err
	}
	listener, err := net.Listen("tcp", string(s.cfg.Address))
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	s.server = &http.Server{
		Handler:           s.routes(),
		ReadHeaderTimeout: s.cfg.Timing.SlowCaller,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    int(s.cfg.Limits.RequestHeader),
	}
	s.group.Go(func() { s.run(netutil.LimitListener(listener, s.cfg.Limits.CallerConnections)) })
	return nil
}

func (s *Server) run(listener net.Listener) {
	if err := s.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		s.cfg.Log.Error().Err(err).Msg("listener for callers ended")
	}
}

// Stop leaves the answers about addresses, serves those who still hold this
// address for the time of the hold, and waits for every request to end.
func (s *Server) Stop(ctx context.Context) error {
	s.member.Leave()
	s.cfg.Log.Info().Dur("Hold", s.cfg.Timing.Hold).Msg("leaving; callers that hold this address are served")
	timer := time.NewTimer(s.cfg.Timing.Hold + leaveMargin)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	err := s.server.Shutdown(ctx)
	s.group.Wait()
	return err
}

// leaveMargin is the time that the news of leaving may take to reach the
// daemons that answer callers.
const leaveMargin = 2 * time.Second

// State returns nothing: requests are counted by the router.
func (s *Server) State() any { return nil }

func (s *Server) routes() http.Handler {
	r := httprouter.New()
	r.HandleMethodNotAllowed = false
	r.RedirectTrailingSlash = false
	r.RedirectFixedPath = false
	r.GET(AddressesPath, s.addresses)
	r.NotFound = http.HandlerFunc(s.request)
	return r
}
