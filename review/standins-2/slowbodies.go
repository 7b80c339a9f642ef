package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	// orderSize is the mean size of the bodies of order-confirm in the site file.
	orderSize = 1_200
	// pieceSize is what a slow client sends of its body at once, pieceEvery how often.
	pieceSize  = 40
	pieceEvery = time.Second
	// orderTimeout is the timeoutMs of the route of the orders, as in the site file.
	orderTimeout = 2500 * time.Millisecond
	// readTimeout is after what time a client abandons an idempotent request that was not
	// read.
	readTimeout = time.Second
)

// slowBodies plays a crowd of clients that send the bodies of their requests slowly, beside
// ordinary ones, at one daemon.
type slowBodies struct {
	rec    *record
	daemon *daemon
	begun  time.Time

	mu          sync.Mutex
	connections []newConnection
	ready       []bool
	// sent counts the slow requests that were begun, answered those with an answer, and inTime
	// those of them that had it half a second after their route's timeout.
	sent, answered, inTime int
}

func slowBody(rec *record, st *store, dir string, trouble bool) {
	const (
		crowd, ordinary     = 1750, 12
		crowdAt, crowdUntil = 5 * time.Second, 20 * time.Second
		length              = 26 * time.Second
	)
	u := newUpstream("i-1", "pedidos", "yura", 4, func(_ *upstream, c *upstreamConn, a arrival) bool {
		c.answer(a, "done "+a.attempt)
		return true
	})
	st.register(u, time.Now())
	st.configure(1, []string{u.service}, []route{
		{"a.example", "/price/", "idempotent", u.service, 2 * time.Second, 2},
		{"a.example", "/order/", "non_idempotent", u.service, orderTimeout, 2},
	})
	s := &slowBodies{rec: rec, daemon: newDaemons(dir, st, 1)[0]}
	startAll([]*daemon{s.daemon})
	s.begun = time.Now()
	rec.start = s.begun
	end := s.begun.Add(length)
	var group sync.WaitGroup
	for client := range ordinary {
		group.Go(func() { s.runOrdinary(client, end) })
	}
	group.Go(func() { s.checkReadiness(end) })
	if trouble {
		time.Sleep(time.Until(s.begun.Add(crowdAt)))
		rec.line("%d clients begin to send a request with a body of %d bytes, %d bytes each %s", crowd, orderSize, pieceSize, pieceEvery)
		for client := range crowd {
			group.Go(func() { s.sendSlowly(client, s.begun.Add(crowdUntil)) })
		}
	}
	group.Wait()
	if trouble && s.sent < crowd*9/10 {
		unable("only %d of %d clients could connect", s.sent, crowd)
	}
	s.judge()
}

// runOrdinary sends ordinary requests, each on a new connection.
func (s *slowBodies) runOrdinary(client int, end time.Time) {
	for n := 0; time.Now().Before(end); n++ {
		made := newConnection{client: client, daemon: s.daemon, at: time.Now()}
		attempt := fmt.Sprintf("price-%d-%d", client, n)
		answer := reply{err: io.EOF}
		if c, err := dial(s.daemon.front); err == nil {
			answer, _ = c.do(http.MethodGet, "a.example", "/price/"+attempt, attempt, "", readTimeout)
			c.Close()
		}
		made.answered = answer.err == nil
		s.mu.Lock()
		s.connections = append(s.connections, made)
		s.rec.line("%s sent on a new connection, answered: %s", attempt, answer)
		s.mu.Unlock()
		time.Sleep(200*time.Millisecond + rand.N(100*time.Millisecond))
	}
}

// sendSlowly sends a request whose body takes long.
func (s *slowBodies) sendSlowly(client int, end time.Time) {
	c, err := dial(s.daemon.front)
	if err != nil {
		return
	}
	defer c.Close()
	began := time.Now()
	s.mu.Lock()
	s.sent++
	s.mu.Unlock()
	fmt.Fprintf(c, "POST /order/%d HTTP/1.1\r\nHost: a.example\r\nBriarrouter-Attempt-Id: order-%d\r\nBriarrouter-Deadline-Ms: 5000\r\nContent-Length: %d\r\n\r\n", client, client, orderSize)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		c.SetReadDeadline(end)
		answer, _ := c.read(http.MethodPost)
		s.mu.Lock()
		defer s.mu.Unlock()
		if answer.err == nil {
			s.answered++
			if time.Since(began) < orderTimeout+500*time.Millisecond {
				s.inTime++
			}
		}
	}()
	piece := bytes.Repeat([]byte("x"), pieceSize)
	for sent := 0; sent < orderSize; sent += pieceSize {
		if _, err := c.Write(piece); err != nil {
			break
		}
		select {
		case <-time.After(pieceEvery):
		case <-ended:
			return
		}
	}
	<-ended
}

func (s *slowBodies) checkReadiness(end time.Time) {
	for time.Now().Before(end) {
		ready := s.daemon.isReady()
		s.mu.Lock()
		s.ready = append(s.ready, ready)
		s.mu.Unlock()
		time.Sleep(time.Second)
	}
}

// judge checks RECOVER for the ordinary clients.
func (s *slowBodies) judge() {
	s.mu.Lock()
	defer s.mu.Unlock()
	slices.SortFunc(s.connections, func(a, b newConnection) int { return a.at.Compare(b.at) })
	longest := longestSilence(s.connections, s.daemon, readTimeout)
	ready := !slices.Contains(s.ready, false)
	s.rec.line("slow requests: %d begun, %d answered, %d of them within their route's timeout and 0.5 s", s.sent, s.answered, s.inTime)
	s.rec.line("ready at each check: %t; longest span without an answer to an ordinary request on a new connection: %.1f s, in which %d clients tried", ready, longest.span.Seconds(), longest.clients)
	s.rec.verdict(ready && longest.breaksRule(), "the daemon was ready (%t) and answered on no new connection for %.1f s, while %d clients tried", ready, longest.span.Seconds(), longest.clients)
}
