package caller

import (
	"encoding/json"
	"net/http"

	"github.com/briarrouter/briarrouter/id"
	"github.com/julienschmidt/httprouter"
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

func (s *Server) addresses(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	service := id.Service(r.URL.Query().Get("Service"))
	answer := Addresses{
		Service:          service,
		HoldMilliseconds: s.cfg.Timing.Hold.Milliseconds(),
		KeyPrefix:        s.handler.KeyPrefix(),
	}
	for _, m := range s.handler.Addresses(service, maxAddresses) {
		answer.Addresses = append(answer.Addresses, Address{Address: m.Callers, Host: m.Host, FailureDomain: m.FailureDomain})
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	if err := json.NewEncoder(w).Encode(answer); err != nil {
		s.cfg.Log.Debug().Err(err).Msg("answer about addresses was not written")
	}
}
