// Command standins2 holds the stand-ins of the review's scripts: the platform's store,
// upstreams and clients, and the scenarios that use them.
package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's metadata store. It is only read by the system.
type store struct {
	mu       sync.Mutex
	items    map[string]item
	history  []item
	revision uint64
	changed  chan struct{}
	address  string
}

type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created"`
	Lease    int    `json:"lease"`
	Removed  bool   `json:"removed,omitempty"`
}

func newStore() *store {
	s := &store{items: make(map[string]item), revision: 1, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv-range", s.list)
	mux.HandleFunc("GET /v1/kv-watch", s.watch)
	l := listen()
	s.address = l.Addr().String()
	go http.Serve(l, mux)
	return s
}

func listen() net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		unable("listen: %v", err)
	}
	return l
}

// put writes a value, or removes the key if it is nil.
func (s *store) put(key string, value any) {
	var data []byte
	if value != nil {
		data, _ = json.Marshal(value)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	i := item{Key: key, Value: data, Revision: s.revision, Created: s.revision, Removed: data == nil}
	if i.Removed {
		delete(s.items, key)
	} else {
		s.items[key] = i
	}
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := r.URL.Query()
	var keys []string
	for k := range s.items {
		if strings.HasPrefix(k, q.Get("prefix")) && k > q.Get("after") {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	more := len(keys) > 500
	keys = keys[:min(500, len(keys))]
	page := []item{}
	for _, k := range keys {
		page = append(page, s.items[k])
	}
	writeJSON(w, map[string]any{"items": page, "hasMore": more, "atRev": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	timer := time.NewTimer(time.Duration(min(wait, 30000)) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		events := []item{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, q.Get("prefix")) {
				events = append(events, i)
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			writeJSON(w, map[string]any{"events": events, "atRev": at})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			writeJSON(w, map[string]any{"events": events, "atRev": at})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(v)
}

// route is a route of the operator's configuration.
type route struct {
	host, prefix, kind, service string
	timeout                     time.Duration
	attempts                    int
}

// configure writes a version of the operator's configuration.
func (s *store) configure(version int, services []string, routes []route) {
	var serviceEntries, hosts []any
	for _, name := range services {
		serviceEntries = append(serviceEntries, map[string]any{"name": name, "healthPath": "/health", "maxConns": 360, "protocol": "h1", "tls": false})
	}
	paths := map[string][]any{}
	for i, r := range routes {
		paths[r.host] = append(paths[r.host], map[string]any{
			"name": fmt.Sprintf("r-%d", i), "prefix": r.prefix, "kind": r.kind, "timeoutMs": r.timeout.Milliseconds(), "targetLatencyMs": 1500,
			"priority": 1, "service": r.service, "maxAttempts": r.attempts,
		})
	}
	for host, p := range paths {
		hosts = append(hosts, map[string]any{"host": host, "paths": p})
	}
	s.put("op/config", map[string]any{
		"version": version, "services": serviceEntries, "hosts": hosts,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
}

// register writes the entry of an upstream that started at a time.
func (s *store) register(u *upstream, born time.Time) {
	s.put("servers/"+u.id, map[string]any{
		"service": u.service, "address": u.address(), "zone": u.zone, "version": "v1", "slots": u.slots, "state": "ready",
		"warmupLeftMs": 0, "seq": 1, "born": born.UnixMilli(),
	})
}
