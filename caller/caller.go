// Package caller implements the HTTP server for callers: it tells them which
// addresses to use, reads their requests and writes the responses.
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
	"github.com/briarrouter/briarrouter/departure"
	"github.com/briarrouter/briarrouter/id"
	"github.com/briarrouter/briarrouter/kernel"
	"github.com/briarrouter/briarrouter/memory"
	"github.com/briarrouter/briarrouter/metric"
	"github.com/briarrouter/briarrouter/roster"
	"github.com/briarrouter/briarrouter/settings"
	"github.com/briarrouter/briarrouter/socket"
	"github.com/briarrouter/briarrouter/work"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"
)

const ServiceName kernel.Name = "caller"

// handler processes requests and selects the daemons for a caller.
type handler interface {
	Handle(ctx context.Context, req *work.Request) work.Response
	KeyPrefix() string
	Addresses(s id.Service, n int) []roster.Member
}

// membership announces that this daemon is leaving, so that callers are no longer
// given its address. The plan also applies to the requests that peers relay; it is nil
// if the stop waits for all requests.
type membership interface {
	Leave(plan *departure.Plan)
}

// configurationSource provides the configuration in force, or nil before one is
// accepted.
type configurationSource interface {
	Current() *configuration.Snapshot
}

// metricSource provides the scope in which metrics are created.
type metricSource interface {
	Scope() tally.Scope
}

// dialect is the protocol of the callers: it decodes their requests and encodes
// the header fields of responses.
type dialect interface {
	// Decode converts the parsed header section of a request, which had arrived at a
	// time. The text of the error is sent to the caller and states what is accepted.
	Decode(r *http.Request, arrivedAt time.Time) (*work.Request, error)
	// Encode returns the header fields of a response.
	Encode(request id.Request, response work.Response) http.Header
}

// Config configures a Server.
type Config struct {
	Address id.Address
	Limits  settings.Limits
	Timing  settings.Timing
	Memory  *memory.Limiter
	// Buffers bounds what the operating system holds for each connection.
	Buffers socket.Buffers
	Log     zerolog.Logger
	// Dialect is the protocol of the callers; nil stands for the type Dialect of
	// this package. If it is set, AddressesPath is not served, because callers of
	// another dialect discover the daemons by other means.
	Dialect dialect
}

// Server accepts and serves the connections of callers.
type Server struct {
	cfg            Config
	dialect        dialect
	handler        handler
	membership     membership
	configurations configurationSource
	listener       net.Listener
	// slots holds an element for each open connection and one for the next connection
	// to be accepted.
	slots chan struct{}
	// log has no limit on the rate of its lines, unlike that of the requests.
	log zerolog.Logger
	// scope is that of the kernel service for metrics; tally.NoopScope until Start.
	scope tally.Scope
	// closed is closed when no more connections are accepted.
	closed chan struct{}
	group  conc.WaitGroup
	// timing holds the durations in force; never nil.
	timing atomic.Pointer[settings.Timing]
	// crowded is set while a connection waits for a slot.
	crowded atomic.Bool
	// bodies counts the connections whose bodies are arriving.
	bodies atomic.Int64
	// draining is set when Stop begins; from then on a response closes its connection
	// unless another request has arrived behind it.
	draining atomic.Bool
	// departure is the plan of the stop in progress; nil if there is none, or if it
	// waits for all requests.
	departure atomic.Pointer[departure.Plan]
	// stopRecord counts what happens during a stop.
	stopRecord stopRecord
	// parsing is held while a header section of many lines is parsed, so that few of
	// them are held in parsed form at one time.
	parsing sync.Mutex

	mu sync.Mutex
	// connections is the set of open connections, guarded by mu.
	connections map[*connection]bool
	// closing is set when a stop closes the idle connections. A connection that was
	// accepted just before is then closed unread. Guarded by mu.
	closing bool
	// connectionEnded wakes awaitConnections. Its buffer of one keeps a signal
	// that is sent while awaitConnections is not waiting.
	connectionEnded chan struct{}
}

// New returns a server that is not listening yet.
func New(cfg Config) *Server {
	s := &Server{
		cfg: cfg, dialect: cfg.Dialect, slots: make(chan struct{}, cfg.Limits.CallerConnections), closed: make(chan struct{}),
		connections: make(map[*connection]bool), connectionEnded: make(chan struct{}, 1),
		log: cfg.Log.Sample(nil), scope: tally.NoopScope,
	}
	if s.dialect == nil {
		s.dialect = Dialect{}
	}
	s.timing.Store(&cfg.Timing)
	return s
}

// SetTiming replaces the durations. A stop in progress and a header section
// being read keep the durations with which they began. Reads of request bodies
// use the new timeout at once; writes keep the one that was in force when the
// connection was accepted.
func (s *Server) SetTiming(t settings.Timing) { s.timing.Store(&t) }

type limits = configuration.Limits

// defaultIdleTimeout is the idle timeout of callers' connections if the
// configuration sets none.
const defaultIdleTimeout = time.Minute

// limits returns the limits of the configuration in force. Limits that it does
// not set come from the settings or, for idle connections, from
// defaultIdleTimeout.
func (s *Server) limits() limits {
	l := limits{Header: s.cfg.Limits.RequestHeader, Body: s.cfg.Limits.RequestBody, HeaderTimeout: s.timing.Load().SlowCaller, IdleTimeout: defaultIdleTimeout}
	if s.configurations == nil {
		return l
	}
	current := s.configurations.Current()
	if current == nil {
		return l
	}
	if current.Limits.Header > 0 {
		l.Header = current.Limits.Header
	}
	if current.Limits.Body > 0 {
		l.Body = current.Limits.Body
	}
	if current.Limits.HeaderTimeout > 0 {
		l.HeaderTimeout = current.Limits.HeaderTimeout
	}
	if current.Limits.IdleTimeout > 0 {
		l.IdleTimeout = current.Limits.IdleTimeout
	}
	return l
}

// Start looks up the services that the server uses and starts to listen.
func (s *Server) Start(_ context.Context, k *kernel.Kernel) error {
	var err error
	if s.handler, err = kernel.Find[handler](k, "router"); err != nil {
		return err
	}
	if s.membership, err = kernel.Find[membership](k, "peer"); err != nil {
		return err
	}
	if s.configurations, err = kernel.Find[configurationSource](k, configuration.ServiceName); err != nil {
		return err
	}
	metrics, err := kernel.Find[metricSource](k, metric.ServiceName)
	if err != nil {
		return err
	}
	s.scope = metrics.Scope()
	listener, err := socket.Listen(s.cfg.Address, s.cfg.Buffers, 0)
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	s.listener = listener
	s.group.Go(s.run)
	return nil
}

// acceptRetryDelay prevents a busy loop while Accept fails, mostly for lack of
// file descriptors.
const acceptRetryDelay = 20 * time.Millisecond

// run accepts connections until the listener is closed.
func (s *Server) run() {
	for s.acquireSlot() {
		nc, err := s.listener.Accept()
		if err != nil {
			s.releaseSlot()
		}
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			s.cfg.Log.Error().Err(err).Msg("cannot accept a connection from a caller")
			time.Sleep(acceptRetryDelay)
			continue
		}
		s.serve(nc)
	}
}

// isAccepting reports whether the server accepts connections.
func (s *Server) isAccepting() bool {
	select {
	case <-s.closed:
		return false
	default:
		return true
	}
}

// serve starts the task of a new connection, for which a slot was acquired.
func (s *Server) serve(nc net.Conn) {
	c := newConnection(s, nc)
	if !s.register(c) {
		c.close()
		s.releaseSlot()
		return
	}
	s.group.Go(c.run)
}

// register adds a new connection and reports whether it may be served.
func (s *Server) register(c *connection) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing {
		return false
	}
	s.connections[c] = true
	return true
}

// remove unregisters a connection that has ended.
func (s *Server) remove(c *connection) {
	s.mu.Lock()
	delete(s.connections, c)
	s.mu.Unlock()
	s.releaseSlot()
	select {
	case s.connectionEnded <- struct{}{}:
	default:
	}
}

// Stop removes this daemon from the addresses given to callers, continues to
// serve callers that still hold its address until the hold time and the leave
// margin have passed, and then waits for the requests in progress. Meanwhile the
// response to the last request that has arrived on a connection closes it, so that
// callers move to other daemons.
// Shortly before ctx ends, the requests in progress are cancelled, and then the
// remaining connections are closed.
func (s *Server) Stop(ctx context.Context) error {
	timing := s.timing.Load()
	var plan *departure.Plan
	if end, ok := ctx.Deadline(); ok {
		plan = &departure.Plan{HeldUntil: time.Now().Add(timing.Hold), CutAt: end.Add(-lastResponseTime)}
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, plan.CutAt)
		defer cancel()
	}
	s.stopRecord.begin()
	s.departure.Store(plan)
	s.membership.Leave(plan)
	s.draining.Store(true)
	event := s.log.Info().Dur("Hold", timing.Hold)
	if plan != nil {
		event.Dur("CutAfter", time.Until(plan.CutAt))
	}
	s.logStop(event, "leaving; callers that hold this address are served")
	timer := time.NewTimer(timing.Hold + timing.LeaveMargin)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	close(s.closed)
	err := s.listener.Close()
	s.logStop(s.log.Info(), "connections from callers are no longer accepted; idle ones are closed")
	s.closeIdle()
	if !s.awaitConnections(ctx) {
		s.stopRecord.addCutOff(s.states().inProgress())
		s.logStop(s.log.Warn(), "stop timeout expired; requests in progress are cut off")
		s.cancelRequests()
		last, cancel := context.WithTimeout(context.Background(), lastResponseTime)
		defer cancel()
		if !s.awaitConnections(last) {
			s.logStop(s.log.Warn(), "connections are closed by force")
		}
	}
	s.closeConnections()
	s.group.Wait()
	s.log.Info().EmbedObject(&s.stopRecord).Msg("callers are no longer served")
	return err
}

// lastResponseTime is how long before the end of a stop the requests in progress are
// cancelled, for their responses. The other services, which then have nothing to wait for,
// stop after it.
const lastResponseTime = 300 * time.Millisecond

// cancelRequests cancels the requests in progress. Those that wait for a target are
// rejected, as they have not run.
func (s *Server) cancelRequests() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.connections {
		c.cancelCause(departure.ErrCutOff)
	}
}

func (s *Server) connectionCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.connections)
}

func (s *Server) closeIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closing = true
	for c := range s.connections {
		c.input.closeIdle()
	}
}

// awaitConnections waits until every connection has ended or ctx ends, and reports
// whether all have ended.
func (s *Server) awaitConnections(ctx context.Context) bool {
	for s.connectionCount() > 0 {
		select {
		case <-s.connectionEnded:
		case <-ctx.Done():
			return false
		}
	}
	return true
}

func (s *Server) closeConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.connections {
		c.progress.finish(closedByForce)
		c.close()
	}
}

// State returns nil: the router counts the requests.
func (s *Server) State() any { return nil }
