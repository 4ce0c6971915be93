package router

import (
	"slices"

	"tealpath/control"
	"tealpath/internal/connpool"
)

// Limits contains the limits on the connections and requests of one Router, in addition to those of the settings.
type Limits struct {
	MaxConnections int            // maximum number of connections to all endpoints together
	ConnectionPlan *connpool.Plan // also limits the connections to caches; nil: no further limit
	MaxInFlight    int            // maximum number of requests in flight
	MaxBodyBytes   int            // maximum total size of the bodies of all requests in flight
	MaxExecuted    int            // maximum number of ended requests that are remembered as not to be executed again
	MaxAbandoned   int            // about how many requests may have responses that no attempt waits for; 0: no limit
}

// config contains the settings, with indexes for fast lookup.
type config struct {
	control.Settings
	classes       map[string]control.ClassSettings // settings of each class, by its name
	nonCacheKinds []string                         // values of EndpointEntry.Kind for parents and the origin
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

// policySettings returns the settings for the policy, with health checks disabled: a health check shows that an
// endpoint is alive but not how well it serves, so the policy probes ejected endpoints with attempts instead. The
// results of the health checks that routers share under a lease still reach the policy, through ProbeEnded.
func policySettings(settings control.Settings) control.Settings {
	settings.HealthChecks = false
	return settings
}

// isCache reports whether an endpoint is a cache in this router's location.
func (c *config) isCache(endpoint *endpoint) bool {
	return endpoint.Location == c.Location && !slices.Contains(c.nonCacheKinds, endpoint.Kind)
}

// isIdempotent reports whether requests of a class may be executed more than once.
func (c *config) isIdempotent(class string) bool {
	return c.classes[class].Idempotency == control.Idempotent
}
