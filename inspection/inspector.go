package inspection

import (
	"fmt"
	"strings"
	"time"
	"unicode"

	"github.com/briarrouter/briarrouter/configuration"
	"github.com/briarrouter/briarrouter/id"
)

// inspector collects the findings about one configuration.
type inspector struct {
	draft  configuration.Draft
	report Report
}

func (i *inspector) fail(p Place, format string, args ...any) {
	i.report.Errors = append(i.report.Errors, Finding{p, fmt.Sprintf(format, args...)})
}

func (i *inspector) warn(p Place, format string, args ...any) {
	i.report.Warnings = append(i.report.Warnings, Finding{p, fmt.Sprintf(format, args...)})
}

const configurationPlace Place = "configuration"

// addErrors adds each of the errors that are joined in err.
func (i *inspector) addErrors(err error) {
	if joined, ok := err.(interface{ Unwrap() []error }); ok {
		for _, e := range joined.Unwrap() {
			i.addErrors(e)
		}
		return
	}
	i.fail(configurationPlace, "%v", err)
}

func (i *inspector) checkVersion(inForce *configuration.Draft) {
	if inForce == nil {
		return
	}
	next, current := i.draft.Version, inForce.Version
	switch {
	case configuration.Conflict(current, next):
		i.fail(configurationPlace, "version %d is that of the configuration in force, which has other content; daemons keep one of the two by a hash of their contents", next.Number)
	case configuration.Accept(current, next) == configuration.Older:
		i.fail(configurationPlace, "version %d is not above the version in force, %d; daemons keep the one in force", next.Number, current.Number)
	}
}

func (i *inspector) checkLimits() {
	l := i.draft.Limits
	for _, limit := range []struct {
		name  string
		value int64
	}{
		{"header size", int64(l.Header)},
		{"body size", int64(l.Body)},
		{"header timeout", int64(l.HeaderTimeout)},
		{"idle timeout", int64(l.IdleTimeout)},
	} {
		if limit.value < 0 {
			i.warn("limits", "%s is negative; the default applies", limit.name)
		}
	}
}

func routePlace(r configuration.Route) Place {
	return Place(fmt.Sprintf("route %s (host %s, path %s)", r.Name, r.Host, r.Path))
}

func servicePlace(s id.Service) Place { return Place("service " + string(s)) }

func accountPlace(a id.Caller) Place { return Place("account " + string(a)) }

func (i *inspector) checkRoutes() {
	for _, r := range i.draft.Routes {
		i.checkReachable(r)
		i.checkRouteLimits(r)
	}
}

// checkReachable reports a route that no request can match: the host of a request is
// compared as it is written, and its path without the query.
func (i *inspector) checkReachable(r configuration.Route) {
	p := routePlace(r)
	switch {
	case r.Host == "":
		i.warn(p, "the host is empty; only requests to hosts without routes of their own match")
	case strings.ContainsAny(r.Host, "/?#@ \t"):
		i.warn(p, "never matches: the host holds a character that no host has")
	case r.Host != strings.ToLower(r.Host):
		i.warn(p, "hosts are compared as they are written, and most callers send them in lower case")
	}
	switch {
	case strings.ContainsAny(r.Path, "?#"):
		i.warn(p, "never matches: the path holds ? or #, at which the path of a request ends")
	case strings.ContainsFunc(r.Path, func(c rune) bool { return c <= ' ' || c == 0x7f }):
		i.warn(p, "never matches: the path holds a space or control character")
	case strings.ContainsFunc(r.Path, func(c rune) bool { return c > unicode.MaxASCII }):
		i.warn(p, "most callers escape the characters of the path that are not ASCII, and their requests do not match")
	}
}

func (i *inspector) checkRouteLimits(r configuration.Route) {
	p := routePlace(r)
	if r.Objective < 0 {
		i.warn(p, "the latency objective of %s is negative", r.Objective)
	}
	if r.TimeoutIsLimit && r.Objective > r.Timeout {
		i.warn(p, "the latency objective of %s is longer than the timeout of %s", r.Objective, r.Timeout)
	}
	if !r.TimeoutIsLimit {
		i.warn(p, "no timeout; requests may be kept waiting for %s", r.Timeout)
	}
	if r.Objective == 0 {
		i.warn(p, "no latency objective")
	}
	if r.Priority < 0 {
		i.warn(p, "priority %d goes before 0, the most urgent one", r.Priority)
	}
	if !r.Idempotent && r.Attempts > 1 {
		i.warn(p, "up to %d attempts are allowed, but requests may run only once; further attempts follow only where the request did not run", r.Attempts)
	}
	if r.Public && i.draft.Accounts == nil {
		i.warn(p, "the route is public, but there are no client accounts; no route needs a key")
	}
}

func (i *inspector) checkServices() {
	used := make(map[id.Service]bool)
	for _, r := range i.draft.Routes {
		for _, part := range r.Parts {
			used[part.Service] = true
		}
	}
	for _, s := range i.draft.Services {
		if !used[s.Name] {
			i.warn(servicePlace(s.Name), "no route leads to it")
		}
	}
}

// longestBurst is how long an account may send nothing to be allowed its whole burst
// again, beyond which the burst looks like a mistake.
const longestBurst = 5 * time.Minute

func (i *inspector) checkAccounts() {
	accounts := i.draft.Accounts
	if accounts == nil {
		return
	}
	if accounts.Len() == 0 {
		i.warn("accounts", "the list is empty; every request of a route that is not public gets 401")
	}
	for _, problem := range accounts.Problems() {
		i.warn("accounts", "%s", problem)
	}
	for _, name := range accounts.WithoutKeys() {
		i.warn(accountPlace(name), "has no key; nobody can use it")
	}
	for a := range accounts.All() {
		if a.Limit.IsUnlimited() {
			if a.Limit.Burst > 0 {
				i.warn(accountPlace(a.Name), "a burst of %g without a rate; there is no limit", a.Limit.Burst)
			}
			continue
		}
		if refill := time.Duration(a.Limit.Burst / float64(a.Limit.Rate) * float64(time.Second)); refill > longestBurst {
			i.warn(accountPlace(a.Name), "the burst of %g takes %s at the rate of %g/s", a.Limit.Burst, refill, float64(a.Limit.Rate))
		}
	}
	needed := false
	for _, r := range i.draft.Routes {
		needed = needed || !r.Public
	}
	if !needed && len(i.draft.Routes) > 0 {
		i.warn("accounts", "all routes are public; no request needs a key")
	}
}
