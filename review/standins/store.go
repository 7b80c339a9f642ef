package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in for the platform's metadata store. It loses nothing, keeps its
// whole history and answers at once.
type store struct {
	mu       sync.Mutex
	items    map[string]item
	history  []item
	revision uint64
	changed  chan struct{}
	// cutUntil is the time until which watches are cut that wait longer than cutAfter,
	// and cuts counts them.
	cutUntil time.Time
	cuts     int
}

// cutAfter is how long a watch waits before it is cut.
const cutAfter = 100 * time.Millisecond

// cut cuts the watches that wait now and those that begin to wait within a time.
func (s *store) cut(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cutUntil = time.Now().Add(d)
	close(s.changed)
	s.changed = make(chan struct{})
}

// cutDue returns after how long a watch that waits is cut; negative if it is not.
func (s *store) cutDue(begun time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !time.Now().Before(s.cutUntil) {
		return -1
	}
	return max(0, cutAfter-time.Since(begun))
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
	return &store{items: make(map[string]item), changed: make(chan struct{}), revision: 1}
}

// put writes an item and returns the time of the acknowledgement.
func (s *store) put(key string, value any) time.Time {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return s.write(key, data)
}

// remove deletes an item.
func (s *store) remove(key string) time.Time { return s.write(key, nil) }

func (s *store) write(key string, data []byte) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	i := item{Key: key, Value: data, Revision: s.revision, Created: s.revision, Removed: data == nil}
	if old, ok := s.items[key]; ok {
		i.Created = old.Created
	}
	if i.Removed {
		delete(s.items, key)
	} else {
		s.items[key] = i
	}
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
	return time.Now()
}

const pageItems = 500

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	switch r.URL.Path {
	case "/v1/kv-range":
		s.list(w, query.Get("prefix"), query.Get("after"))
	case "/v1/kv-watch":
		after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(query.Get("waitMs"))
		s.watch(w, r, query.Get("prefix"), after, time.Duration(wait)*time.Millisecond)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) list(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	page := struct {
		Items   []item `json:"items"`
		HasMore bool   `json:"hasMore"`
		AtRev   uint64 `json:"atRev"`
	}{Items: []item{}, HasMore: len(keys) > pageItems, AtRev: s.revision}
	for _, key := range keys[:min(pageItems, len(keys))] {
		page.Items = append(page.Items, s.items[key])
	}
	s.mu.Unlock()
	writeJSON(w, page)
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, prefix string, after uint64, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	begun := time.Now()
	for {
		s.mu.Lock()
		events := []item{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, prefix) {
				events = append(events, i)
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		response := map[string]any{"events": events, "atRev": at}
		if len(events) > 0 {
			writeJSON(w, response)
			return
		}
		var cut <-chan time.Time
		if due := s.cutDue(begun); due >= 0 {
			cut = time.After(due)
		}
		select {
		case <-cut:
			s.mu.Lock()
			s.cuts++
			s.mu.Unlock()
			panic(http.ErrAbortHandler)
		case <-changed:
		case <-timer.C:
			writeJSON(w, response)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
