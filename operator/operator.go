// Package operator serves the operators' HTTP endpoints: the dump of the
// process's state, its metrics, its readiness and CPU profiles.
package operator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/pprof"
	"time"

	"github.com/briarrouter/briarrouter/id"
	"github.com/briarrouter/briarrouter/kernel"
	"github.com/briarrouter/briarrouter/memory"
	"github.com/briarrouter/briarrouter/message"
	"github.com/briarrouter/briarrouter/socket"
	"github.com/julienschmidt/httprouter"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"
)

const ServiceName kernel.Name = "operator"

const (
	DumpPath    = "/dump"
	MetricsPath = "/metrics"
	ReadyPath   = "/ready"
	ProfilePath = "/debug/pprof/profile"
)

// metrics serves the metrics of the process over HTTP.
type metrics interface {
	Handler() http.Handler
}

// readiness tells whether the process is ready to serve callers.
type readiness interface {
	Ready() bool
}

// Config configures a Server.
type Config struct {
	Address id.Address
	Log     zerolog.Logger
	// Memory limits the memory of header sections; nil for no limit.
	Memory *memory.Limiter
	// Connections bounds the open connections; zero for no bound.
	Connections int
	// Buffers bounds what the operating system holds for each connection.
	Buffers socket.Buffers
	// Scope is where metrics are created.
	Scope tally.Scope
}

// Server is the HTTP server for operators.
type Server struct {
	cfg    Config
	kernel *kernel.Kernel
	server *message.Server
	group  conc.WaitGroup
}

// New returns a server that does not listen until Start.
func New(cfg Config) *Server { return &Server{cfg: cfg} }

const (
	// headerTimeout bounds the time to read the header section of a request.
	headerTimeout = 5 * time.Second
	// idleTimeout is longer than the interval at which metrics are usually fetched.
	idleTimeout = 2 * time.Minute
)

// Start opens the listener and serves requests in the background.
func (s *Server) Start(_ context.Context, k *kernel.Kernel) error {
	s.kernel = k
	metricService, err := kernel.Find[metrics](k, "metric")
	if err != nil {
		return err
	}
	listener, err := socket.Listen(s.cfg.Address, s.cfg.Buffers, 0)
	if err != nil {
		return fmt.Errorf("listen on the operators' address: %w", err)
	}
	r := httprouter.New()
	r.GET(DumpPath, s.dump)
	r.GET(ReadyPath, s.ready)
	r.Handler(http.MethodGet, MetricsPath, metricService.Handler())
	r.HandlerFunc(http.MethodGet, ProfilePath, pprof.Profile)
	s.server = message.NewServer(&http.Server{Handler: r, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}, message.ServerConfig{
		Name: "operator", Memory: s.cfg.Memory, Connections: s.cfg.Connections, Scope: s.cfg.Scope, Log: s.cfg.Log,
	})
	s.group.Go(func() { s.run(listener) })
	return nil
}

func (s *Server) run(listener net.Listener) {
	if err := s.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		s.cfg.Log.Error().Err(err).Msg("listener for operators ended")
	}
}

// Stop closes the listener and waits for the requests in progress.
func (s *Server) Stop(ctx context.Context) error {
	err := s.server.Stop(ctx)
	s.group.Wait()
	return err
}

// State returns nil: the server has no state for the dump.
func (s *Server) State() any { return nil }

func (s *Server) dump(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(s.kernel.Dump()); err != nil {
		s.cfg.Log.Error().Err(err).Msg("cannot send the state dump to the HTTP client")
	}
}

func (s *Server) ready(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	peer, err := kernel.Find[readiness](s.kernel, "peer")
	if err != nil || !peer.Ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	fmt.Fprintln(w, "ready")
}
