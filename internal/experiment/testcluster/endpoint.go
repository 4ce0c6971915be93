package testcluster

import (
	"fmt"
	"strings"
	"time"

	"tealpath/internal/emulator/cache"
)

// CacheName returns the name of the emulated cache with an index, such as s-003 for 3.
func CacheName(index int) string { return fmt.Sprintf("s-%03d", index) }

// EndpointJSON returns the entry of a cache in an endpoint list. A zero startedAt means that it started long ago.
func EndpointJSON(emulated *cache.Cache, startedAt time.Time) string {
	startedAtMS := int64(0)
	if !startedAt.IsZero() {
		startedAtMS = startedAt.UnixMilli()
	}
	return fmt.Sprintf(`{"instanceId":"%s","hostPort":"%s","zone":"here","machineType":"cache",`+
		`"lifecycle":"active","weight":4,"startedAtMs":%d}`, emulated.Name, emulated.Address(), startedAtMS)
}

// DrainingEndpoint marks an active endpoint as draining. It takes a result of EndpointJSON, or an event that
// contains one.
func DrainingEndpoint(endpoint string) string {
	return strings.Replace(endpoint, "active", "leaving", 1)
}

// EndpointListEvent returns a watch event with a complete endpoint list. The event contains %d in place of its
// position.
func EndpointListEvent(generation int, endpoints []string) string {
	return fmt.Sprintf(`{"pos":%%d,"hosts":{"generation":%d,"reset":true,"instances":[%s]}}`,
		generation, strings.Join(endpoints, ","))
}

// EndpointChangeEvent returns a watch event that changes some endpoints. The event contains %d in place of its
// position.
func EndpointChangeEvent(generation int, endpoints ...string) string {
	return fmt.Sprintf(`{"pos":%%d,"hosts":{"generation":%d,"instances":[%s]}}`,
		generation, strings.Join(endpoints, ","))
}
