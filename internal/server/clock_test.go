package server

import (
	"math"
	"testing"
	"time"

	"tealpath/control"
	"tealpath/internal/clock/clocktest"
	"tealpath/internal/router"
)

// The slow start of an endpoint that is probed ends at a time of the boot clock, so a step of the wall clock does not
// change it. A start that is reported for the future counts as a start now.
func TestSlowStartEndsOnBootClock(t *testing.T) {
	const second, warmUp = int64(time.Second), int64(8 * time.Second)
	for _, step := range []time.Duration{0, 2 * time.Second, -2 * time.Second, time.Hour, -time.Hour} {
		for _, test := range []struct {
			name    string
			started int64 // start of the endpoint, ns after now; negative: it is past; 0: it is unknown
			want    int64 // end of the slow start, ns after now; negative: it is past; math.MinInt64: there is none
		}{
			{"unknown", 0, math.MinInt64},
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
						t.Errorf("slow start until %d, want none", warmAt)
					}
					return
				}
				if left := warmAt - bootTime(); left > test.want+second/10 || left < test.want-second {
					t.Errorf("slow start ends in %v, want %v", time.Duration(left), time.Duration(test.want))
				}
			})
		}
	}
}
