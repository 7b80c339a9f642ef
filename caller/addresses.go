package caller

import (
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/briarrouter/briarrouter/id"
	"github.com/briarrouter/briarrouter/outcome"
	"github.com/briarrouter/briarrouter/unit"
	"github.com/briarrouter/briarrouter/work"
)

// AddressesPath is where callers ask which addresses to use. The query names
// the service.
const AddressesPath = "/.well-known/briarrouter/addresses"

// maxAddresses bounds the addresses in an answer.
const maxAddresses = 4

// Addresses is the answer to a caller who asks which addresses to use.
type Addresses struct {
	Service id.Service
	// HoldMilliseconds is how long the answer may be kept.
	HoldMilliseconds int64
	// KeyPrefix starts the idempotency keys that the caller makes while it
	// holds the answer. The daemon that gave the answer owns those keys.
	KeyPrefix string
	// Addresses lists the daemons to use, the preferred one first; never
	// empty.
	Addresses []Address
}

// Address is one daemon.
type Address struct {
	Address       id.Address
	Host          id.Host
	FailureDomain id.FailureDomain
}

// addresses answers a caller who asks which addresses to use, in the project's
// own dialect.
func (s *Server) addresses(r *http.Request) (work.Answer, bool) {
	if s.cfg.Dialect != nil || r.Method != http.MethodGet || r.URL.Path != AddressesPath {
		return work.Answer{}, false
	}
	service := id.Service(r.URL.Query().Get("Service"))
	list := Addresses{
		Service:          service,
		HoldMilliseconds: s.timing.Load().Hold.Milliseconds(),
		KeyPrefix:        s.handler.KeyPrefix(),
	}
	for _, m := range s.handler.Addresses(service, maxAddresses) {
		list.Addresses = append(list.Addresses, Address{Address: m.Callers, Host: m.Host, FailureDomain: m.FailureDomain})
	}
	text, err := json.Marshal(list)
	if err != nil {
		panic(fmt.Sprintf("caller: addresses cannot be encoded: %v", err))
	}
	header := http.Header{"Content-Type": {"application/json"}, "Cache-Control": {"no-store"}}
	return work.Answer{Outcome: outcome.Ran, Status: http.StatusOK, Header: header, Held: text, Size: unit.Bytes(len(text))}, true
}
