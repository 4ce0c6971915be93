package server

import (
	"math"
	"testing"
	"time"

	"tealpath/control"
	"tealpath/internal/clock/clocktest"
	"tealpath/internal/router"
)

// When a target of probes is warm, on the boot clock that leases go by: a step of the wall clock doesn't move it, and nobody
// started after it was told.
func TestTargetsAreWarmByTheirStart(t *testing.T) {
	const second, span = int64(time.Second), int64(8 * time.Second)
	for _, step := range []time.Duration{0, 2 * time.Second, -2 * time.Second, time.Hour, -time.Hour} {
		for _, c := range []struct {
			name    string
			started int64 // against now; 0 is long ago
			want    int64 // until it is warm
		}{
			{"long ago", 0, math.MinInt64}, {"3 s ago", -3 * second, 5 * second}, {"an hour ago", -3600 * second, -3592 * second},
			{"a second ahead", second, span}, {"a year ahead", 365 * 24 * 3600 * second, span},
		} {
			t.Run(step.String()+", "+c.name, func(t *testing.T) {
				clk := clocktest.Running(0)
				s := &sharing{clock: clk, relist: make(chan struct{}, 1)}
				line := router.EndpointEntry{Instance: "s-a", Endpoint: control.Endpoint{Phase: "ready"}}
				if c.started != 0 {
					line.StartedAt = clk.Now() + c.started
				}
				clk.Step(step)
				s.list([]router.EndpointEntry{line}, control.Settings{"cold.span": span})
				warm := (*s.targets.Load())[0].WarmAt
				if c.want == math.MinInt64 {
					if warm != 0 {
						t.Errorf("warm at %d", warm)
					}
					return
				}
				if left := warm - bootTime(); left > c.want+second/10 || left < c.want-second {
					t.Errorf("warm in %v, want %v", time.Duration(left), time.Duration(c.want))
				}
			})
		}
	}
}
