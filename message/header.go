// Package message converts HTTP messages to requests and responses of package
// work and back. The servers for callers and for peers share the handling of
// header fields. ReadBody and WriteResponse are for handlers of net/http's
// server, which the server for callers does not use.
package message

import (
	"net/http"
	"slices"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// Prefix is the prefix of the header fields defined by this project.
const Prefix = "Briarrouter-"

// Header fields that the daemon adds to responses.
const (
	OutcomeField = Prefix + "Outcome"
	// ReasonField carries the reason of a response that the daemon generated
	// itself.
	ReasonField = Prefix + "Reason"
	// RequestField carries the id that the daemon assigned to the request.
	RequestField = Prefix + "Request"
)

// hopByHop lists the fields that apply to a single connection (RFC 9110, 7.6.1;
// RFC 2616, 13.5.1).
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// EndToEnd returns a copy of a header without the hop-by-hop fields,
// Content-Length and the fields defined by this project. The values are shared
// with h.
func EndToEnd(h http.Header) http.Header {
	kept := make(http.Header, len(h))
	for name, values := range h {
		if slices.Contains(hopByHop, name) || strings.HasPrefix(name, Prefix) || name == "Content-Length" {
			continue
		}
		kept[name] = values
	}
	DeleteListed(kept, h["Connection"])
	return kept
}

// DeleteListed deletes the fields that the values of a Connection field list. Its time is
// linear in the size of the lists, which callers choose.
func DeleteListed(h http.Header, connection []string) {
	for _, list := range connection {
		for name := range strings.SplitSeq(list, ",") {
			if name = strings.TrimSpace(name); name != "" {
				delete(h, http.CanonicalHeaderKey(name))
			}
		}
	}
}

// IsUpgrade reports whether the message asks for a protocol upgrade.
func IsUpgrade(h http.Header) bool {
	return httpguts.HeaderValuesContainsToken(h["Connection"], "Upgrade")
}
