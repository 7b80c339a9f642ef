package inspection

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/briarrouter/briarrouter/account"
	"github.com/briarrouter/briarrouter/configuration"
	"github.com/briarrouter/briarrouter/id"
)

// comparison collects the changes from one configuration to another.
type comparison struct{ changes []Change }

func (c *comparison) add(p Place, effect, format string, args ...any) {
	c.changes = append(c.changes, Change{Place: p, Text: fmt.Sprintf(format, args...), Effect: effect})
}

// compare returns the changes by meaning: what requests are matched, where they go, what
// limits them and whose keys are valid.
func compare(before, after configuration.Draft) []Change {
	c := &comparison{}
	c.compareLimits(before.Limits, after.Limits)
	c.compareServices(before.Services, after.Services)
	c.compareRoutes(before.Routes, after.Routes)
	c.compareAccounts(before, after)
	return c.changes
}

func (c *comparison) compareLimits(before, after configuration.Limits) {
	const place = "limits"
	compareLimit(c, place, "header size", before.Header, after.Header, "larger header sections get 431")
	compareLimit(c, place, "body size", before.Body, after.Body, "larger bodies get 413")
	compareLimit(c, place, "header timeout", before.HeaderTimeout, after.HeaderTimeout, "slower header sections get 408")
	compareLimit(c, place, "idle timeout", before.IdleTimeout, after.IdleTimeout, "connections are closed sooner")
}

// compareLimit adds a change of one limit. Daemons apply their default in place of a
// limit that is not positive.
func compareLimit[T ~int64](c *comparison, p Place, name string, before, after T, effect string) {
	before, after = max(before, 0), max(after, 0)
	switch {
	case before == after:
	case before == 0 || after == 0:
		c.add(p, "the default of the daemons' settings applies before or after", "%s %s -> %s", name, limitOrDefault(before), limitOrDefault(after))
	default:
		c.add(p, lower(before, after, effect), "%s %v -> %v", name, before, after)
	}
}

func limitOrDefault[T ~int64](limit T) string {
	if limit == 0 {
		return "default"
	}
	return fmt.Sprint(limit)
}

// lower returns the effect if a limit falls, or an empty text.
func lower[T cmp.Ordered](before, after T, effect string) string {
	if after < before {
		return effect
	}
	return ""
}

func (c *comparison) compareServices(before, after []*configuration.Service) {
	old := make(map[id.Service]*configuration.Service)
	for _, s := range before {
		old[s.Name] = s
	}
	for _, s := range after {
		o := old[s.Name]
		delete(old, s.Name)
		switch {
		case o == nil:
			c.add(servicePlace(s.Name), "", "added")
		default:
			c.compareService(o, s)
		}
	}
	for _, s := range before {
		if old[s.Name] != nil {
			c.add(servicePlace(s.Name), "", "removed")
		}
	}
}

func (c *comparison) compareService(before, after *configuration.Service) {
	p := servicePlace(after.Name)
	if before.Connections != after.Connections {
		c.add(p, "", "connections to each target %d -> %d", before.Connections, after.Connections)
	}
	if before.Probe.Path != after.Probe.Path {
		c.add(p, "", "health path %q -> %q", before.Probe.Path, after.Probe.Path)
	}
}

type routeID struct{ host, path string }

func (c *comparison) compareRoutes(before, after []configuration.Route) {
	old := make(map[routeID]configuration.Route)
	for _, r := range before {
		old[routeID{r.Host, r.Path}] = r
	}
	for _, r := range sortedRoutes(after) {
		key := routeID{r.Host, r.Path}
		o, found := old[key]
		delete(old, key)
		if !found {
			c.add(routePlace(r), "requests of this path are served by this route", "added, goes to %s", destination(r))
			continue
		}
		c.compareRoute(o, r)
	}
	for _, r := range sortedRoutes(before) {
		if _, removed := old[routeID{r.Host, r.Path}]; removed {
			c.add(routePlace(r), "requests of this path match a shorter one or get 404", "removed")
		}
	}
}

func sortedRoutes(list []configuration.Route) []configuration.Route {
	return slices.SortedFunc(slices.Values(list), func(a, b configuration.Route) int {
		return cmp.Or(cmp.Compare(a.Host, b.Host), cmp.Compare(a.Path, b.Path))
	})
}

func (c *comparison) compareRoute(before, after configuration.Route) {
	p := routePlace(after)
	if before.Name != after.Name {
		c.add(p, "", "renamed from %s", before.Name)
	}
	if from, to := destination(before), destination(after); from != to {
		c.add(p, "requests run on other targets", "moved from %s to %s", from, to)
	}
	if before.Idempotent != after.Idempotent {
		effect := "requests may run more than once"
		if !after.Idempotent {
			effect = "failed requests are no longer tried again"
		}
		c.add(p, effect, "idempotent %t -> %t", before.Idempotent, after.Idempotent)
	}
	if before.Timeout != after.Timeout || before.TimeoutIsLimit != after.TimeoutIsLimit {
		c.add(p, lower(before.Timeout, after.Timeout, "requests that take longer end with 504"), "timeout %s -> %s", before.Timeout, after.Timeout)
	}
	if before.Objective != after.Objective {
		c.add(p, "", "latency objective %s -> %s", before.Objective, after.Objective)
	}
	if before.Priority != after.Priority {
		c.add(p, lower(-before.Priority, -after.Priority, "requests wait behind more others"), "priority %d -> %d", before.Priority, after.Priority)
	}
	if before.Attempts != after.Attempts {
		c.add(p, lower(before.Attempts, after.Attempts, "failed requests are tried again less often"), "attempts %d -> %d", before.Attempts, after.Attempts)
	}
	if before.Public != after.Public {
		effect := "requests need no key"
		if !after.Public {
			effect = "requests without a valid key get 401"
		}
		c.add(p, effect, "public %t -> %t", before.Public, after.Public)
	}
}

// destination describes where the requests of a route go.
func destination(r configuration.Route) string {
	var parts []string
	for _, part := range r.Parts {
		if len(r.Parts) == 1 {
			return string(part.Service)
		}
		parts = append(parts, fmt.Sprintf("%s (weight %d)", part.Service, part.Weight))
	}
	return strings.Join(parts, ", ")
}

func (c *comparison) compareAccounts(before, after configuration.Draft) {
	switch {
	case before.Accounts == nil && after.Accounts == nil:
		return
	case before.Accounts == nil:
		c.add("accounts", "requests without a valid key get 401, except on public routes", "introduced, number of accounts: %d", after.Accounts.Len())
		return
	case after.Accounts == nil:
		c.add("accounts", "requests need no key and have no limit", "given up, number of accounts: %d", before.Accounts.Len())
		return
	}
	for _, d := range account.Compare(before.Accounts, after.Accounts) {
		c.compareAccount(d)
	}
}

func (c *comparison) compareAccount(d account.Difference) {
	p := accountPlace(d.Name)
	switch {
	case d.Before == nil:
		c.add(p, "", "added, keys added: %d, %s", d.AddedKeys, limitText(d.After.Limit))
		return
	case d.After == nil:
		c.add(p, "", "removed")
	}
	if d.WithdrawnKeys > 0 {
		c.add(p, "requests with a withdrawn key get 401", "keys withdrawn: %d", d.WithdrawnKeys)
	}
	if d.MovedKeys > 0 {
		c.add(p, "requests with these keys count for another account", "keys moved to another account: %d", d.MovedKeys)
	}
	if d.AddedKeys > 0 {
		c.add(p, "", "keys added: %d", d.AddedKeys)
	}
	if d.After == nil {
		return
	}
	if limitText(d.Before.Limit) != limitText(d.After.Limit) {
		effect := ""
		if isLowered(d.Before.Limit, d.After.Limit) {
			effect = "requests beyond the limit get 429"
		}
		c.add(p, effect, "%s -> %s", limitText(d.Before.Limit), limitText(d.After.Limit))
	}
	if d.Before.HasPriority != d.After.HasPriority || d.Before.Priority != d.After.Priority {
		c.add(p, "requests wait behind others, or before them", "priority %s -> %s", priorityText(*d.Before), priorityText(*d.After))
	}
}

func isLowered(before, after account.Limit) bool {
	if after.IsUnlimited() {
		return false
	}
	return before.IsUnlimited() || after.Rate < before.Rate || after.Burst < before.Burst
}

func limitText(l account.Limit) string {
	if l.IsUnlimited() {
		return "no limit"
	}
	return fmt.Sprintf("%g/s and a burst of %g", float64(l.Rate), l.Burst)
}

func priorityText(a account.Account) string {
	if !a.HasPriority {
		return "of the route"
	}
	return fmt.Sprint(a.Priority)
}
