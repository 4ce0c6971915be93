package server

import (
	"slices"
	"tealpath/control"
	"tealpath/internal/cluster/probe"
	"time"
)

// setting returns a value of the deployment's settings, or the fallback where it is missing or of another type.
func setting[T any](settings control.Settings, name string, fallback T) T {
	if value, ok := settings[name].(T); ok {
		return value
	}
	return fallback
}

// coldLimits returns what endpoints bear that have just started, by the settings.
func coldLimits(settings control.Settings) (cache, parent probe.ColdLimit) {
	cache = probe.ColdLimit{
		Share:          setting(settings, "cold.share", 1.),
		Factor:         setting(settings, "cold.factor", 1.),
		Window:         setting(settings, "cold.window", int64(time.Second)),
		WarmUpDuration: setting(settings, "cold.span", int64(0)),
	}
	parent = cache
	parent.Share = setting(settings, "parent.coldShare", 1.)
	parent.WarmUpDuration = setting(settings, "parent.coldSpan", int64(0))
	parent.Factor = setting(settings, "parent.coldFactor", cache.Factor)
	return cache, parent
}

// routersHere is how many routers this one's location has, itself included; where the settings do not tell
// by location it is how many there are in all.
func routersHere(settings control.Settings) int {
	locations := setting(settings, "locations", []string(nil))
	here := slices.Index(locations, setting(settings, "location", ""))
	counts := setting(settings, "location.routers", []int64(nil))
	if here >= 0 && here < len(counts) {
		return int(max(1, counts[here]))
	}
	return int(max(1, setting(settings, "routers", int64(1))))
}

// endpointKind returns the name of the kind that a setting has the index of; "" is none.
func endpointKind(settings control.Settings, name string) string {
	kinds := setting(settings, "kinds", []string(nil))
	index := setting(settings, name, int64(-1))
	if index < 0 || index >= int64(len(kinds)) {
		return ""
	}
	return kinds[index]
}
