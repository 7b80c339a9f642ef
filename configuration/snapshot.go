package configuration

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/briarrouter/briarrouter/id"
	"github.com/briarrouter/briarrouter/inifile"
	"github.com/briarrouter/briarrouter/unit"
)

// Documents is a configuration as it is published: the index, and the value of
// each service that the index names.
type Documents struct {
	Index  []byte
	Values map[id.Service][]byte
}

// Snapshot is one whole configuration. It does not change.
type Snapshot struct {
	Version   id.ConfigVersion
	Services  map[id.Service]*Service
	Documents Documents
	// Limits bounds what callers may send; zero fields leave it to the
	// settings.
	Limits Limits
	routes table
}

// Limits bounds what a caller may send and how long it may take.
type Limits struct {
	Header      unit.Bytes
	Body        unit.Bytes
	HeadTimeout time.Duration
	IdleTimeout time.Duration
}

// Index is the head of a configuration.
type Index struct {
	Version id.ConfigVersion
	// Digests gives the SHA-256 of each service's value, in hexadecimal.
	Digests map[id.Service]string
}

// versionDigits is how much of the index's digest a version carries: enough to
// order rivals, and few bytes in each message.
const versionDigits = 16

// ParseIndex reads the index.
func ParseIndex(data []byte) (Index, error) {
	f := inifile.Parse("index", data)
	i := Index{
		Version: id.ConfigVersion{Number: f.Section("Configuration").Uint64("Version"), Digest: ShortDigest(data)},
		Digests: make(map[id.Service]string),
	}
	for _, s := range f.Sections("Service") {
		i.Digests[id.Service(s.OwnName())] = s.Text("Digest", "the SHA-256 of the service's value, in hexadecimal")
	}
	return i, f.Err()
}

// Digest returns the SHA-256 of a document, in hexadecimal.
func Digest(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// ShortDigest returns the part of a document's digest that its version carries.
func ShortDigest(data []byte) string { return Digest(data)[:versionDigits] }

// EncodeIndex writes the index of a configuration from the values of its
// services.
func EncodeIndex(number uint64, values map[id.Service][]byte) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "[Configuration]\nVersion = %d\n", number)
	for _, name := range slices.Sorted(maps.Keys(values)) {
		fmt.Fprintf(&b, "\n[Service %s]\nDigest = %s\n", name, Digest(values[name]))
	}
	return []byte(b.String())
}

// INI is the project's own format: an index and a value for each service.
type INI struct{}

// Compose checks the documents and makes a snapshot of them. It refuses them
// as a whole: a snapshot is never made of a part.
func (INI) Compose(docs Documents) (*Snapshot, error) {
	index, err := ParseIndex(docs.Index)
	if err != nil {
		return nil, err
	}
	s := &Snapshot{
		Version:   index.Version,
		Services:  make(map[id.Service]*Service),
		Documents: docs,
		routes:    newTable(),
	}
	var errs []error
	for _, name := range slices.Sorted(maps.Keys(index.Digests)) {
		errs = append(errs, s.add(name, index.Digests[name]))
	}
	if err := errors.Join(errs...); err != nil {
		return nil, err
	}
	return s, nil
}

func (s *Snapshot) add(name id.Service, digest string) error {
	data, ok := s.Documents.Values[name]
	if !ok {
		return fmt.Errorf("service %s: value is missing", name)
	}
	if got := Digest(data); got != digest {
		return fmt.Errorf("service %s: value has digest %s, index says %s", name, got, digest)
	}
	v, err := ParseService("service/"+string(name), data)
	if err != nil {
		return err
	}
	if v.Name != name {
		return fmt.Errorf("service %s: value names itself %s", name, v.Name)
	}
	s.Services[name] = &v
	var errs []error
	for i := range v.Routes {
		errs = append(errs, s.addRoute(&v, &v.Routes[i]))
	}
	return errors.Join(errs...)
}

func (s *Snapshot) addRoute(v *Service, r *Route) error {
	m := Match{Service: v, Route: r}
	if other, taken := s.routes.add(m, strings.TrimRight(r.Path, "/")); taken {
		return fmt.Errorf("service %s: [Route %s] and [Route %s] of service %s have the same method and path; accepted: one route for each",
			v.Name, r.Name, other.Route.Name, other.Service.Name)
	}
	s.routes.add(m, strings.TrimRight(r.Path, "/")+"/")
	return nil
}

// Match finds the route of a host with the longest path that leads to the
// given one.
func (s *Snapshot) Match(host, method, path string) (Match, bool) {
	return s.routes.find(host, method, path)
}

// Collect gathers the documents of an index. Values that a snapshot already
// holds under the same digest are taken from it; the others are asked for.
func (INI) Collect(index []byte, have *Snapshot, get func(id.Service) ([]byte, error)) (Documents, error) {
	parsed, err := ParseIndex(index)
	if err != nil {
		return Documents{}, err
	}
	docs := Documents{Index: index, Values: make(map[id.Service][]byte)}
	for name, digest := range parsed.Digests {
		if have != nil && Digest(have.Documents.Values[name]) == digest {
			docs.Values[name] = have.Documents.Values[name]
			continue
		}
		data, err := get(name)
		if err != nil {
			return Documents{}, fmt.Errorf("service %s: %w", name, err)
		}
		docs.Values[name] = data
	}
	return docs, nil
}
