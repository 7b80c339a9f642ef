package work

import (
	"bytes"
	"net/http"
	"net/textproto"
	"strings"

	"github.com/briarrouter/briarrouter/unit"
)

// Fields are header fields, encoded as they are sent: one line for each value. They take
// little more memory than on the wire, while a map of net/http takes up to 60 times as
// much. The zero value has no fields. Fields are immutable.
type Fields struct{ lines []byte }

// excludedFields lists the fields that the sender of a request sets itself.
var excludedFields = map[string]bool{"Host": true, "Content-Length": true, "Transfer-Encoding": true, "Trailer": true}

// EncodeFields encodes a header without the fields that the sender of a request sets
// itself.
func EncodeFields(h http.Header) Fields {
	var b bytes.Buffer
	// A bytes.Buffer returns no errors.
	_ = h.WriteSubset(&b, excludedFields)
	return Fields{lines: bytes.Clone(b.Bytes())}
}

// Size returns the encoded size.
func (f Fields) Size() unit.Bytes { return unit.Bytes(len(f.lines)) }

// Header returns the fields as a map.
func (f Fields) Header() http.Header {
	h := make(http.Header)
	for line := range bytes.Lines(f.lines) {
		name, value, _ := strings.Cut(strings.TrimSuffix(string(line), "\r\n"), ":")
		h[name] = append(h[name], textproto.TrimString(value))
	}
	return h
}

// Replace returns the fields with those of the names in h replaced by h. A name without
// values removes its fields.
func (f Fields) Replace(h http.Header) Fields {
	b := bytes.NewBuffer(f.AppendTo(nil, h))
	// A bytes.Buffer returns no errors.
	_ = h.WriteSubset(b, excludedFields)
	return Fields{lines: b.Bytes()}
}

// AppendTo appends the encoded lines to b, without those of the fields in replaced.
func (f Fields) AppendTo(b []byte, replaced http.Header) []byte {
	for line := range bytes.Lines(f.lines) {
		name, _, _ := bytes.Cut(line, []byte(":"))
		if _, ok := replaced[string(name)]; !ok {
			b = append(b, line...)
		}
	}
	return b
}
