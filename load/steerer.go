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

// steerer asks the fleet which addresses to use and holds the answers.
type steerer struct {
	client  *http.Client
	entries []id.Address

	mu     sync.Mutex
	random *rand.Rand
	held   map[id.Service]held
}

// held is an answer about addresses.
type held struct {
	caller.Addresses
	until time.Time
}

func newSteerer(client *http.Client, entries []id.Address, seed uint64) *steerer {
	return &steerer{client: client, entries: entries, random: rand.New(rand.NewPCG(seed, 2)), held: make(map[id.Service]held)}
}

const askTimeout = time.Second

// addresses returns the addresses for a service, from the answer that is held
// or from a daemon.
func (s *steerer) addresses(ctx context.Context, service id.Service) (caller.Addresses, error) {
	s.mu.Lock()
	h, ok := s.held[service]
	s.mu.Unlock()
	if ok && time.Now().Before(h.until) {
		return h.Addresses, nil
	}
	answer, err := s.ask(ctx, service, h.Addresses)
	if err != nil {
		return answer, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	hold := time.Duration(answer.HoldMilliseconds) * time.Millisecond
	s.held[service] = held{Addresses: answer, until: time.Now().Add(hold)}
	return answer, nil
}

// forget drops the answer about a service after a daemon did not answer.
func (s *steerer) forget(service id.Service) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if h, ok := s.held[service]; ok {
		h.until = time.Time{}
		s.held[service] = h
	}
}

var errNoEntry = errors.New("no daemon answers")

// ask asks the daemons of the last answer first, then the entries. The answer
// of the daemon in use carries the prefix of the keys that it owns.
func (s *steerer) ask(ctx context.Context, service id.Service, last caller.Addresses) (caller.Addresses, error) {
	for _, address := range s.candidates(last) {
		answer, err := s.askOne(ctx, service, address)
		if err != nil {
			continue
		}
		first := answer.Addresses[0].Address
		if first == address {
			return answer, nil
		}
		if preferred, err := s.askOne(ctx, service, first); err == nil {
			return preferred, nil
		}
		return answer, nil
	}
	return caller.Addresses{}, errNoEntry
}

func (s *steerer) candidates(last caller.Addresses) []id.Address {
	var list []id.Address
	for _, a := range last.Addresses {
		list = append(list, a.Address)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, i := range s.random.Perm(len(s.entries)) {
		list = append(list, s.entries[i])
	}
	return list
}

func (s *steerer) askOne(ctx context.Context, service id.Service, address id.Address) (caller.Addresses, error) {
	var answer caller.Addresses
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+string(address)+caller.AddressesPath+"?Service="+string(service), nil)
	if err != nil {
		return answer, err
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return answer, err
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(resp.Body).Decode(&answer); err != nil {
		return answer, err
	}
	if len(answer.Addresses) == 0 {
		return answer, errors.New("answer without addresses")
	}
	return answer, nil
}
