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

// AddressesPath is the path at which callers request the addresses of the
// daemons to use. The query parameter Service names the service.
const AddressesPath = "/.well-known/briarrouter/addresses"

// maxAddresses bounds the number of addresses in a response.
const maxAddresses = 4

// Addresses is the JSON response to a request for the daemons to use.
type Addresses struct {
	Service id.Service
	// HoldMilliseconds is how long the caller may cache the response.
	HoldMilliseconds int64
	// KeyPrefix is the prefix of the idempotency keys that the caller generates
	// while it holds the response. The daemon that sent the response owns those
	// keys.
	KeyPrefix string
	// Addresses lists the daemons to use in order of preference; never empty.
	Addresses []Address
}

// Address identifies one daemon.
type Address struct {
	Address       id.Address
	Host          id.Host
	FailureDomain id.FailureDomain
}

// addressResponse returns the response to a request for AddressesPath. It returns
// false for other requests, and for every request if Config.Dialect is set:
// callers of that dialect discover the daemons by other means.
func (s *Server) addressResponse(r *http.Request) (work.Response, bool) {
	if s.cfg.Dialect != nil || r.Method != http.MethodGet || r.URL.Path != AddressesPath {
		return work.Response{}, false
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
		panic(fmt.Sprintf("caller: encode addresses: %v", err))
	}
	header := http.Header{"Content-Type": {"application/json"}, "Cache-Control": {"no-store"}}
	return work.Response{Outcome: outcome.Ran, Status: http.StatusOK, Header: header, Buffered: text, Size: unit.Bytes(len(text))}, true
}
