// Package inifile reads INI files strictly: unknown or duplicate sections and keys
// are errors. It collects all problems of a file instead of stopping at the
// first. Each problem names the file and, where they apply, the section, the key
// and the accepted values.
package inifile

import (
	"cmp"
	"errors"
	"fmt"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/briarrouter/briarrouter/id"
	"github.com/briarrouter/briarrouter/unit"
	"gopkg.in/ini.v1"
)

// Problem is one error in a file. Section and Key are empty if the error concerns
// no particular section or key. Accepted is empty if there are no accepted values
// to list.
type Problem struct {
	File     string
	Section  string
	Key      string
	Fault    string
	Accepted string
}

// Error formats the problem on one line.
func (p Problem) Error() string {
	var b strings.Builder
	b.WriteString(p.File)
	if p.Section != "" {
		fmt.Fprintf(&b, ": [%s]", p.Section)
	}
	if p.Key != "" {
		fmt.Fprintf(&b, " %s", p.Key)
	}
	fmt.Fprintf(&b, ": %s", p.Fault)
	if p.Accepted != "" {
		fmt.Fprintf(&b, "; accepted: %s", p.Accepted)
	}
	return b.String()
}

// MaxSize is the size of the largest file that Parse accepts.
const MaxSize = unit.MiB

// File is a parsed file. It records the problems found, and which sections and
// keys were requested: Err reports the others as unknown.
type File struct {
	name     string
	doc      *ini.File
	problems []Problem
	// known lists the requested keys of each requested section.
	known map[string][]string
	// kinds lists the requested kinds of sections. A section such as [Service beds]
	// has the kind Service and its own name beds.
	kinds []string
}

// Parse parses the contents of a file. If they are too large or not in INI syntax,
// the File has one problem and no sections.
func Parse(name string, data []byte) *File {
	f := &File{name: name, doc: ini.Empty(), known: make(map[string][]string)}
	if unit.Bytes(len(data)) > MaxSize {
		f.problem("", "", fmt.Sprintf("file is %d bytes long", len(data)), "at most "+MaxSize.String())
		return f
	}
	doc, err := ini.LoadSources(ini.LoadOptions{
		AllowShadows:               true,
		AllowDuplicateShadowValues: true,
		AllowNonUniqueSections:     true,
		SpaceBeforeInlineComment:   true,
	}, data)
	if err != nil {
		f.problem("", "", strings.TrimSpace(err.Error()), "[Section] lines and Key = Value lines")
		return f
	}
	f.doc = doc
	f.findDuplicates()
	return f
}

func (f *File) findDuplicates() {
	seen := make(map[string]bool)
	for _, s := range f.doc.Sections() {
		if seen[s.Name()] {
			f.problem(s.Name(), "", "section appears more than once", "one section per name")
		}
		seen[s.Name()] = true
		for _, k := range s.Keys() {
			if len(k.ValueWithShadows()) > 1 {
				f.problem(s.Name(), k.Name(), "key appears more than once", "one line per key")
			}
		}
	}
}

func (f *File) problem(section, key, fault, accepted string) {
	f.problems = append(f.problems, Problem{File: f.name, Section: section, Key: key, Fault: fault, Accepted: accepted})
}

// Section returns the section with the given name. If there is none, it records
// that as a problem and returns an empty section, for which no missing keys are
// reported.
func (f *File) Section(name string) *Section {
	s, err := f.doc.GetSection(name)
	if err == nil {
		return f.section(s)
	}
	f.problem(name, "", "section is missing", "")
	f.known[name] = []string{}
	return &Section{file: &File{known: f.known}, ini: ini.Empty().Section(name)}
}

// Has reports whether there is a section with the given name.
func (f *File) Has(name string) bool { return f.doc.HasSection(name) }

// Optional returns the section with the given name, or an empty one.
func (f *File) Optional(name string) *Section {
	s, err := f.doc.GetSection(name)
	if err != nil {
		s = ini.Empty().Section(name)
	}
	return f.section(s)
}

// Sections returns the sections of a kind in the order of the file. Their names
// consist of the kind, a space and their own name.
func (f *File) Sections(kind string) []*Section {
	f.kinds = append(f.kinds, kind)
	var found []*Section
	for _, s := range f.doc.Sections() {
		first, rest, ok := strings.Cut(s.Name(), " ")
		if !ok || first != kind {
			continue
		}
		if strings.TrimSpace(rest) == "" {
			f.problem(s.Name(), "", "section has no name", "["+kind+" name]")
		}
		found = append(found, f.section(s))
	}
	return found
}

func (f *File) section(s *ini.Section) *Section {
	if _, ok := f.known[s.Name()]; !ok {
		f.known[s.Name()] = []string{}
	}
	return &Section{file: f, ini: s}
}

// Err returns all problems, sorted by section and key, or nil if there are none.
// Sections and keys that were not requested before the call are reported as
// unknown.
func (f *File) Err() error {
	f.findUnknown()
	slices.SortStableFunc(f.problems, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.Section, b.Section), cmp.Compare(a.Key, b.Key))
	})
	f.problems = slices.Compact(f.problems)
	errs := make([]error, len(f.problems))
	for i, p := range f.problems {
		errs[i] = p
	}
	return errors.Join(errs...)
}

func (f *File) findUnknown() {
	for _, s := range f.doc.Sections() {
		keys, ok := f.known[s.Name()]
		if !ok && (s.Name() != ini.DefaultSection || len(s.Keys()) > 0) {
			f.problem(s.Name(), "", "unknown section", f.acceptedSections())
			continue
		}
		for _, k := range s.Keys() {
			if !slices.Contains(keys, k.Name()) {
				f.problem(s.Name(), k.Name(), "unknown key", strings.Join(keys, ", "))
			}
		}
	}
}

func (f *File) acceptedSections() string {
	var names []string
	for name := range f.known {
		if kind, _, ok := strings.Cut(name, " "); !ok || !slices.Contains(f.kinds, kind) {
			names = append(names, "["+name+"]")
		}
	}
	for _, kind := range f.kinds {
		names = append(names, "["+kind+" name]")
	}
	slices.Sort(names)
	return strings.Join(slices.Compact(names), ", ")
}

// Section is a section of a File. If a value is missing or not accepted, its
// methods record a problem instead of returning an error, so that all problems of
// a file are found; the value that they return must then not be used. Methods with
// a fallback return it if the key does not exist.
type Section struct {
	file *File
	ini  *ini.Section
}

// Name returns the full name of the section, including its kind.
func (s *Section) Name() string { return s.ini.Name() }

// OwnName returns the name of the section without its kind, such as beds for
// [Service beds].
func (s *Section) OwnName() string {
	_, rest, _ := strings.Cut(s.ini.Name(), " ")
	return strings.TrimSpace(rest)
}

// Problem records a problem of a key, or of the section if key is empty.
func (s *Section) Problem(key, fault, accepted string) {
	s.file.problem(s.Name(), key, fault, accepted)
}

// lookup returns the value of a key and whether it exists, and marks the key as
// known.
func (s *Section) lookup(key string) (string, bool) {
	name := s.Name()
	s.file.known[name] = append(s.file.known[name], key)
	if !s.ini.HasKey(key) {
		return "", false
	}
	return strings.TrimSpace(s.ini.Key(key).String()), true
}

// Has reports whether the key exists, and marks it as known.
func (s *Section) Has(key string) bool {
	_, ok := s.lookup(key)
	return ok
}

// Text returns the value of a key, which must exist and must not be empty. The
// argument accepted describes the accepted values in error messages.
func (s *Section) Text(key, accepted string) string {
	v, ok := s.lookup(key)
	if !ok || v == "" {
		s.Problem(key, "value is missing", accepted)
	}
	return v
}

// TextOr returns the value of a key, or the fallback if the key does not exist.
func (s *Section) TextOr(key, fallback string) string {
	if v, ok := s.lookup(key); ok {
		return v
	}
	return fallback
}

// Choice returns a value that must be one of the accepted ones.
func (s *Section) Choice(key string, accepted ...string) string {
	list := strings.Join(accepted, ", ")
	v := s.Text(key, list)
	if v != "" && !slices.Contains(accepted, v) {
		s.Problem(key, fmt.Sprintf("unknown value %q", v), list)
	}
	return v
}

// Bool returns a value that must be yes or no.
func (s *Section) Bool(key string) bool { return s.Choice(key, "yes", "no") == "yes" }

// BoolOr returns a value that must be yes or no, or the fallback.
func (s *Section) BoolOr(key string, fallback bool) bool {
	if !s.ini.HasKey(key) {
		s.lookup(key)
		return fallback
	}
	return s.Bool(key)
}

// Int returns a whole number from low to high.
func (s *Section) Int(key string, low, high int) int {
	accepted := fmt.Sprintf("a whole number from %d to %d", low, high)
	v := s.Text(key, accepted)
	if v == "" {
		return low
	}
	n, err := strconv.Atoi(v)
	if err != nil || n < low || n > high {
		s.Problem(key, fmt.Sprintf("bad number %q", v), accepted)
		return low
	}
	return n
}

// IntOr returns a whole number from low to high, or the fallback.
func (s *Section) IntOr(key string, low, high, fallback int) int {
	if !s.ini.HasKey(key) {
		s.lookup(key)
		return fallback
	}
	return s.Int(key, low, high)
}

// Uint64 returns an unsigned whole number of 64 bits.
func (s *Section) Uint64(key string) uint64 {
	const accepted = "a whole number from 0 to 18446744073709551615"
	v := s.Text(key, accepted)
	n, err := strconv.ParseUint(v, 10, 64)
	if v != "" && err != nil {
		s.Problem(key, fmt.Sprintf("bad number %q", v), accepted)
	}
	return n
}

// Float returns a number from low to high.
func (s *Section) Float(key string, low, high float64) float64 {
	accepted := fmt.Sprintf("a number from %g to %g", low, high)
	v := s.Text(key, accepted)
	if v == "" {
		return low
	}
	n, err := strconv.ParseFloat(v, 64)
	if err != nil || !(n >= low && n <= high) {
		s.Problem(key, fmt.Sprintf("bad number %q", v), accepted)
		return low
	}
	return n
}

// FloatOr returns a number from low to high, or the fallback.
func (s *Section) FloatOr(key string, low, high, fallback float64) float64 {
	if !s.ini.HasKey(key) {
		s.lookup(key)
		return fallback
	}
	return s.Float(key, low, high)
}

// Duration returns a duration from low to high.
func (s *Section) Duration(key string, low, high time.Duration) time.Duration {
	accepted := fmt.Sprintf("a duration with its unit (ms, s, m, h) from %s to %s", low, high)
	v := s.Text(key, accepted)
	if v == "" {
		return low
	}
	d, err := time.ParseDuration(v)
	if err != nil || d < low || d > high {
		s.Problem(key, fmt.Sprintf("bad duration %q", v), accepted)
		return low
	}
	return d
}

// DurationOr returns a duration from low to high, or the fallback.
func (s *Section) DurationOr(key string, low, high, fallback time.Duration) time.Duration {
	if !s.ini.HasKey(key) {
		s.lookup(key)
		return fallback
	}
	return s.Duration(key, low, high)
}

// BytesOr returns a size from low to high, or the fallback.
func (s *Section) BytesOr(key string, low, high, fallback unit.Bytes) unit.Bytes {
	v, ok := s.lookup(key)
	if !ok {
		return fallback
	}
	n, err := unit.ParseBytes(v)
	if err != nil || n < low || n > high {
		s.Problem(key, fmt.Sprintf("bad size %q", v),
			fmt.Sprintf("a whole number and B, KiB, MiB or GiB, from %s to %s", low, high))
		return fallback
	}
	return n
}

const acceptedAddress = "an IP address and a port, such as 10.1.2.3:8080"

// Address returns a value that must be an IP address with a port.
func (s *Section) Address(key string) id.Address {
	v := s.Text(key, acceptedAddress)
	if v != "" && !validAddress(v) {
		s.Problem(key, fmt.Sprintf("bad address %q", v), acceptedAddress)
	}
	return id.Address(v)
}

// Addresses returns a value that must be one or more addresses separated by
// commas.
func (s *Section) Addresses(key string) []id.Address {
	var list []id.Address
	text := s.Text(key, acceptedAddress+", more than one separated by commas")
	if text == "" {
		return nil
	}
	for _, v := range strings.Split(text, ",") {
		v = strings.TrimSpace(v)
		if !validAddress(v) {
			s.Problem(key, fmt.Sprintf("bad address %q", v), acceptedAddress)
		}
		list = append(list, id.Address(v))
	}
	return list
}

func validAddress(v string) bool {
	host, port, err := net.SplitHostPort(v)
	if err != nil || net.ParseIP(host) == nil {
		return false
	}
	n, err := strconv.Atoi(port)
	return err == nil && n > 0 && n < 1<<16
}
