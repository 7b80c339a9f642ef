package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	// The dose of the site file for late additional answers: garble, how "extra late",
	// share 0.6, x 0.03, for 5 s.
	faultyShare  = 0.6
	faultyAnswer = 0.03
	faultyFrom   = 3 * time.Second
	faultyUntil  = 8 * time.Second
)

// foreignBody is the body of a whole answer that belongs to no request.
const foreignBody = "belongs to no request\n"

// Additional answers, which carry no id: one in the form in which an upstream sheds a
// request, and one that reports a failure.
var (
	shedAnswer    = "HTTP/1.1 503 Service Unavailable\r\nBriarrouter-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	failureAnswer = fmt.Sprintf("HTTP/1.1 500 Internal Server Error\r\nContent-Length: %d\r\n\r\n%s", len(foreignBody), foreignBody)
)

// lateAnswers plays upstreams of which some send additional bytes after a complete answer,
// which arrive late, where the answer to the next request of the connection is expected.
type lateAnswers struct {
	rec     *record
	trouble bool
	// additional is the answer that faulty upstreams send besides.
	additional string
	begun      time.Time
	// faulty is the set of upstreams that send additional bytes.
	faulty map[string]bool

	mu     sync.Mutex
	random *rand.Rand
	// runs lists the upstreams that ran each request.
	runs map[string][]string
	// answers holds the answer to each request that was sent.
	answers map[string]reply
}

func lateShedAnswer(rec *record, st *store, dir string, trouble bool) {
	playLateAnswers(rec, st, dir, trouble, shedAnswer).judgeRuns()
}

func lateFailureAnswer(rec *record, st *store, dir string, trouble bool) {
	playLateAnswers(rec, st, dir, trouble, failureAnswer).judgeAnswers()
}

func playLateAnswers(rec *record, st *store, dir string, trouble bool, additional string) *lateAnswers {
	const (
		daemons, upstreams, clients = 3, 8, 20
		length                      = 11 * time.Second
	)
	s := &lateAnswers{
		rec: rec, trouble: trouble, additional: additional, faulty: make(map[string]bool), random: rand.New(rand.NewPCG(1, 1)),
		runs: make(map[string][]string), answers: make(map[string]reply),
	}
	for i := range upstreams {
		u := newUpstream(fmt.Sprintf("i-%d", i+1), "pedidos", zones[i%len(zones)], 4, s.handle)
		s.faulty[u.id] = float64(i+1) <= faultyShare*upstreams
		st.register(u, time.Now())
	}
	st.configure(1, []string{"pedidos"}, []route{{"a.example", "/order/", "non_idempotent", "pedidos", 2500 * time.Millisecond, 2}})
	list := newDaemons(dir, st, daemons)
	startAll(list)
	s.begun = time.Now()
	rec.start = s.begun
	var group sync.WaitGroup
	for client := range clients {
		group.Go(func() { s.runClient(client, list[client%daemons], length) })
	}
	group.Wait()
	// What is still running ends.
	time.Sleep(time.Second)
	return s
}

// handle runs a request at an upstream.
func (s *lateAnswers) handle(u *upstream, c *upstreamConn, a arrival) bool {
	s.mu.Lock()
	s.runs[a.attempt] = append(s.runs[a.attempt], u.id)
	s.mu.Unlock()
	if c.late != "" {
		s.rec.line("%s: the additional bytes after its last answer arrive, while it runs %s", u.id, a.attempt)
		c.Write([]byte(c.late))
		c.late = ""
	}
	time.Sleep(20*time.Millisecond + rand.N(20*time.Millisecond))
	c.answer(a, "done "+a.attempt)
	if s.sendsMore(u) {
		c.late = s.additional
	}
	return true
}

// sendsMore draws whether an upstream sends additional bytes after an answer.
func (s *lateAnswers) sendsMore(u *upstream) bool {
	at := time.Since(s.begun)
	if !s.trouble || !s.faulty[u.id] || at < faultyFrom || at > faultyUntil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.Float64() < faultyAnswer
}

// runClient sends requests, each once, on a connection that it keeps.
func (s *lateAnswers) runClient(client int, d *daemon, length time.Duration) {
	var c *clientConn
	for n := 0; time.Since(s.begun) < length; n++ {
		if c == nil {
			var err error
			if c, err = dial(d.front); err != nil {
				time.Sleep(100 * time.Millisecond)
				continue
			}
		}
		attempt := fmt.Sprintf("order-%d-%d", client, n)
		answer, keep := c.do(http.MethodPost, "a.example", "/order/"+attempt, attempt, "sacks=2", 5*time.Second)
		s.mu.Lock()
		s.answers[attempt] = answer
		s.rec.line("%s sent to %s, answered: %s", attempt, d.name, answer)
		s.mu.Unlock()
		if !keep {
			c.Close()
			c = nil
		}
		time.Sleep(50*time.Millisecond + rand.N(60*time.Millisecond))
	}
	if c != nil {
		c.Close()
	}
}

// judgeRuns checks TWICE and REFUSED: each request was sent once and may run once, and one
// that was answered with a promise may not have run.
func (s *lateAnswers) judgeRuns() {
	s.mu.Lock()
	defer s.mu.Unlock()
	twice, refused, served := 0, 0, 0
	for attempt, answer := range s.answers {
		ran := s.runs[attempt]
		s.rec.line("%s ran at %v", attempt, ran)
		if answer.status == http.StatusOK {
			served++
		}
		if len(ran) > 1 {
			twice++
			s.rec.line("TWICE: %s was sent once and ran at %v; its client got: %s", attempt, ran, answer)
		}
		if len(ran) > 0 && slices.Contains([]int{408, 421, 429, 503}, answer.status) {
			refused++
			s.rec.line("REFUSED: %s ran at %v; its client got: %s", attempt, ran, answer)
		}
	}
	s.requireServed(served)
	s.rec.verdict(twice+refused > 0, "%d requests that are not idempotent ran twice, %d had run and were refused with a promise", twice, refused)
}

// judgeAnswers checks MIXED: no client may get an answer that belongs to no request of its
// own.
func (s *lateAnswers) judgeAnswers() {
	s.mu.Lock()
	defer s.mu.Unlock()
	foreign, served := 0, 0
	for attempt, answer := range s.answers {
		s.rec.line("%s ran at %v", attempt, s.runs[attempt])
		if answer.status == http.StatusOK {
			served++
		}
		if answer.body == foreignBody {
			foreign++
			s.rec.line("MIXED: %s ran at %v and was answered there with success; its client got the additional answer: %s: %q", attempt, s.runs[attempt], answer, answer.body)
		}
	}
	s.requireServed(served)
	s.rec.verdict(foreign > 0, "%d clients got an answer that belongs to no request", foreign)
}

// requireServed ends the script as one that could not run unless most requests were served.
func (s *lateAnswers) requireServed(served int) {
	s.rec.line("%d requests, %d served", len(s.answers), served)
	if served < len(s.answers)/2 {
		unable("only %d of %d requests were served", served, len(s.answers))
	}
}
