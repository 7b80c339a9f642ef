// Package id defines the types of names and identifiers. Each kind has its own
// type, so that the compiler rejects a host where a target is expected.
package id

import (
	"cmp"
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"strconv"
	"time"
)

// Service is the name of a group of targets that serve the same requests.
type Service string

// Target is the name of one upstream process of a service.
type Target string

// Host is the name of a machine that runs a daemon. A replacement host that takes
// over a name is distinguished by its Incarnation.
type Host string

// FailureDomain is the name of a part of the infrastructure that can fail as a
// whole, such as a zone.
type FailureDomain string

// Caller is the name of a client account.
type Caller string

// Origin is the IP address that a caller's connection comes from.
type Origin string

// Route is the name of one kind of request of a service.
type Route string

// Address is an IP address and port in the form that net.Dial takes.
type Address string

// Request identifies a request that arrived at a daemon. A retry of the caller
// arrives as a request with another id.
type Request string

// Key is a caller's idempotency key.
type Key string

// Incarnation identifies one run of a daemon process. It is never zero for a
// running process. A later run on the same host has a higher value unless the
// host's wall clock was set back in between.
type Incarnation uint64

// incarnationRandomBits is the number of low bits of an Incarnation that are
// random. The others are the start time in milliseconds.
const incarnationRandomBits = 20

// NewIncarnation returns the incarnation of a process that starts at now.
func NewIncarnation(now time.Time) Incarnation {
	return Incarnation(uint64(now.UnixMilli())<<incarnationRandomBits | randomUint64()>>(64-incarnationRandomBits))
}

// String returns the incarnation as 16 hexadecimal digits.
func (i Incarnation) String() string { return fmt.Sprintf("%016x", uint64(i)) }

// ParseIncarnation parses the result of Incarnation.String.
func ParseIncarnation(s string) (Incarnation, error) {
	if len(s) != 16 {
		return 0, fmt.Errorf("incarnation %q: want 16 hexadecimal digits", s)
	}
	n, err := strconv.ParseUint(s, 16, 64)
	if err != nil {
		return 0, fmt.Errorf("incarnation %q: want 16 hexadecimal digits", s)
	}
	return Incarnation(n), nil
}

// NewRequest returns a random request id.
func NewRequest() Request {
	return Request(fmt.Sprintf("%016x%016x", randomUint64(), randomUint64()))
}

func randomUint64() uint64 {
	var b [8]byte
	rand.Read(b[:])
	return binary.BigEndian.Uint64(b[:])
}

// ConfigVersion identifies a configuration and orders it among the others.
// Configurations with the same number are ordered by their digests, so that all
// daemons prefer the same one.
type ConfigVersion struct {
	// Number is the version number of the configuration. Zero stands for no
	// configuration.
	Number uint64
	// Digest is the first digits of the SHA-256 of the configuration's index, in
	// hexadecimal.
	Digest string
}

// Compare returns a negative number if v is older than w, zero if they are the
// same configuration, and a positive number if v is newer.
func (v ConfigVersion) Compare(w ConfigVersion) int {
	if c := cmp.Compare(v.Number, w.Number); c != 0 {
		return c
	}
	return cmp.Compare(v.Digest, w.Digest)
}

// shownDigestLength is the number of digits of the digest in ConfigVersion.String.
const shownDigestLength = 8

// String returns the number and the first digits of the digest.
func (v ConfigVersion) String() string {
	return fmt.Sprintf("%d-%.*s", v.Number, shownDigestLength, v.Digest)
}
