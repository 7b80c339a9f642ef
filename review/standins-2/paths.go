package main

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

// paths plays clients whose requests have paths of several forms. A change of the
// configuration adds the route that takes them.
type paths struct {
	rec *record

	mu sync.Mutex
	// ran holds the request lines with which each request ran.
	ran map[string][]string
}

// requestPaths are the paths that are asked for, all below the route "/".
var requestPaths = []string{"/shop/7", "/shop//7", "/shop/7?q=//a", "//shop/7", "//shop/7?size=2", "///shop/7", "//"}

func addedRoute(rec *record, st *store, dir string, trouble bool) {
	s := &paths{rec: rec, ran: make(map[string][]string)}
	u := newUpstream("i-1", "inventario", "yura", 4, s.handle)
	st.register(u, time.Now())
	routes := []route{{"b.example", "/stock/", "idempotent", u.service, 4 * time.Second, 2}}
	st.configure(1, []string{u.service}, routes)
	d := newDaemons(dir, st, 1)[0]
	startAll([]*daemon{d})
	rec.start = time.Now()
	if trouble {
		st.configure(2, []string{u.service}, append(routes, route{"a.example", "/", "idempotent", u.service, 4 * time.Second, 2},
			route{"c.example", "/", "non_idempotent", u.service, 4 * time.Second, 2}))
		rec.line("the configuration adds the routes of a.example and c.example with the prefix /")
		// Well over configApplyMs, 2,000.
		time.Sleep(4 * time.Second)
	}
	changed := 0
	for i, host := range []string{"a.example", "c.example"} {
		method := []string{http.MethodGet, http.MethodPost}[i]
		for n, path := range requestPaths {
			attempt := fmt.Sprintf("visit-%d-%d", i, n)
			if s.request(d, method, host, path, attempt) {
				changed++
			}
		}
	}
	rec.verdict(changed > 0, "%d of %d requests ran with a changed path", changed, 2*len(requestPaths))
}

// handle runs a request at the upstream.
func (s *paths) handle(_ *upstream, c *upstreamConn, a arrival) bool {
	s.mu.Lock()
	s.ran[a.attempt] = append(s.ran[a.attempt], a.method+" "+a.target)
	s.mu.Unlock()
	c.answer(a, "done "+a.attempt)
	return true
}

// request sends a request and reports whether it ran with another method or path.
func (s *paths) request(d *daemon, method, host, path, attempt string) bool {
	c, err := dial(d.front)
	if err != nil {
		unable("%v", err)
	}
	defer c.Close()
	answer, _ := c.do(method, host, path, attempt, "", 4*time.Second)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rec.line("%s sent as %s %s to %s; ran as %q; answered: %s", attempt, method, path, host, s.ran[attempt], answer)
	return slices.ContainsFunc(s.ran[attempt], func(line string) bool { return line != method+" "+path })
}
