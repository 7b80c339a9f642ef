package patch

import (
	"fmt"
	"strings"
	"testing"

	"github.com/briarrouter/briarrouter/unit"
	"github.com/sebdah/goldie/v2"
)

// document returns lines of which one can differ from the others.
func document(lines, changed int) []byte {
	var b strings.Builder
	for i := range lines {
		value := 800
		if i == changed {
			value = 900
		}
		fmt.Fprintf(&b, "route %x service s%d timeout %d\n", uint32(i)*2654435761, i%37, value)
	}
	return []byte(b.String())
}

// TestPatches encodes documents relative to earlier ones and decodes the patches with the right and with other bases.
func TestPatches(t *testing.T) {
	large, changed := document(20_000, -1), document(20_000, 300)
	var b strings.Builder
	for _, c := range []struct {
		name             string
		base, next, with []byte
		limit            unit.Bytes
	}{
		{"empty document", nil, nil, nil, unit.MiB},
		{"first document", nil, large, nil, unit.MiB},
		{"one line changed", large, changed, large, unit.MiB},
		{"nothing changed", large, large, large, unit.MiB},
		{"document becomes empty", large, nil, large, unit.MiB},
		{"short documents", []byte("a"), []byte("b"), []byte("a"), unit.MiB},
		{"other base", large, changed, document(20_000, 5), unit.MiB},
		{"base missing", large, changed, nil, unit.MiB},
		{"larger than the limit", nil, large, nil, unit.KiB},
	} {
		data, err := Encode(c.base, c.next)
		fmt.Fprintf(&b, "%s: %d bytes", c.name, len(c.next))
		if err != nil {
			fmt.Fprintf(&b, ", encode: %v\n", err)
			continue
		}
		if len(c.next) > 0 {
			fmt.Fprintf(&b, ", patch under a hundredth: %t", 100*len(data) < len(c.next))
		}
		decoded, err := Decode(c.with, data, c.limit)
		if err != nil {
			fmt.Fprintf(&b, ", %v\n", err)
			continue
		}
		fmt.Fprintf(&b, ", same document: %t\n", string(decoded) == string(c.next))
	}
	goldie.New(t).Assert(t, "patches", []byte(b.String()))
}

// FuzzDecode searches for patches that make the decoder panic or exceed its limit.
func FuzzDecode(f *testing.F) {
	base := document(10, -1)
	data, err := Encode(base, document(10, 3))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		if out, err := Decode(base, data, unit.KiB); err == nil && len(out) > int(unit.KiB) {
			t.Fatalf("document of %d bytes", len(out))
		}
	})
}
