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

	"github.com/briarrouter/briarrouter/account"
	"github.com/briarrouter/briarrouter/id"
	"github.com/briarrouter/briarrouter/inifile"
	"github.com/briarrouter/briarrouter/unit"
)

// Documents is a configuration as it is published: the index, and a document for
// each service that the index names, called the value of the service.
type Documents struct {
	Index  []byte
	Values map[id.Service][]byte
}

// Snapshot is one complete configuration. It is immutable.
type Snapshot struct {
	Version   id.ConfigVersion
	Services  map[id.Service]*Service
	Documents Documents
	// Limits holds the limits for callers; the settings apply where a field is
	// zero.
	Limits Limits
	// Accounts is nil if the configuration names no client accounts; requests then need
	// no key.
	Accounts *account.Table
	routes   routeTable
}

// Limits holds limits on the size and duration of callers' requests.
type Limits struct {
	Header        unit.Bytes
	Body          unit.Bytes
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Index names the version of a configuration and the services that belong to
// it.
type Index struct {
	Version id.ConfigVersion
	// Digests holds the SHA-256 of each service's value, in hexadecimal.
	Digests map[id.Service]string
}

// versionDigestLength is how many digits of the index's digest a version
// contains: enough to order different configurations with the same number, and
// few enough to be sent in every message.
const versionDigestLength = 16

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

// ShortDigest returns the part of a document's digest that its version
// contains.
func ShortDigest(data []byte) string { return Digest(data)[:versionDigestLength] }

// EncodeIndex returns the index document for the given values of the services.
func EncodeIndex(number uint64, values map[id.Service][]byte) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "[Configuration]\nVersion = %d\n", number)
	for _, name := range slices.Sorted(maps.Keys(values)) {
		fmt.Fprintf(&b, "\n[Service %s]\nDigest = %s\n", name, Digest(values[name]))
	}
	return []byte(b.String())
}

// INI decodes the project's own format: an index and one INI document for each
// service.
type INI struct{}

// Compose validates the documents and makes a snapshot of them. It rejects the
// documents as a whole if any of them is invalid.
func (INI) Compose(docs Documents) (*Snapshot, error) {
	index, err := ParseIndex(docs.Index)
	if err != nil {
		return nil, err
	}
	s := &Snapshot{
		Version:   index.Version,
		Services:  make(map[id.Service]*Service),
		Documents: docs,
		routes:    newRouteTable(),
	}
	var errs []error
	for _, name := range slices.Sorted(maps.Keys(index.Digests)) {
		errs = append(errs, s.addService(name, index.Digests[name]))
	}
	if err := errors.Join(errs...); err != nil {
		return nil, err
	}
	return s, nil
}

func (s *Snapshot) addService(name id.Service, digest string) error {
	data, ok := s.Documents.Values[name]
	if !ok {
		return fmt.Errorf("service %s: listed in the index, but its value is missing", name)
	}
	if got := Digest(data); got != digest {
		return fmt.Errorf("service %s: value has digest %s, but the index lists %s", name, got, digest)
	}
	v, err := ParseService("service/"+string(name), data)
	if err != nil {
		return err
	}
	if v.Name != name {
		return fmt.Errorf("service %s: value has Name = %s; accepted: the name that the index lists", name, v.Name)
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
		return fmt.Errorf("service %s: [Route %s] and [Route %s] of service %s have the same method and path; accepted: one route for each method and path",
			v.Name, r.Name, other.Route.Name, other.Service.Name)
	}
	s.routes.add(m, strings.TrimRight(r.Path, "/")+"/")
	return nil
}

// Match finds the route with the longest path that matches the request. If any
// route names the host, only such routes are considered; otherwise, only those
// for any host.
func (s *Snapshot) Match(host, method, path string) (Match, bool) {
	return s.routes.find(host, method, path)
}

// Collect gathers the documents that an index names. It reuses values of the
// current snapshot whose digests are unchanged and fetches the others.
func (INI) Collect(index []byte, current *Snapshot, fetch func(id.Service) ([]byte, error)) (Documents, error) {
	parsed, err := ParseIndex(index)
	if err != nil {
		return Documents{}, err
	}
	docs := Documents{Index: index, Values: make(map[id.Service][]byte)}
	for name, digest := range parsed.Digests {
		if current != nil && Digest(current.Documents.Values[name]) == digest {
			docs.Values[name] = current.Documents.Values[name]
			continue
		}
		data, err := fetch(name)
		if err != nil {
			return Documents{}, fmt.Errorf("service %s: %w", name, err)
		}
		docs.Values[name] = data
	}
	return docs, nil
}
