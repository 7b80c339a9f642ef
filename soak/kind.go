package soak

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/briarrouter/briarrouter/id"
	"github.com/briarrouter/briarrouter/platform/platformtest"
)

// requestKind is a kind of request of the load during planned work.
type requestKind struct {
	route id.Route
	// path begins the paths of the requests. If variants is not zero, that many routes
	// follow it, each with few requests.
	path     string
	variants int
	// service is empty for the route that each configuration assigns to another one.
	service    id.Service
	idempotent bool
	// mean is how long most requests take on a target, roughly.
	mean time.Duration
	// deadline is how long callers wait. timeout is that of the route, less timeoutStep
	// in every second configuration.
	deadline, timeout time.Duration
	// body and padding are the sizes of the requests' and the responses' bodies.
	body, padding int
	// weight is the kind's part in the requests of callers that send all kinds.
	weight int
}

const (
	uploadPath = "/upload/"
	exportPath = "/export/"
	slipPath   = "/slip/"
)

// requestKinds has the idempotent kinds first; idempotentKinds is their number.
var requestKinds = []requestKind{
	{route: "search", path: searchPath, service: "beds", idempotent: true, mean: 350 * time.Millisecond, deadline: 4 * time.Second, timeout: 3 * time.Second, weight: 25},
	{route: "price", path: "/price/", service: "files", idempotent: true, mean: 100 * time.Millisecond, deadline: 2 * time.Second, timeout: 2500 * time.Millisecond, padding: 1500, weight: 20},
	{route: "export", path: exportPath, service: "beds", idempotent: true, mean: 200 * time.Millisecond, deadline: 5 * time.Second, timeout: 4 * time.Second, padding: 600 << 10},
	{route: "reserve", path: reservePath, service: "holds", mean: 260 * time.Millisecond, deadline: 5 * time.Second, timeout: 4 * time.Second, body: 1200, weight: 40},
	{route: "upload", path: uploadPath, service: "files", mean: 310 * time.Millisecond, deadline: 5 * time.Second, timeout: 4 * time.Second, body: 60 << 10, weight: 5},
	{route: "moving", path: reassignedPath, mean: 260 * time.Millisecond, deadline: 5 * time.Second, timeout: 2500 * time.Millisecond, body: 400, weight: 5},
	{route: "slip", path: slipPath, variants: 60, service: "files", mean: 310 * time.Millisecond, deadline: 5 * time.Second, timeout: 4 * time.Second, body: 2000, weight: 10},
}

const (
	idempotentKinds = 3
	timeoutStep     = 500 * time.Millisecond
)

// findKind returns the kind of the requests to a path; nil if there is none.
func findKind(path string) *requestKind {
	for i := range requestKinds {
		if strings.HasPrefix(path, requestKinds[i].path) {
			return &requestKinds[i]
		}
	}
	return nil
}

func (k *requestKind) variantPath(n int) string { return fmt.Sprintf("%s%d/", k.path, n) }

// drawKind draws one of the kinds by their weights.
func drawKind(random *rand.Rand) *requestKind {
	total := 0
	for _, k := range requestKinds {
		total += k.weight
	}
	n := random.IntN(total)
	for i := range requestKinds {
		if n -= requestKinds[i].weight; n < 0 {
			return &requestKinds[i]
		}
	}
	panic("soak: the weights of the kinds have changed")
}

const (
	// The distribution of the durations: logarithms with this standard deviation, and
	// a share that takes a multiple.
	durationSpread = 0.3
	tailShare      = 0.03
	tailFactor     = 7
	maxDuration    = 3500 * time.Millisecond
)

// drawDuration draws how long a target takes for a request.
func drawDuration(random *rand.Rand, path string) time.Duration {
	d := float64(findKind(path).mean) * math.Exp(durationSpread*random.NormFloat64())
	if random.Float64() < tailShare {
		d *= tailFactor
	}
	return min(maxDuration, time.Duration(d))
}

func paddingOf(path string) int { return findKind(path).padding }

// routes returns the routes of a configuration that assigns the route of reassignedPath
// to a service. Every configuration has a route that the one before had not.
func (s *Soak) routes(next id.Service) []platformtest.Route {
	var list []platformtest.Route
	for _, k := range requestKinds {
		if k.service == "" {
			k.service = next
		}
		if s.published%2 == 0 {
			k.timeout -= timeoutStep
		}
		r := platformtest.Route{
			Name: k.route, Host: callerHost, Path: k.path, Idempotent: k.idempotent, Service: k.service,
			Timeout: k.timeout, Objective: 1500 * time.Millisecond, Attempts: 2,
		}
		list = append(list, r)
		for n := range k.variants {
			r.Name, r.Path = id.Route(fmt.Sprintf("%s-%d", k.route, n)), k.variantPath(n)
			list = append(list, r)
		}
	}
	added := list[0]
	added.Name = id.Route(fmt.Sprintf("added-%d", s.published))
	added.Path = fmt.Sprintf("/added/%d/", s.published)
	return append(list, added)
}
