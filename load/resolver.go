package load

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/briarrouter/briarrouter/caller"
	"github.com/briarrouter/briarrouter/id"
)

// addressResolver asks daemons which addresses to use for a service, and caches
// the responses for the time that they state.
type addressResolver struct {
	client    *http.Client
	bootstrap []id.Address

	mu     sync.Mutex
	random *rand.Rand
	cache  map[id.Service]cacheEntry
}

// cacheEntry is a cached list of addresses. After it expires, the daemons on it
// are still queried first.
type cacheEntry struct {
	caller.Addresses
	expires time.Time
}

func newAddressResolver(client *http.Client, bootstrap []id.Address, seed uint64) *addressResolver {
	return &addressResolver{client: client, bootstrap: bootstrap, random: rand.New(rand.NewPCG(seed, 2)), cache: make(map[id.Service]cacheEntry)}
}

const queryTimeout = time.Second

// addresses returns the addresses for a service, from the cache or from a
// daemon.
func (r *addressResolver) addresses(ctx context.Context, service id.Service) (caller.Addresses, error) {
	r.mu.Lock()
	entry, ok := r.cache[service]
	r.mu.Unlock()
	if ok && time.Now().Before(entry.expires) {
		return entry.Addresses, nil
	}
	response, err := r.resolve(ctx, service, entry.Addresses)
	if err != nil {
		return response, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	ttl := time.Duration(response.HoldMilliseconds) * time.Millisecond
	r.cache[service] = cacheEntry{Addresses: response, expires: time.Now().Add(ttl)}
	return response, nil
}

// invalidate expires the cache entry of a service, after a daemon has failed to
// respond.
func (r *addressResolver) invalidate(service id.Service) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if entry, ok := r.cache[service]; ok {
		entry.expires = time.Time{}
		r.cache[service] = entry
	}
}

var errNoDaemon = errors.New("no daemon answered the query for addresses")

// resolve queries the daemons of the last response, then the bootstrap addresses,
// until one responds. If that is not the first daemon on its own list, resolve
// queries the first one too and prefers its response: the first attempt of a
// request goes to that daemon, which then has to own the idempotency key, and a
// response gives the key prefix of the daemon that sent it.
func (r *addressResolver) resolve(ctx context.Context, service id.Service, last caller.Addresses) (caller.Addresses, error) {
	for _, address := range r.candidates(last) {
		response, err := r.query(ctx, service, address)
		if err != nil {
			continue
		}
		first := response.Addresses[0].Address
		if first == address {
			return response, nil
		}
		if preferred, err := r.query(ctx, service, first); err == nil {
			return preferred, nil
		}
		return response, nil
	}
	return caller.Addresses{}, errNoDaemon
}

func (r *addressResolver) candidates(last caller.Addresses) []id.Address {
	var list []id.Address
	for _, a := range last.Addresses {
		list = append(list, a.Address)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, i := range r.random.Perm(len(r.bootstrap)) {
		list = append(list, r.bootstrap[i])
	}
	return list
}

func (r *addressResolver) query(ctx context.Context, service id.Service, address id.Address) (caller.Addresses, error) {
	var response caller.Addresses
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+string(address)+caller.AddressesPath+"?Service="+string(service), nil)
	if err != nil {
		return response, err
	}
	httpResponse, err := r.client.Do(req)
	if err != nil {
		return response, err
	}
	defer httpResponse.Body.Close()
	if err := json.NewDecoder(httpResponse.Body).Decode(&response); err != nil {
		return response, err
	}
	if len(response.Addresses) == 0 {
		return response, errors.New("response lists no addresses")
	}
	return response, nil
}
