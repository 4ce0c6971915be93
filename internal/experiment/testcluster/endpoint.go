package testcluster

import (
	"fmt"
	"strings"
	"time"

	"tealpath/internal/emulator/cache"
)

// CacheName returns the name of an emulated cache.
func CacheName(index int) string { return fmt.Sprintf("s-%03d", index) }

// EndpointJSON returns the JSON of a cache's entry in an endpoint list. A zero startedAt means a start long ago.
func EndpointJSON(emulated *cache.Cache, startedAt time.Time) string {
	startedAtMS := int64(0)
	if !startedAt.IsZero() {
		startedAtMS = startedAt.UnixMilli()
	}
	return fmt.Sprintf(`{"instanceId":"%s","hostPort":"%s","zone":"here","machineType":"cache",`+
		`"lifecycle":"active","weight":4,"startedAtMs":%d}`, emulated.Name, emulated.Address(), startedAtMS)
}

// Draining returns the JSON of an endpoint, or of an event with it, changed so that the cache drains.
func Draining(endpoint string) string { return strings.Replace(endpoint, "active", "leaving", 1) }

// EndpointListEvent returns a watch event with a complete endpoint list. It contains %d in place of its position.
func EndpointListEvent(generation int, endpoints []string) string {
	return fmt.Sprintf(`{"pos":%%d,"hosts":{"generation":%d,"reset":true,"instances":[%s]}}`,
		generation, strings.Join(endpoints, ","))
}

// EndpointChangeEvent returns a watch event that changes some endpoints. It contains %d in place of its position.
func EndpointChangeEvent(generation int, endpoints ...string) string {
	return fmt.Sprintf(`{"pos":%%d,"hosts":{"generation":%d,"instances":[%s]}}`,
		generation, strings.Join(endpoints, ","))
}
