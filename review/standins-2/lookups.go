package main

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// lookupTimeout is how long clients allow a daemon for a lookup, lookupTTL the ttlS of
	// its answers.
	lookupTimeout = time.Second
	lookupTTL     = 2 * time.Second
)

// lookups plays clients that keep the connection of their lookups. A part of the daemons
// is lost for a while.
type lookups struct {
	rec     *record
	daemons []*daemon
	begun   time.Time
	length  time.Duration

	mu          sync.Mutex
	connections []newConnection
	// ready has the results of the readiness checks, once a second.
	ready map[*daemon][]bool
	// without holds when a client had no valid answer, in seconds.
	without map[int]time.Duration
}

func lookup(rec *record, st *store, dir string, trouble bool) {
	const daemons, clients = 5, 500
	// The dose that fleetbench kinds names: herd_kill, share .6, for 5 s.
	lost := []int{0, 1, 3}
	const lostAt, lostFor = 6 * time.Second, 5 * time.Second
	u := newUpstream("i-1", "inventario", "yura", 4, func(_ *upstream, c *upstreamConn, a arrival) bool {
		c.answer(a, "done")
		return true
	})
	st.register(u, time.Now())
	st.configure(1, []string{u.service}, []route{{"a.example", "/stock/", "idempotent", u.service, 4 * time.Second, 2}})
	s := &lookups{rec: rec, daemons: newDaemons(dir, st, daemons), length: 18 * time.Second, ready: make(map[*daemon][]bool), without: make(map[int]time.Duration)}
	startAll(s.daemons)
	s.begun = time.Now()
	rec.start = s.begun
	var group sync.WaitGroup
	for client := range clients {
		group.Go(func() {
			// Clients do not start at the same moment.
			time.Sleep(time.Duration(client) * 2 * time.Second / clients)
			s.runClient(client)
		})
	}
	group.Go(s.checkReadiness)
	time.Sleep(time.Until(s.begun.Add(lostAt)))
	if trouble {
		for _, i := range lost {
			s.daemons[i].process.Process.Signal(syscall.SIGKILL)
			rec.line("%s is killed", s.daemons[i].name)
		}
		time.Sleep(lostFor)
		for _, i := range lost {
			<-s.daemons[i].process.exited
			s.daemons[i].start()
			rec.line("%s is started again", s.daemons[i].name)
		}
	}
	group.Wait()
	s.judge(func(i int) bool { return trouble && slices.Contains(lost, i) })
}

// runClient looks up addresses as often as the answers expire: at up to three daemons, the
// nearest first.
func (s *lookups) runClient(client int) {
	var c *clientConn
	nearest := 0
	for time.Since(s.begun) < s.length {
		asked := time.Now()
		ok := c != nil && c.lookUp()
		for try := 0; try < 3 && !ok; try++ {
			if c != nil {
				c.Close()
			}
			d := s.daemons[(client+nearest)%len(s.daemons)]
			if c, ok = s.connect(client, d); !ok {
				nearest = (nearest + 1) % 3
			}
		}
		if ok {
			time.Sleep(lookupTTL)
			continue
		}
		time.Sleep(200 * time.Millisecond)
		s.mu.Lock()
		s.without[client] += time.Since(asked)
		s.mu.Unlock()
	}
	if c != nil {
		c.Close()
	}
}

// connect looks up addresses on a new connection.
func (s *lookups) connect(client int, d *daemon) (*clientConn, bool) {
	n := newConnection{client: client, daemon: d, at: time.Now()}
	c, err := dial(d.directory)
	if err == nil {
		n.answered = c.lookUp()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.connections = append(s.connections, n)
	s.rec.line("client %d looks up on a new connection to %s: answered %t", client, d.name, n.answered)
	return c, n.answered
}

// lookUp asks where to connect, and reports whether the answer came in time.
func (c *clientConn) lookUp() bool {
	c.SetDeadline(time.Now().Add(lookupTimeout))
	if _, err := fmt.Fprint(c, "GET /v1/resolve?name=a.example&region=arequipa&zone=yura HTTP/1.1\r\nHost: directory\r\n\r\n"); err != nil {
		return false
	}
	answer, keep := c.read(http.MethodGet)
	return keep && answer.status == http.StatusOK && strings.Contains(answer.body, "addresses")
}

func (s *lookups) checkReadiness() {
	for time.Since(s.begun) < s.length {
		for _, d := range s.daemons {
			ready := d.isReady()
			s.mu.Lock()
			s.ready[d] = append(s.ready[d], ready)
			s.mu.Unlock()
		}
		time.Sleep(time.Second)
	}
}

// judge checks RECOVER at the daemons that were not lost.
func (s *lookups) judge(wasLost func(i int) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	slices.SortFunc(s.connections, func(a, b newConnection) int { return a.at.Compare(b.at) })
	for second := range int(s.length / time.Second) {
		var text []string
		for _, d := range s.daemons {
			all, answered := 0, 0
			for _, n := range s.connections {
				if n.daemon == d && int(n.at.Sub(s.begun)/time.Second) == second {
					all++
					if n.answered {
						answered++
					}
				}
			}
			text = append(text, fmt.Sprintf("%s %d of %d", d.name, answered, all))
		}
		s.rec.line("second %d, new connections answered: %s", second, strings.Join(text, ", "))
	}
	broken := 0
	for i, d := range s.daemons {
		if wasLost(i) {
			continue
		}
		ready := !slices.Contains(s.ready[d], false)
		longest := longestSilence(s.connections, d, lookupTimeout)
		s.rec.line("%s was not lost; ready at each check: %t; longest span without an answer on a new connection: %.1f s, in which %d clients tried", d.name, ready, longest.span.Seconds(), longest.clients)
		if ready && longest.breaksRule() {
			broken++
		}
	}
	longest := time.Duration(0)
	for _, d := range s.without {
		longest = max(longest, d)
	}
	s.rec.line("%d clients were without an answer at some time, the worst for %.1f s in all", len(s.without), longest.Seconds())
	s.rec.verdict(broken > 0, "%d daemons that were ready, and were not lost, took no new connection for more than %s while %d clients or more tried", broken, settleWindow, minClients)
}
