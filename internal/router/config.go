package router

import (
	"slices"
	"tealpath/control"
	"tealpath/internal/connpool"
)

// Limits bound what the reducer lets be opened.
type Limits struct {
	MaxConnections int            // to endpoints, all together
	ConnectionPlan *connpool.Plan // of connections to caches; nil: only maxConnectionsPerEndpoint bounds them
	MaxInFlight    int            // requests in flight
	MaxBodyBytes   int            // of the bodies of the requests in flight
}

// config is the settings in the form in which the reducer looks them up.
type config struct {
	control.Settings
	classes       map[string]control.ClassSettings
	nonCacheKinds []string // kinds of endpoints that are no caches
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

// policySettings returns the settings of the policy. It makes no health checks of its own: they show that an
// endpoint is alive, not how it serves, so ejected endpoints are tried by attempts. Those of instances that
// share the duty of health checks are passed on to it beside that.
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
