package discovery

import (
	"fmt"
	"math"
	"testing"

	"tealpath/internal/router"
)

// What other machines stamp is taken as far as it goes: no time of the far future becomes one of the past, and the other way.
func TestStamps(t *testing.T) {
	for _, c := range []struct {
		name     string
		ms, want int64
	}{
		{"usual", 1764576000123, 1764576000123e6},
		{"none", 0, 0},
		{"negative", -1, -1e6},
		{"a year ahead of 2100", 4133980800000, 4133980800000e6},
		{"far ahead", math.MaxInt64, math.MaxInt64},
		{"far back", math.MinInt64, math.MinInt64},
		{"just beyond what ns can hold", math.MaxInt64/1_000_000 + 1, math.MaxInt64},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, told, err := decodeEvent(fmt.Appendf(nil, `{"pos":2,"expire":{"set":17,"stamp":%d}}`, c.ms))
			if purged, ok := told.(router.PurgeReceived); err != nil || !ok || purged.PurgedAt != c.want {
				t.Errorf("%+v, %v, want %d", told, err, c.want)
			}
			_, told, err = decodeEvent(fmt.Appendf(nil, `{"pos":2,"hosts":{"instances":[{"instanceId":"s-a","startedAtMs":%d}]}}`, c.ms))
			if list, ok := told.(router.EndpointListUpdated); err != nil || !ok || list.Entries[0].StartedAt != c.want {
				t.Errorf("%+v, %v, want %d", told, err, c.want)
			}
		})
	}
	for _, odd := range []string{`"soon"`, `1.5`, `9223372036854775808`, `{}`} {
		_, told, err := decodeEvent([]byte(`{"pos":2,"expire":{"set":17,"stamp":` + odd + `}}`))
		if purged, ok := told.(router.PurgeReceived); err != nil || !ok || purged.Group != 17 || purged.PurgedAt != 0 {
			t.Errorf("stamp %s: %+v, %v; the purge is to count from when it is told", odd, told, err)
		}
		if _, told, err := decodeEvent([]byte(`{"pos":2,"hosts":{"instances":[{"instanceId":"s-a","startedAtMs":` + odd + `}]}}`)); err == nil {
			t.Errorf("start %s passed for %+v", odd, told)
		}
	}
}
