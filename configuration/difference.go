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
		old, isOld := from.Values[name]
		next, isNext := to.Values[name]
		switch {
		case !isOld:
			fmt.Fprintf(&b, "+ service %s\n", name)
		case !isNext:
			fmt.Fprintf(&b, "- service %s\n", name)
		default:
			b.WriteString(valueDifference(name, flatten(old), flatten(next)))
		}
	}
	if b.Len() == 0 {
		return "no value changes\n"
	}
	return b.String()
}

// flatten returns the keys of a document, each prefixed with its section.
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
		old, isOld := from[k]
		next, isNext := to[k]
		switch {
		case !isOld:
			fmt.Fprintf(&b, "+ service %s: %s = %s\n", name, k, next)
		case !isNext:
			fmt.Fprintf(&b, "- service %s: %s = %s\n", name, k, old)
		case old != next:
			fmt.Fprintf(&b, "~ service %s: %s: %s -> %s\n", name, k, old, next)
		}
	}
	return b.String()
}
