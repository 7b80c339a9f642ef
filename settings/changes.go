package settings

import "slices"

// Changes returns the names of the settings that differ between two versions of a
// file: those that a running daemon applies at once, and those that take effect
// at its next start. Advertise, Crossing, Directory and Limits stand for any
// setting of these sections, Host.Cores for Host.Speed as well.
func Changes(old, next Daemon) (applied, nextStart []string) {
	applied = differing([]comparison{
		{"Peers.Seeds", slices.Equal(old.Seeds, next.Seeds)},
		{"Store.Terms", old.Store.Terms == next.Store.Terms},
		{"Timing.Hold", old.Timing.Hold == next.Timing.Hold},
		{"Timing.LeaveMargin", old.Timing.LeaveMargin == next.Timing.LeaveMargin},
		{"Timing.Stop", old.Timing.Stop == next.Timing.Stop},
		{"Timing.SlowCaller", old.Timing.SlowCaller == next.Timing.SlowCaller},
	})
	nextStart = differing([]comparison{
		{"Host.Name", old.Host == next.Host},
		{"Host.FailureDomain", old.FailureDomain == next.FailureDomain},
		{"Host.Cores", old.Room == next.Room},
		{"Listen.Callers", old.Callers == next.Callers},
		{"Listen.Peers", old.Peers == next.Peers},
		{"Listen.Operator", old.Operator == next.Operator},
		{"Directory", old.Directory == next.Directory},
		{"Advertise", old.Advertised == next.Advertised},
		{"Platform.Addresses", slices.Equal(old.Platform, next.Platform)},
		{"Store.Address", old.Store.Address == next.Store.Address},
		{"Limits", old.Limits == next.Limits},
		{"Crossing", old.Crossing == next.Crossing},
		{"Timing.Epoch", old.Timing.Epoch == next.Timing.Epoch},
		{"Timing.Probe", old.Timing.Probe == next.Timing.Probe},
		{"Timing.Suspect", old.Timing.Suspect == next.Timing.Suspect},
		{"Timing.Join", old.Timing.Join == next.Timing.Join},
	})
	return applied, nextStart
}

// comparison is the name of a setting or section and whether it is equal in both
// versions.
type comparison struct {
	name  string
	equal bool
}

func differing(comparisons []comparison) []string {
	var names []string
	for _, c := range comparisons {
		if !c.equal {
			names = append(names, c.name)
		}
	}
	return names
}
