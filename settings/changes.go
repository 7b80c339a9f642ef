package settings

import "slices"

// Changes names the settings in which two readings of a file differ: those that
// a running daemon takes over, and those that hold from its next start on.
func Changes(old, next Daemon) (live, later []string) {
	live = differing([]compared{
		{"Peers.Seeds", slices.Equal(old.Seeds, next.Seeds)},
		{"Store.Terms", old.Store.Terms == next.Store.Terms},
		{"Timing.Hold", old.Timing.Hold == next.Timing.Hold},
		{"Timing.LeaveMargin", old.Timing.LeaveMargin == next.Timing.LeaveMargin},
		{"Timing.Stop", old.Timing.Stop == next.Timing.Stop},
		{"Timing.SlowCaller", old.Timing.SlowCaller == next.Timing.SlowCaller},
	})
	later = differing([]compared{
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
		{"Timing.Epoch", old.Timing.Epoch == next.Timing.Epoch},
		{"Timing.Probe", old.Timing.Probe == next.Timing.Probe},
		{"Timing.Suspect", old.Timing.Suspect == next.Timing.Suspect},
		{"Timing.Join", old.Timing.Join == next.Timing.Join},
	})
	return live, later
}

// compared is a setting and whether two readings agree on it.
type compared struct {
	name string
	same bool
}

func differing(list []compared) []string {
	var names []string
	for _, c := range list {
		if !c.same {
			names = append(names, c.name)
		}
	}
	return names
}
