package router

import (
	"slices"

	"tealpath/control"
	"tealpath/internal/connpool"
)

// Limits bounds the connections and the requests of a reducer.
type Limits struct {
	MaxConnections int            // to all endpoints together
	ConnectionPlan *connpool.Plan // bounds connections to caches; nil: only the other limits do
	MaxInFlight    int            // requests in flight
	MaxBodyBytes   int            // bytes; of the bodies of all requests in flight together
}

// config is the settings with indexes for the reducer's look-ups.
type config struct {
	control.Settings
	classes       map[string]control.ClassSettings // by name
	nonCacheKinds []string                         // kinds of endpoints that are no caches
}

func newConfig(settings control.Settings) config {
	config := config{Settings: settings, classes: map[string]control.ClassSettings{}}
	for _, class := range settings.Classes {
		if _, known := config.classes[class.Name]; !known {
			config.classes[class.Name] = class
		}
	}
	for _, kind := range []*string{settings.ParentKind, settings.OriginKind} {
		if kind != nil {
			config.nonCacheKinds = append(config.nonCacheKinds, *kind)
		}
	}
	return config
}

// policySettings returns the settings that the policy gets. It schedules no health checks of its own: they show
// that an endpoint is alive, not how well it serves, so ejected endpoints are probed by attempts. Results of the
// health checks that instances share by a lease still reach it, through ProbeEnded.
func policySettings(settings control.Settings) control.Settings {
	settings.HealthChecks = false
	return settings
}

// isCache reports whether an endpoint is a cache of this router's location.
func (c *config) isCache(endpoint *endpoint) bool {
	return endpoint.Location == c.Location && !slices.Contains(c.nonCacheKinds, endpoint.Kind)
}

// isIdempotent reports whether requests of a class may be executed more than once.
func (c *config) isIdempotent(class string) bool {
	return c.classes[class].Idempotency == control.Idempotent
}
