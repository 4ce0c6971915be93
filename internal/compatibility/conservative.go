package compatibility

import "slices"

// Conservative returns settings that conflict with none of several versions, for an instance that doesn't know
// which of them is in force. No settings are safe where versions differ in an exclusive one: ok is false then,
// and no lease may be acted under.
func Conservative(versions ...Settings) (safe Settings, ok bool) {
	if len(versions) == 0 {
		return Settings{}, false
	}
	first := versions[0]
	safe, ok = first, true
	safe.DrainedEndpoints = slices.Clone(first.DrainedEndpoints)
	for _, version := range versions[1:] {
		if WorstSeverity(Compare(first, version)) == Exclusive {
			ok = false
		}
		safe.Routers = max(safe.Routers, version.Routers)             // the smallest share of a slow-start budget
		safe.PurgeWindow = max(safe.PurgeWindow, version.PurgeWindow) // the longest
		safe.DrainedEndpoints = append(safe.DrainedEndpoints, version.DrainedEndpoints...)
		safe.ProbePeriod = max(safe.ProbePeriod, version.ProbePeriod)
		safe.MaxConnections = fewerConnections(safe.MaxConnections, version.MaxConnections)
	}
	slices.Sort(safe.DrainedEndpoints)
	safe.DrainedEndpoints = slices.Compact(safe.DrainedEndpoints)
	return safe, ok
}

// fewerConnections is the lower of two limits; 0 is a limit that is not known.
func fewerConnections(a, b int) int {
	switch {
	case a == 0:
		return b
	case b == 0:
		return a
	}
	return min(a, b)
}
