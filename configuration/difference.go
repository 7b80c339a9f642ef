package configuration

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/briarrouter/briarrouter/id"
	"gopkg.in/ini.v1"
)

// Difference describes what changes from one configuration to another, one
// change per line.
func Difference(from, to Documents) string {
	names := make(map[id.Service]bool)
	for name := range from.Values {
		names[name] = true
	}
	for name := range to.Values {
		names[name] = true
	}
	var b strings.Builder
	for _, name := range slices.Sorted(maps.Keys(names)) {
		old, inFrom := from.Values[name]
		next, inTo := to.Values[name]
		switch {
		case !inFrom:
			fmt.Fprintf(&b, "+ service %s\n", name)
		case !inTo:
			fmt.Fprintf(&b, "- service %s\n", name)
		default:
			b.WriteString(valueDifference(name, flatten(old), flatten(next)))
		}
	}
	if b.Len() == 0 {
		return "the values of all services are equal\n"
	}
	return b.String()
}

// flatten returns the values of a document by key; each key is prefixed with its
// section.
func flatten(data []byte) map[string]string {
	doc, err := ini.Load(data)
	if err != nil {
		return map[string]string{"(cannot be parsed)": err.Error()}
	}
	flat := make(map[string]string)
	for _, s := range doc.Sections() {
		for _, k := range s.Keys() {
			flat["["+s.Name()+"] "+k.Name()] = k.String()
		}
	}
	return flat
}

func valueDifference(name id.Service, from, to map[string]string) string {
	keys := make(map[string]bool)
	for k := range from {
		keys[k] = true
	}
	for k := range to {
		keys[k] = true
	}
	var b strings.Builder
	for _, k := range slices.Sorted(maps.Keys(keys)) {
		old, inFrom := from[k]
		next, inTo := to[k]
		switch {
		case !inFrom:
			fmt.Fprintf(&b, "+ service %s: %s = %s\n", name, k, next)
		case !inTo:
			fmt.Fprintf(&b, "- service %s: %s = %s\n", name, k, old)
		case old != next:
			fmt.Fprintf(&b, "~ service %s: %s: %s -> %s\n", name, k, old, next)
		}
	}
	return b.String()
}
