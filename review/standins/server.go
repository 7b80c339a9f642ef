package main

import (
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// work is the distribution of the time that a kind of request takes, as the site files
// give it: a log-normal time, of which a part is longer by a factor, up to a maximum.
type work struct {
	mean, max        time.Duration
	spread           float64
	tail, tailFactor float64
}

func (w work) draw() time.Duration {
	x := float64(w.mean) * math.Exp(w.spread*rand.NormFloat64()-w.spread*w.spread/2)
	if rand.Float64() < w.tail {
		x *= w.tailFactor
	}
	return min(time.Duration(x), w.max)
}

// arrival is what a server saw of one request.
type arrival struct {
	id, server string
	path       string
	arrived    time.Time
	// begun is zero if the request did not run.
	begun time.Time
	// ended is when the work ended; left is set if the connection had ended before.
	ended time.Time
	left  bool
	// whole tells that the whole body arrived.
	whole bool
	takes time.Duration
}

// server is a stand-in for an upstream. It runs a bounded number of requests at a time,
// lets a few wait, turns away the rest, and drops a request when its connection ends.
type server struct {
	id, service, zone, address string
	slots                      int
	work                       work
	// sheds tells whether the server turns a request away before it has read its body.
	sheds func() bool
	// crashes tells whether a request crashes the server that begins to run it.
	crashes func(*http.Request) bool
	onCrash func(*server)

	listener net.Listener
	http     *http.Server
	running  chan struct{}

	mu       sync.Mutex
	waiting  int
	conns    map[net.Conn]bool
	arrivals []*arrival
}

const maxWaiting = 8

// listen starts the server; the address is free to choose if it is empty.
func (s *server) listen() error {
	address := s.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	var err error
	if s.listener, err = net.Listen("tcp", address); err != nil {
		return err
	}
	s.address = s.listener.Addr().String()
	s.running, s.conns = make(chan struct{}, s.slots), make(map[net.Conn]bool)
	s.http = &http.Server{Handler: s, IdleTimeout: 10 * time.Second, ConnState: s.track}
	go func() { _ = s.http.Serve(s.listener) }()
	return nil
}

func (s *server) track(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.conns[c] = true
	case http.StateClosed:
		delete(s.conns, c)
	}
}

// crash closes the listener and resets all connections.
func (s *server) crash() {
	s.listener.Close()
	s.mu.Lock()
	for c := range s.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		c.Close()
	}
	s.mu.Unlock()
	s.http.Close()
}

func (s *server) entry(state string) map[string]any {
	return map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": s.slots, "state": state,
		"warmupLeftMs": 0, "seq": 1, "born": time.Now().UnixMilli(),
	}
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	a := &arrival{id: r.Header.Get("Briarrouter-Attempt-Id"), server: s.id, path: r.URL.Path, arrived: time.Now()}
	w.Header().Set("Briarrouter-Attempt-Id", a.id)
	w.Header().Set("Keep-Alive", "timeout=10")
	if expected := r.Header.Get("Briarrouter-Expect-Instance"); expected != "" && expected != s.id {
		w.Header().Set("Briarrouter-Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.mu.Lock()
	s.arrivals = append(s.arrivals, a)
	s.mu.Unlock()
	if s.sheds != nil && s.sheds() {
		w.Header().Set("Retry-After", "5")
		w.Header().Set("Briarrouter-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	s.set(func() { a.whole = true })
	ctx := r.Context()
	if left, err := strconv.Atoi(r.Header.Get("Briarrouter-Deadline-Ms")); err == nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(left)*time.Millisecond)
		defer cancel()
	}
	if !s.acquire(ctx) {
		w.Header().Set("Briarrouter-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-s.running }()
	a.takes = s.work.draw()
	s.set(func() { a.begun = time.Now() })
	if s.crashes != nil && s.crashes(r) {
		s.onCrash(s)
		panic(http.ErrAbortHandler)
	}
	timer := time.NewTimer(a.takes)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	s.set(func() { a.ended, a.left = time.Now(), r.Context().Err() != nil })
	if ctx.Err() != nil {
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	text := s.id + " " + a.id + "\n"
	s.mu.Lock()
	w.Header().Set("Briarrouter-Server-Load", fmt.Sprintf("%d,%d,%d", len(s.running), s.waiting, s.slots))
	s.mu.Unlock()
	w.Header().Set("Briarrouter-Response-Signature", sign(text))
	_, _ = io.WriteString(w, text)
}

func (s *server) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

// acquire waits for a slot.
func (s *server) acquire(ctx context.Context) bool {
	select {
	case s.running <- struct{}{}:
		return true
	default:
	}
	s.mu.Lock()
	if s.waiting >= maxWaiting {
		s.mu.Unlock()
		return false
	}
	s.waiting++
	s.mu.Unlock()
	defer s.set(func() { s.waiting-- })
	select {
	case s.running <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func sign(text string) string { return fmt.Sprintf("%x.%d", len(text), 7*len(text)) }

// deployment is the servers and the store of a case.
type deployment struct {
	store   *store
	address string

	mu      sync.Mutex
	servers []*server
}

func newDeployment() (*deployment, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &deployment{store: newStore(), address: l.Addr().String()}
	go func() { _ = http.Serve(l, d.store) }()
	return d, nil
}

// add starts a server and registers it.
func (d *deployment) add(s *server) error {
	if err := s.listen(); err != nil {
		return err
	}
	d.mu.Lock()
	d.servers = append(d.servers, s)
	d.mu.Unlock()
	d.store.put("servers/"+s.id, s.entry("ready"))
	return nil
}

// arrivals returns all arrivals of requests by their ids.
func (d *deployment) arrivals() map[string][]arrival {
	d.mu.Lock()
	defer d.mu.Unlock()
	byID := make(map[string][]arrival)
	for _, s := range d.servers {
		s.mu.Lock()
		for _, a := range s.arrivals {
			byID[a.id] = append(byID[a.id], *a)
		}
		s.mu.Unlock()
	}
	return byID
}

type route struct {
	name, prefix, kind, service string
	timeout, objective          time.Duration
	attempts                    int
}

const host = "orders.example"

// publish writes the operator's configuration.
func (d *deployment) publish(version int, routes []route) time.Time {
	names, paths, services := map[string]bool{}, []any{}, []any{}
	for _, r := range routes {
		if !names[r.service] {
			names[r.service] = true
			services = append(services, map[string]any{"name": r.service, "healthPath": "/health", "maxConns": 330, "protocol": "h1", "tls": false})
		}
		paths = append(paths, map[string]any{
			"name": r.name, "prefix": r.prefix, "kind": r.kind, "timeoutMs": r.timeout.Milliseconds(), "targetLatencyMs": r.objective.Milliseconds(),
			"priority": 1, "service": r.service, "maxAttempts": r.attempts,
		})
	}
	return d.store.put("op/config", map[string]any{
		"version": version, "services": services, "baseVersion": version - 1,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"hosts":  []any{map[string]any{"host": host, "paths": paths}},
	})
}
