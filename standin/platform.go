// Package standin holds small programs that take the place of the outside
// systems in tests and trials: the platform's service, and targets.
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

// PlatformConfig makes a Platform.
type PlatformConfig struct {
	// Rate is how many calls a second are answered.
	Rate int
}

// version is one version of a value.
type version struct {
	data []byte
	tag  string
}

// Platform holds values that can be read and watched. Its control address
// publishes values and switches faults on.
type Platform struct {
	limiter *rate.Limiter

	mu sync.Mutex
	// versions holds every version of each value, the newest last.
	versions map[publication.Key][]version
	// changed is closed and replaced at each change.
	changed chan struct{}
	down    bool
	// stale makes reads answer this many versions behind the newest.
	stale  int
	calls  int64
	denied int64
}

// NewPlatform returns a platform without values.
func NewPlatform(cfg PlatformConfig) *Platform {
	return &Platform{
		limiter:  rate.NewLimiter(rate.Limit(cfg.Rate), cfg.Rate),
		versions: make(map[publication.Key][]version),
		changed:  make(chan struct{}),
	}
}

// Put publishes a version of a value.
func (p *Platform) Put(key publication.Key, data []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.versions[key]
	tag := fmt.Sprintf("%q", fmt.Sprintf("%d-%.12s", len(list)+1, configuration.Digest(data)))
	p.versions[key] = append(list, version{data: data, tag: tag})
	p.notify()
}

func (p *Platform) notify() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// read returns the version that readers see now, and the channel that is
// closed at the next change.
func (p *Platform) read(key publication.Key) (v version, ok bool, changed chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.versions[key]
	if len(list) == 0 {
		return version{}, false, p.changed
	}
	return list[max(0, len(list)-1-p.stale)], true, p.changed
}

// Handler answers readers.
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
			w.WriteHeader(missingStatus(ok))
			return
		}
	}
}

func missingStatus(known bool) int {
	if known {
		return http.StatusNotModified
	}
	return http.StatusNotFound
}

// admit counts a call and refuses it where the platform is down or the rate is
// exceeded.
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

func preferredWait(h http.Header) time.Duration {
	seconds, err := strconv.Atoi(strings.TrimPrefix(h.Get("Prefer"), "wait="))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// PlatformCounts is the answer of the control address about calls.
type PlatformCounts struct {
	Calls  int64
	Denied int64
}

// Control answers whoever runs the trial: PUT of a value under its key, PUT
// and DELETE of the faults down and stale, GET of the counts.
func (p *Platform) Control() http.Handler {
	r := httprouter.New()
	r.PUT(publication.ValuesPath+"*key", p.put)
	r.PUT("/faults/:fault", p.switchFault)
	r.DELETE("/faults/:fault", p.switchFault)
	r.GET("/counts", p.counts)
	return r
}

func (p *Platform) put(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	data, err := io.ReadAll(io.LimitReader(r.Body, int64(publication.MaxValue)+1))
	if err != nil || len(data) > int(publication.MaxValue) {
		http.Error(w, "a value must be at most "+publication.MaxValue.String(), http.StatusBadRequest)
		return
	}
	p.Put(publication.Key(strings.TrimPrefix(params.ByName("key"), "/")), data)
}

func (p *Platform) switchFault(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	on := r.Method == http.MethodPut
	p.mu.Lock()
	defer p.mu.Unlock()
	switch params.ByName("fault") {
	case "down":
		p.down = on
	case "stale":
		p.stale = 0
		if on {
			p.stale = 1
		}
	default:
		http.Error(w, "unknown fault; accepted: down, stale", http.StatusBadRequest)
		return
	}
	p.notify()
}

func (p *Platform) counts(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	p.mu.Lock()
	defer p.mu.Unlock()
	writeJSON(w, PlatformCounts{Calls: p.calls, Denied: p.denied})
}
