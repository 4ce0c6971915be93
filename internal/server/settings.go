package server

import (
	"cmp"
	"tealpath/control"
	"tealpath/internal/cluster/probe"
)

// coldLimits returns what endpoints bear that have just started, by the settings.
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

// routersHere is how many routers this one's location has, itself included; where the settings do not tell
// by location it is how many there are in all.
func routersHere(settings control.Settings) int {
	return max(1, cmp.Or(settings.LocationRouters, settings.Routers))
}
