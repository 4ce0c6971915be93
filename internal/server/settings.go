package server

import (
	"cmp"

	"tealpath/control"
	"tealpath/internal/cluster/probe"
)

// coldLimits returns the limits of endpoints in slow start, of caches and of parents.
func coldLimits(settings control.Settings) (cache, parent probe.ColdLimit) {
	return coldLimit(settings.CacheSlowStart), coldLimit(settings.ParentSlowStart)
}

func coldLimit(slowStart control.SlowStartSettings) probe.ColdLimit {
	return probe.ColdLimit{
		Share:          slowStart.Share,
		Factor:         slowStart.Factor,
		Window:         slowStart.Window,
		WarmUpDuration: slowStart.WarmUpDuration,
	}
}

// routersHere returns the number of routers in this one's location, itself included. If the settings do not
// state it, that is the number of all routers.
func routersHere(settings control.Settings) int {
	return max(1, cmp.Or(settings.LocationRouters, settings.Routers))
}
