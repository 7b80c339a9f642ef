// Package id names the things of the system. Every id has a type of its own,
// so that the compiler refuses a host where a target is expected.
package id

import (
	"cmp"
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"strconv"
	"time"
)

// Service names a group of targets that answer the same requests.
type Service string

// Target names one upstream process of a service.
type Target string

// Host names one machine that runs a daemon. A replacement host that takes
// over a name is told apart by its Incarnation.
type Host string

// FailureDomain names a part of the plant that can fail as a whole.
type FailureDomain string

// Caller names a client account.
type Caller string

// Route names one kind of request of a service.
type Route string

// Address is an IP address and port, as net.Dial takes it.
type Address string

// Request identifies one arrival of a request at the fleet. It is unique for
// an arrival, not for a caller's repeats of it.
type Request string

// Key is a caller's idempotency key.
type Key string

// Incarnation identifies one run of a daemon process. It is never zero for a
// running process, and a later run of the same host compares higher unless
// the host's wall clock was set back in between.
type Incarnation uint64

// incarnationRandomBits is the part of an Incarnation that is random. The rest
// is the start time in milliseconds.
const incarnationRandomBits = 20

// NewIncarnation returns an incarnation for a process that starts at now.
func NewIncarnation(now time.Time) Incarnation {
	return Incarnation(uint64(now.UnixMilli())<<incarnationRandomBits | randomUint64()>>(64-incarnationRandomBits))
}

// String returns the incarnation as 16 hexadecimal digits.
func (i Incarnation) String() string { return fmt.Sprintf("%016x", uint64(i)) }

// ParseIncarnation reads the form that String writes.
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

// NewRequest returns a request id that no other arrival has.
func NewRequest() Request {
	return Request(fmt.Sprintf("%016x%016x", randomUint64(), randomUint64()))
}

func randomUint64() uint64 {
	var b [8]byte
	rand.Read(b[:])
	return binary.BigEndian.Uint64(b[:])
}

// ConfigVersion orders accepted configurations. Two configurations that carry
// the same number are ordered by their digest, so that every daemon prefers
// the same one.
type ConfigVersion struct {
	// Number is the version that the operator accepted; zero means none.
	Number uint64
	// Digest is the start of the SHA-256 of the configuration's index, in
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

// shortDigest is the number of digits of a digest that String shows.
const shortDigest = 8

// String returns the number and the start of the digest.
func (v ConfigVersion) String() string {
	return fmt.Sprintf("%d-%.*s", v.Number, shortDigest, v.Digest)
}
