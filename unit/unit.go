// Package unit gives the quantities of the system types of their own.
package unit

import (
	"fmt"
	"strconv"
	"strings"
)

// Bytes is a size in bytes.
type Bytes int64

// Binary multiples of a byte.
const (
	KiB Bytes = 1 << 10
	MiB Bytes = 1 << 20
	GiB Bytes = 1 << 30
)

var byteSuffixes = []struct {
	suffix string
	size   Bytes
}{{"GiB", GiB}, {"MiB", MiB}, {"KiB", KiB}, {"B", 1}}

// ParseBytes reads a whole number followed by B, KiB, MiB or GiB.
func ParseBytes(s string) (Bytes, error) {
	for _, u := range byteSuffixes {
		digits, ok := strings.CutSuffix(s, u.suffix)
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(strings.TrimSpace(digits), 10, 64)
		if err != nil || n < 0 || n > int64(1<<62)/int64(u.size) {
			break
		}
		return Bytes(n) * u.size, nil
	}
	return 0, fmt.Errorf("size %q: want a whole number and B, KiB, MiB or GiB", s)
}

// String writes the size with the largest suffix that divides it.
func (b Bytes) String() string {
	for _, u := range byteSuffixes {
		if b != 0 && b%u.size == 0 {
			return fmt.Sprintf("%d%s", int64(b/u.size), u.suffix)
		}
	}
	return fmt.Sprintf("%dB", int64(b))
}

// Slots counts requests that a target runs at the same time.
type Slots int

// Targets counts targets.
type Targets int

// Ratio is a share between 0 and 1.
type Ratio float64

// Millicores is processor time in thousandths of one core.
type Millicores int
