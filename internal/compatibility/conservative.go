package compatibility

import "slices"

// Conservative returns settings that are safe whichever of the versions is in force, for an instance that does not
// know which. ok is false if no settings are safe: if there are no versions, or if the first one has an exclusive
// conflict with another. Then the instance must not act under any lease.
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
		safe.PurgeWindow = max(safe.PurgeWindow, version.PurgeWindow) // the longest enforcement of a purge
		safe.DrainedEndpoints = append(safe.DrainedEndpoints, version.DrainedEndpoints...)
		safe.ProbePeriod = max(safe.ProbePeriod, version.ProbePeriod)
		safe.MaxConnections = fewerConnections(safe.MaxConnections, version.MaxConnections)
	}
	slices.Sort(safe.DrainedEndpoints)
	safe.DrainedEndpoints = slices.Compact(safe.DrainedEndpoints)
	return safe, ok
}

// fewerConnections returns the lower of two limits. If one limit is 0, which means unknown, it returns the other.
func fewerConnections(a, b int) int {
	switch {
	case a == 0:
		return b
	case b == 0:
		return a
	}
	return min(a, b)
}
