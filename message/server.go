package message

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/briarrouter/briarrouter/memory"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"
)

// Server is an HTTP server whose Stop waits for requests only. The Shutdown of net/http
// also waits for connections on which no request or only a part of one has arrived, for
// up to several seconds, such as those of a peer whose network is cut.
type Server struct {
	server *http.Server
	cfg    ServerConfig

	mu sync.Mutex
	// active counts the requests that are being handled.
	active int
	// ended is closed when the last request in progress has ended; nil before Stop.
	ended chan struct{}
}

// ServerConfig configures a Server.
type ServerConfig struct {
	// Name tells the servers of a process apart in metrics and in the log.
	Name string
	// Memory limits the memory of header sections; nil for no limit.
	Memory *memory.Limiter
	// Connections bounds the open connections. While that many are open and another one
	// waits, the one that has waited longest for its client is closed. Zero stands for no
	// bound.
	Connections int
	// BodyTimeout bounds the time in which the body of a request must arrive, unless the
	// handler sets another deadline. If it is zero, bodies are not read: a request with one
	// is answered and its connection closed.
	BodyTimeout time.Duration
	// Scope is where metrics are created; nil for none.
	Scope tally.Scope
	Log   zerolog.Logger
}

// NewServer returns a server with the handler and the limits of an http.Server, which
// must not be used otherwise.
func NewServer(s *http.Server, cfg ServerConfig) *Server {
	server := &Server{server: s, cfg: cfg}
	s.ConnState, s.ConnContext = connState, connContext
	handler := s.Handler
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c := connectionOf(r.Context()); c != nil {
			c.beginRequest()
			defer c.endRequest()
			if r.Body != http.NoBody {
				r.Body = waitingBody{r.Body, c}
			}
		}
		server.begin()
		defer server.end()
		server.limitBody(w, r)
		handler.ServeHTTP(w, r)
	})
	return server
}

// limitBody keeps a request whose body does not arrive from holding its connection, also
// after the response: net/http reads what the handler has left.
func (s *Server) limitBody(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength == 0 {
		return
	}
	if s.cfg.BodyTimeout == 0 {
		w.Header().Set("Connection", "close")
	}
	deadline := time.Now().Add(s.cfg.BodyTimeout)
	if err := http.NewResponseController(w).SetReadDeadline(deadline); err != nil && !errors.Is(err, http.ErrNotSupported) {
		s.cfg.Log.Debug().Err(err).Msg("deadline of a request body cannot be set")
	}
}

func (s *Server) begin() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active++
}

func (s *Server) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active--
	s.closeIfEnded()
}

// closeIfEnded closes ended after the last request. The caller holds mu.
func (s *Server) closeIfEnded() {
	if s.ended == nil || s.active > 0 {
		return
	}
	select {
	case <-s.ended:
	default:
		close(s.ended)
	}
}

// Serve serves the connections of a listener until Stop; see http.Server.
func (s *Server) Serve(l net.Listener) error {
	return s.server.Serve(newListener(l, s.cfg))
}

// Close closes the listeners and all connections at once.
func (s *Server) Close() error { return s.server.Close() }

// responseFlushTime is how long connections whose requests have ended may take to send the
// rest of their responses. It also lets requests end that were cancelled just before a stop whose bound
// had passed, because the process was paused.
const responseFlushTime = 100 * time.Millisecond

// Stop closes the listeners, waits for the requests that are being handled, at most until
// the context ends and responseFlushTime has passed, and closes the connections. It
// returns the context's error if some request was still being handled then.
func (s *Server) Stop(ctx context.Context) error {
	s.mu.Lock()
	s.ended = make(chan struct{})
	s.closeIfEnded()
	s.mu.Unlock()
	flushed, cancel := context.WithCancel(context.Background())
	defer cancel()
	var group conc.WaitGroup
	var shutdownErr error
	group.Go(func() { shutdownErr = s.run(flushed) })
	s.awaitEnd(ctx)
	timer := time.AfterFunc(responseFlushTime, cancel)
	defer timer.Stop()
	group.Wait()
	return errors.Join(s.requestsLeft(ctx), shutdownErr, s.server.Close())
}

// requestsLeft returns the context's error if some request has not ended.
func (s *Server) requestsLeft(ctx context.Context) error {
	select {
	case <-s.ended:
		return nil
	default:
		return ctx.Err()
	}
}

// run closes the listeners and the idle connections, and waits for the others until the
// context ends. That some are then left is no error.
func (s *Server) run(ctx context.Context) error {
	err := s.server.Shutdown(ctx)
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// awaitEnd waits for the requests in progress until the context ends.
func (s *Server) awaitEnd(ctx context.Context) {
	select {
	case <-s.ended:
	case <-ctx.Done():
	}
}
