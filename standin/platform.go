// Package standin implements fakes (stand-ins) of the external systems that a
// daemon talks to, for tests and trial deployments: the platform's key-value
// service and targets. Each has a control address, at which tests inject faults
// and read counters.
package standin

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/briarrouter/briarrouter/configuration"
	"github.com/briarrouter/briarrouter/publication"
	"github.com/julienschmidt/httprouter"
	"golang.org/x/time/rate"
)

type PlatformConfig struct {
	// Rate is the maximum number of reads per second and the maximum burst. Further
	// reads get status 429.
	Rate int
}

// version is one published version of a value.
type version struct {
	data []byte
	// tag is the ETag in quotes: the number of the version and the start of its
	// digest.
	tag string
}

// Platform stores versioned values that daemons read and watch by long polls.
// Values are published and faults injected through its control address.
type Platform struct {
	limiter *rate.Limiter

	mu sync.Mutex
	// versions holds all published versions of each value, oldest first.
	versions map[publication.Key][]version
	// changed is closed and replaced whenever a value or a fault changes, which
	// wakes the long polls.
	changed chan struct{}
	// down makes every new read fail with status 503. It does not affect long polls
	// that are already waiting, nor the control address.
	down bool
	// lag is the number of versions by which reads are behind the newest one.
	lag int
	// calls counts the reads, including the rejected ones.
	calls int64
	// denied counts the reads rejected by the rate limit.
	denied int64
}

func NewPlatform(cfg PlatformConfig) *Platform {
	return &Platform{
		limiter:  rate.NewLimiter(rate.Limit(cfg.Rate), cfg.Rate),
		versions: make(map[publication.Key][]version),
		changed:  make(chan struct{}),
	}
}

// Put publishes a new version of a value.
func (p *Platform) Put(key publication.Key, data []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	versions := p.versions[key]
	tag := fmt.Sprintf("%q", fmt.Sprintf("%d-%.12s", len(versions)+1, configuration.Digest(data)))
	p.versions[key] = append(versions, version{data: data, tag: tag})
	p.notify()
}

func (p *Platform) notify() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// read returns the version that readers currently see and the channel that is
// closed at the next change.
func (p *Platform) read(key publication.Key) (v version, ok bool, changed chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	versions := p.versions[key]
	if len(versions) == 0 {
		return version{}, false, p.changed
	}
	return versions[max(0, len(versions)-1-p.lag)], true, p.changed
}

// Handler returns the handler of the address that daemons read from.
func (p *Platform) Handler() http.Handler {
	r := httprouter.New()
	r.GET(publication.ValuesPath+"*key", p.get)
	return r
}

func (p *Platform) get(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	if status := p.admit(); status != http.StatusOK {
		http.Error(w, http.StatusText(status), status)
		return
	}
	key := publication.Key(strings.TrimPrefix(params.ByName("key"), "/"))
	ctx, cancel := context.WithTimeout(r.Context(), preferredWait(r.Header))
	defer cancel()
	for {
		v, ok, changed := p.read(key)
		if ok && v.tag != r.Header.Get("If-None-Match") {
			w.Header().Set("ETag", v.tag)
			w.Write(v.data)
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			w.WriteHeader(unchangedStatus(ok))
			return
		}
	}
}

// unchangedStatus returns the status of a long poll that ended without a new
// version: 304, or 404 if no version of the value exists.
func unchangedStatus(exists bool) int {
	if exists {
		return http.StatusNotModified
	}
	return http.StatusNotFound
}

// admit counts a read and returns the status to reject it with, or StatusOK.
func (p *Platform) admit() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls++
	switch {
	case p.down:
		return http.StatusServiceUnavailable
	case !p.limiter.Allow():
		p.denied++
		return http.StatusTooManyRequests
	default:
		return http.StatusOK
	}
}

// preferredWait returns how long a long poll may wait, from the header field
// "Prefer: wait=SECONDS"; 0 if it is absent or invalid.
func preferredWait(h http.Header) time.Duration {
	seconds, err := strconv.Atoi(strings.TrimPrefix(h.Get("Prefer"), "wait="))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// PlatformCounts is the JSON response of the control address to GET /counts.
// Calls counts all reads, and Denied those that the rate limit rejected.
type PlatformCounts struct {
	Calls  int64
	Denied int64
}

// Control returns the handler of the control address: PUT publishes a value
// under its key, PUT and DELETE switch a fault on and off (/faults/down or
// /faults/stale), and GET /counts returns the PlatformCounts.
func (p *Platform) Control() http.Handler {
	r := httprouter.New()
	r.PUT(publication.ValuesPath+"*key", p.put)
	r.PUT("/faults/:fault", p.setFault)
	r.DELETE("/faults/:fault", p.setFault)
	r.GET("/counts", p.counts)
	return r
}

func (p *Platform) put(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	data, err := io.ReadAll(io.LimitReader(r.Body, int64(publication.MaxValueSize)+1))
	if err != nil || len(data) > int(publication.MaxValueSize) {
		http.Error(w, "the value cannot be read or is larger than "+publication.MaxValueSize.String(), http.StatusBadRequest)
		return
	}
	p.Put(publication.Key(strings.TrimPrefix(params.ByName("key"), "/")), data)
}

func (p *Platform) setFault(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	on := r.Method == http.MethodPut
	p.mu.Lock()
	defer p.mu.Unlock()
	switch params.ByName("fault") {
	case "down":
		p.down = on
	case "stale":
		p.lag = 0
		if on {
			p.lag = 1
		}
	default:
		http.Error(w, fmt.Sprintf("unknown fault %q; accepted: down, stale", params.ByName("fault")), http.StatusBadRequest)
		return
	}
	p.notify()
}

func (p *Platform) counts(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	p.mu.Lock()
	defer p.mu.Unlock()
	writeJSON(w, PlatformCounts{Calls: p.calls, Denied: p.denied})
}
