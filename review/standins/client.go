package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// request is what a client sends.
type request struct {
	method, path string
	deadline     time.Duration
	body         int
	// header holds further header lines, each ended by CRLF.
	header string
	// leave is after how long the client resets its connection; zero if it stays.
	leave time.Duration
}

// result is what a client saw of one request.
type result struct {
	id, path, daemon string
	// sent is when the last byte was sent, or the whole was given to the network.
	begun, sent, ended time.Time
	status             int
	// signed tells that the answer bore an upstream's signature and was whole.
	signed bool
	// reason is the body of an answer without a signature.
	reason string
	err    error
	left   time.Time
	kept   bool
}

// client keeps connections open and resolves addresses as the pages say.
type client struct {
	fleet *fleet
	// holds is for how many times the stated time the client keeps a list of addresses.
	holds float64
	zone  int
	// local is the client's own address; empty for any.
	local string

	mu        sync.Mutex
	addresses []string
	expires   time.Time
	failed    map[string]time.Time
	idle      []*clientConn
}

type clientConn struct {
	net.Conn
	address string
	reader  *bufio.Reader
	used    time.Time
}

var lastID atomic.Uint64

func newID() string { return fmt.Sprintf("%016x", lastID.Add(1)<<20|uint64(rand.IntN(1<<20))) }

// resolve renews the list of addresses when it has expired.
func (c *client) resolve() {
	if time.Now().Before(c.expires) {
		return
	}
	n := len(c.fleet.daemons)
	for i := range min(3, n) {
		d := c.fleet.daemons[(c.zone+i)%n]
		client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
		resp, err := client.Get("http://" + d.directory + "/v1/resolve?name=" + host + "&region=nord-italia&zone=" + d.zone)
		if err != nil {
			continue
		}
		var answer struct {
			Addresses []string `json:"addresses"`
			TTL       float64  `json:"ttlS"`
		}
		err = json.NewDecoder(resp.Body).Decode(&answer)
		resp.Body.Close()
		if err != nil || resp.StatusCode != http.StatusOK || len(answer.Addresses) == 0 {
			continue
		}
		c.addresses = answer.Addresses
		c.expires = time.Now().Add(time.Duration(c.holds * min(answer.TTL, 5) * float64(time.Second)))
		c.failed = make(map[string]time.Time)
		for _, old := range c.idle {
			if !slices.Contains(c.addresses, old.address) {
				old.Close()
			}
		}
		c.idle = slices.DeleteFunc(c.idle, func(old *clientConn) bool { return !slices.Contains(c.addresses, old.address) })
		return
	}
}

// connect returns an open connection or makes a new one.
func (c *client) connect() (*clientConn, bool, error) {
	c.mu.Lock()
	c.resolve()
	for len(c.idle) > 0 {
		k := c.idle[len(c.idle)-1]
		c.idle = c.idle[:len(c.idle)-1]
		if time.Since(k.used) < 12*time.Second {
			c.mu.Unlock()
			return k, true, nil
		}
		k.Close()
	}
	var usable []string
	for _, a := range c.addresses {
		if _, failed := c.failed[a]; !failed {
			usable = append(usable, a)
		}
	}
	if len(usable) == 0 {
		usable = c.addresses
	}
	if len(usable) == 0 {
		c.mu.Unlock()
		return nil, false, fmt.Errorf("no address")
	}
	address := usable[rand.IntN(len(usable))]
	c.mu.Unlock()
	dialer := net.Dialer{Timeout: time.Second}
	if c.local != "" {
		dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(c.local)}
	}
	conn, err := dialer.Dial("tcp", address)
	if err != nil {
		c.mu.Lock()
		c.failed[address] = time.Now()
		c.mu.Unlock()
		return nil, false, err
	}
	return &clientConn{Conn: conn, address: address, reader: bufio.NewReader(conn)}, false, nil
}

// do sends one request and returns what came of it.
func (c *client) do(q request) result {
	r := result{id: newID(), path: q.path}
	k, kept, err := c.connect()
	if err != nil {
		r.err = err
		return r
	}
	r.kept = kept
	for _, d := range c.fleet.daemons {
		if d.front == k.address {
			r.daemon = d.name
		}
	}
	r.begun = time.Now()
	if q.leave > 0 {
		timer := time.AfterFunc(q.leave, func() {
			_ = k.Conn.(*net.TCPConn).SetLinger(0)
			k.Close()
		})
		defer timer.Stop()
	}
	_ = k.SetDeadline(r.begun.Add(q.deadline + 5*time.Second))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nBriarrouter-Attempt-Id: %s\r\nBriarrouter-Deadline-Ms: %d\r\n%s", q.method, q.path, host, r.id, q.deadline.Milliseconds(), q.header)
	if q.body > 0 {
		head += fmt.Sprintf("Content-Length: %d\r\n", q.body)
	}
	written := make(chan struct{})
	go func() {
		defer close(written)
		_, err := io.WriteString(k, head+"\r\n")
		piece := make([]byte, 32<<10)
		for left := q.body; left > 0 && err == nil; left -= len(piece) {
			_, err = k.Write(piece[:min(left, len(piece))])
		}
		r.sent = time.Now()
	}()
	if q.body <= 64<<10 {
		<-written
	}
	resp, err := http.ReadResponse(k.reader, &http.Request{Method: q.method})
	var text []byte
	if err == nil {
		text, err = io.ReadAll(resp.Body)
		r.status = resp.StatusCode
	}
	r.ended = time.Now()
	if q.leave > 0 && r.ended.Sub(r.begun) >= q.leave {
		r.left = r.begun.Add(q.leave)
	}
	if err != nil {
		r.err = err
		k.Close()
		<-written
		return r
	}
	if signature := resp.Header.Get("Briarrouter-Response-Signature"); signature != "" {
		r.signed = signature == sign(string(text))
	} else {
		r.reason = string(text)
	}
	if resp.Close {
		k.Close()
		<-written
		return r
	}
	<-written
	if q.leave > 0 {
		k.Close()
		return r
	}
	k.used = time.Now()
	c.mu.Lock()
	c.idle = append(c.idle, k)
	c.mu.Unlock()
	return r
}

// load sends requests of many clients at random times with a mean rate.
type load struct {
	clients []*client
	group   sync.WaitGroup

	mu      sync.Mutex
	results []result
}

// send sends one request of a random client.
func (l *load) send(q request) {
	l.sendBy(l.clients[rand.IntN(len(l.clients))], q)
}

func (l *load) sendBy(c *client, q request) {
	l.group.Add(1)
	go func() {
		defer l.group.Done()
		r := c.do(q)
		l.mu.Lock()
		defer l.mu.Unlock()
		l.results = append(l.results, r)
	}()
}

// run sends requests until the stop channel is closed.
func (l *load) run(stop chan struct{}, perSecond float64, next func() request) {
	at := time.Now()
	for {
		at = at.Add(time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second)))
		select {
		case <-stop:
			return
		case <-time.After(time.Until(at)):
		}
		l.send(next())
	}
}
