package configuration

import (
	"errors"
	"fmt"
	"strings"

	"github.com/briarrouter/briarrouter/account"
	"github.com/briarrouter/briarrouter/id"
)

// Match is a route and the service that its requests go to.
type Match struct {
	// Service is nil until Pick is called if the route has parts.
	Service *Service
	Route   *Route
	// parts holds the services of the route's parts, in the same order.
	parts []*Service
}

// Pick chooses the part of the route that a request goes to. The draw is
// uniformly distributed in [0, 1). A part without free capacity keeps its share:
// requests beyond its capacity are refused and not sent to other parts, since
// the operator sets the weights.
func (m Match) Pick(draw float64) Match {
	if len(m.parts) == 0 {
		return m
	}
	total := 0
	for _, p := range m.Route.Parts {
		total += p.Weight
	}
	remaining := draw * float64(total)
	for i, p := range m.Route.Parts {
		m.Service = m.parts[i]
		if remaining -= float64(p.Weight); remaining < 0 {
			break
		}
	}
	return m
}

type routeKey struct{ host, method, path string }

// routeTable finds routes by host, method and path.
type routeTable struct {
	routes map[routeKey]Match
	// hosts contains the hosts that have routes of their own.
	hosts map[string]bool
}

func newRouteTable() routeTable {
	return routeTable{routes: make(map[routeKey]Match), hosts: make(map[string]bool)}
}

// add adds a path for a route. A path that ends with a slash matches itself and
// everything below it, any other path only itself. If the path already has a
// route, that route stays and is returned.
func (t routeTable) add(m Match, path string) (Match, bool) {
	key := routeKey{m.Route.Host, m.Route.Method, path}
	if other, taken := t.routes[key]; taken {
		return other, true
	}
	t.routes[key] = m
	t.hosts[m.Route.Host] = true
	return Match{}, false
}

// find returns the route of the longest path that was added and matches. Routes for
// the method take precedence over those for any method with the same path.
func (t routeTable) find(host, method, path string) (Match, bool) {
	if !t.hosts[host] {
		host = ""
	}
	for {
		for _, m := range [...]string{method, ""} {
			if found, ok := t.routes[routeKey{host, m, path}]; ok {
				return found, true
			}
		}
		end := strings.LastIndexByte(strings.TrimSuffix(path, "/"), '/')
		if end < 0 {
			return Match{}, false
		}
		path = path[:end+1]
	}
}

// Draft is a configuration decoded from a format other than INI.
type Draft struct {
	Version   id.ConfigVersion
	Documents Documents
	Limits    Limits
	// Accounts is nil if the configuration names no client accounts.
	Accounts *account.Table
	Services []*Service
	// Routes holds routes with parts. Their paths end with a slash.
	Routes []Route
	// Ignored describes what the document holds and the draft does not.
	Ignored []string
}

// NewSnapshot validates a draft and makes a snapshot of it. It rejects the
// draft as a whole if any part of it is invalid.
func NewSnapshot(d Draft) (*Snapshot, error) {
	s := &Snapshot{Version: d.Version, Documents: d.Documents, Limits: d.Limits, Accounts: d.Accounts, Services: make(map[id.Service]*Service), routes: newRouteTable()}
	for _, v := range d.Services {
		if s.Services[v.Name] != nil {
			return nil, fmt.Errorf("service %s is defined twice; accepted: one definition for each service", v.Name)
		}
		s.Services[v.Name] = v
	}
	var errs []error
	for i := range d.Routes {
		errs = append(errs, s.addSplitRoute(&d.Routes[i]))
	}
	if err := errors.Join(errs...); err != nil {
		return nil, err
	}
	return s, nil
}

func (s *Snapshot) addSplitRoute(r *Route) error {
	if !strings.HasPrefix(r.Path, "/") || !strings.HasSuffix(r.Path, "/") {
		return fmt.Errorf("route %s: bad path %q; accepted: a path that starts and ends with a slash", r.Name, r.Path)
	}
	m := Match{Route: r}
	for _, p := range r.Parts {
		v := s.Services[p.Service]
		if v == nil {
			return fmt.Errorf("route %s: service %q is not defined", r.Name, p.Service)
		}
		if p.Weight < 1 {
			return fmt.Errorf("route %s: service %s has weight %d; accepted: at least 1", r.Name, p.Service, p.Weight)
		}
		m.parts = append(m.parts, v)
	}
	if len(m.parts) == 0 {
		return fmt.Errorf("route %s has no service", r.Name)
	}
	if other, taken := s.routes.add(m, r.Path); taken {
		return fmt.Errorf("routes %s and %s have the same host and path; accepted: one route for each host and path", r.Name, other.Route.Name)
	}
	return nil
}
