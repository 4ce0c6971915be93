package server

import (
	"cmp"

	"tealpath/control"
	"tealpath/internal/cluster/probe"
)

// coldLimits returns the load limits of caches and of parents in slow start.
func coldLimits(settings control.Settings) (cache, parent probe.ColdLimit) {
	return coldLimit(settings.CacheSlowStart), coldLimit(settings.ParentSlowStart)
}

// coldLimit converts settings of the slow start to the type of package probe.
func coldLimit(slowStart control.SlowStartSettings) probe.ColdLimit {
	return probe.ColdLimit{
		Share:          slowStart.Share,
		Factor:         slowStart.Factor,
		Window:         slowStart.Window,
		WarmUpDuration: slowStart.WarmUpDuration,
	}
}

// routersInLocation returns the number of routers in the location of this one, including itself. If the settings do
// not state it, the number of all routers is returned.
func routersInLocation(settings control.Settings) int {
	return max(1, cmp.Or(settings.LocationRouters, settings.Routers))
}
