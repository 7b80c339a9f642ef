package publication

import (
	"github.com/briarrouter/briarrouter/id"
	"github.com/briarrouter/briarrouter/inifile"
	"github.com/briarrouter/briarrouter/roster"
	"github.com/briarrouter/briarrouter/schedule"
)

const stateLeaving = "leaving"

// ParseDaemons parses the list of daemons. If it returns an error, the entries
// may be incomplete.
func ParseDaemons(data []byte) ([]roster.ListedMember, error) {
	f := inifile.Parse(string(DaemonsKey), data)
	var list []roster.ListedMember
	for _, s := range f.Sections("Daemon") {
		list = append(list, roster.ListedMember{
			Host:          id.Host(s.OwnName()),
			FailureDomain: id.FailureDomain(s.Text("FailureDomain", "the name of a failure domain")),
			Callers:       s.Address("Callers"),
			Peers:         s.Address("Peers"),
			Leaving:       s.Choice("State", "live", stateLeaving) == stateLeaving,
		})
	}
	return list, f.Err()
}

// ParseTargets parses the list of a service's targets. If it returns an error,
// the entries may be incomplete.
func ParseTargets(data []byte) ([]schedule.Endpoint, error) {
	f := inifile.Parse("hosts/targets", data)
	var list []schedule.Endpoint
	for _, s := range f.Sections("Target") {
		list = append(list, schedule.Endpoint{
			ID:            id.Target(s.OwnName()),
			Address:       s.Address("Address"),
			FailureDomain: id.FailureDomain(s.Text("FailureDomain", "the name of a failure domain")),
			Leaving:       s.Choice("State", "live", stateLeaving) == stateLeaving,
		})
	}
	return list, f.Err()
}
