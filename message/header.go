// Package message turns HTTP messages into requests and answers of package
// work, and back. Callers' and peers' front ends share it.
package message

import (
	"net/http"
	"slices"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// Prefix starts the names of the fields that belong to the system.
const Prefix = "Briarrouter-"

// Fields that the system adds to answers.
const (
	// OutcomeField carries the outcome of the request.
	OutcomeField = Prefix + "Outcome"
	// ReasonField carries the reason of an answer that the system gave itself.
	ReasonField = Prefix + "Reason"
	// RequestField carries the id that the system gave to the request.
	RequestField = Prefix + "Request"
)

// hopByHop lists the fields that belong to one connection (RFC 9110, 7.6.1).
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// EndToEnd returns a copy of a header without the fields of the connection and
// without those of the system.
func EndToEnd(h http.Header) http.Header {
	named := make([]string, 0, len(hopByHop))
	named = append(named, hopByHop...)
	for _, list := range h["Connection"] {
		for _, name := range strings.Split(list, ",") {
			named = append(named, http.CanonicalHeaderKey(strings.TrimSpace(name)))
		}
	}
	kept := make(http.Header, len(h))
	for name, values := range h {
		if slices.Contains(named, name) || strings.HasPrefix(name, Prefix) || name == "Content-Length" {
			continue
		}
		kept[name] = values
	}
	return kept
}

// Upgrade tells whether the message asks to change the protocol.
func Upgrade(h http.Header) bool {
	return httpguts.HeaderValuesContainsToken(h["Connection"], "Upgrade")
}
