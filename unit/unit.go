// Package unit defines types for quantities, so that the compiler rejects one unit
// where another is expected.
package unit

import (
	"fmt"
	"strconv"
	"strings"
)

type Bytes int64

const (
	KiB Bytes = 1 << 10
	MiB Bytes = 1 << 20
	GiB Bytes = 1 << 30
)

var byteSuffixes = []struct {
	suffix string
	size   Bytes
}{{"GiB", GiB}, {"MiB", MiB}, {"KiB", KiB}, {"B", 1}}

// maxBytes is the largest size that ParseBytes accepts.
const maxBytes Bytes = 1 << 62

// ParseBytes parses a whole number followed by B, KiB, MiB or GiB. Spaces before
// the unit are allowed.
func ParseBytes(s string) (Bytes, error) {
	for _, u := range byteSuffixes {
		digits, ok := strings.CutSuffix(s, u.suffix)
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(strings.TrimSpace(digits), 10, 64)
		if err != nil || n < 0 || n > int64(maxBytes/u.size) {
			break
		}
		return Bytes(n) * u.size, nil
	}
	return 0, fmt.Errorf("size %q: want a whole number and B, KiB, MiB or GiB, between 0 and %s", s, maxBytes)
}

// String formats the size with the largest unit that divides it.
func (b Bytes) String() string {
	for _, u := range byteSuffixes {
		if b != 0 && b%u.size == 0 {
			return fmt.Sprintf("%d%s", int64(b/u.size), u.suffix)
		}
	}
	return fmt.Sprintf("%dB", int64(b))
}

// Slots is a number of requests that a target runs concurrently.
type Slots int

type Targets int

// Ratio is a fraction between 0 and 1.
type Ratio float64

// Millicores is CPU capacity in thousandths of one core.
type Millicores int

// PerSecond is a rate in events a second.
type PerSecond float64
