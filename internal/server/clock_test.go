package server

import (
	"math"
	"testing"
	"time"

	"tealpath/control"
	"tealpath/internal/clock/clocktest"
	"tealpath/internal/router"
)

// The time at which a target's slow start ends is on the boot clock, so that a step of the wall clock does not change
// it. A start in the future counts as a start now.
func TestTargetsWarmUpFromTheirStart(t *testing.T) {
	const second, warmUp = int64(time.Second), int64(8 * time.Second)
	for _, step := range []time.Duration{0, 2 * time.Second, -2 * time.Second, time.Hour, -time.Hour} {
		for _, test := range []struct {
			name    string
			started int64 // ns after now; 0: unknown, long ago
			want    int64 // ns until it is warm; math.MinInt64: it is warm already
		}{
			{"long ago", 0, math.MinInt64},
			{"3 s ago", -3 * second, 5 * second},
			{"an hour ago", -3600 * second, -3592 * second},
			{"a second ahead", second, warmUp},
			{"a year ahead", 365 * 24 * 3600 * second, warmUp},
		} {
			t.Run(step.String()+", "+test.name, func(t *testing.T) {
				clk := clocktest.Running(0)
				node := &clusterNode{clock: clk, targetsChanged: make(chan struct{}, 1)}
				entry := router.EndpointEntry{Instance: "s-a", Endpoint: control.Endpoint{Phase: "ready"}}
				if test.started != 0 {
					entry.StartedAt = clk.Now() + test.started
				}
				clk.Step(step)
				settings := control.Settings{CacheSlowStart: control.SlowStartSettings{WarmUpDuration: warmUp}}
				node.setEndpoints([]router.EndpointEntry{entry}, settings)
				warmAt := (*node.targets.Load())[0].WarmAt
				if test.want == math.MinInt64 {
					if warmAt != 0 {
						t.Errorf("warm at %d", warmAt)
					}
					return
				}
				if left := warmAt - bootTime(); left > test.want+second/10 || left < test.want-second {
					t.Errorf("warm in %v, want %v", time.Duration(left), time.Duration(test.want))
				}
			})
		}
	}
}
