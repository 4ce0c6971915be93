package coldstartsim

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"tealpath/internal/experiment/experimenttest"
)

func mustRun(t *testing.T, plan Plan) Result {
	t.Helper()
	result, err := plan.Run()
	if err != nil {
		t.Fatal(err)
	}
	return result
}

func withBaseline(plan Plan) Plan {
	plan.Baseline = true
	return plan
}

// Under each fault, routers with jitter and a connection plan stay within the bounds of docs/coldstart.md and lose no
// request. Baseline routers, which have neither, may open more connections than caches accept or never receive the
// endpoint list.
func TestBoundsUnderEachFault(t *testing.T) {
	for _, fault := range Faults {
		t.Run(string(fault), func(t *testing.T) {
			t.Parallel()
			plan := Plan{
				Routers:           60,
				Caches:            8,
				Seed:              7,
				Fault:             fault,
				Duration:          20 * time.Second,
				RequestRate:       120,
				MaxAttempts:       3,
				DiscoveryCallRate: 40,
				MaxConnectRate:    80,
			}
			current := mustRun(t, plan)
			if fault == FaultNone {
				if again := mustRun(t, plan); fmt.Sprint(again) != fmt.Sprint(current) {
					t.Error("another run with the same seed gives another result")
				}
			}
			baseline := mustRun(t, withBaseline(plan))
			if !current.BoundsHold() || current.RefusedConnections > 0 {
				t.Errorf("a bound of docs/coldstart.md is broken or a connection was refused: %v", current)
			}
			if current.PeakDiscoveryCalls > baseline.PeakDiscoveryCalls {
				t.Errorf("up to %d discovery calls in a second, want at most the baseline's %d", current.PeakDiscoveryCalls,
					baseline.PeakDiscoveryCalls)
			}
			mostGetEndpoints := current.Served >= baseline.Served+0.1 && current.TimeToEndpointsP99 >= 0
			if fault == FaultDiscoverySlow && !mostGetEndpoints {
				t.Errorf("served share %f, want 0.1 more than the baseline's %f; time to endpoints %f ms, want at least 0",
					current.Served, baseline.Served, current.TimeToEndpointsP99)
			}
			if current.RecoveryTime < 0 || current.Served < 0.4 {
				t.Errorf("the service has not recovered, or less than 0.4 of all requests were served: %v", current)
			}
		})
	}
}

func TestCachesThatTakeFewerConnectionsThanThereAreRouters(t *testing.T) {
	plan := Plan{
		Routers:        100,
		Caches:         12,
		Seed:           7,
		Fault:          FaultNone,
		Duration:       15 * time.Second,
		RequestRate:    200,
		MaxAttempts:    3,
		MaxConnections: 50,
	}
	current, baseline := mustRun(t, plan), mustRun(t, withBaseline(plan))
	if current.PeakConnections > 50 || current.RefusedConnections > 0 || baseline.RefusedConnections < 100 ||
		current.Served < baseline.Served-0.05 {
		t.Errorf("want at most 50 connections to a cache, none refused (at least 100 in the baseline), and a served "+
			"share at most 0.05 below the baseline's; got %v, baseline %v", current, baseline)
	}
	// If the settings state only three routers, each router connects to all caches, and retries refused
	// connections with growing backoff.
	plan.ConfiguredRouters = 3
	if few := mustRun(t, plan); few.Lost > 0 || few.Served < 0.8 || few.Connects > baseline.Connects {
		t.Errorf("want no requests lost, a served share of 0.8 and no more connects than the baseline; "+
			"got %v, baseline %v", few, baseline)
	}
}

func TestUnknownFault(t *testing.T) {
	_, err := Plan{Routers: 1, Caches: 1, Fault: "x", RequestRate: 1}.Run()
	var unknown *UnknownFaultError
	if !errors.As(err, &unknown) || unknown.Fault != "x" || err.Error() != `unknown fault "x": must be one of `+
		"none, list-down, list-slow, caches-cold, caches-silent, cache-hangs, retries, half-killed" {
		t.Errorf("got error %v, want an UnknownFaultError that lists all faults", err)
	}
}

func TestResultsAreAsRecorded(t *testing.T) {
	t.Parallel()
	recording := experimenttest.NewRecording(t)
	folder := t.TempDir()
	for _, fault := range Faults {
		plan := Plan{
			Routers:           20,
			Caches:            4,
			Seed:              11,
			Fault:             fault,
			Duration:          12 * time.Second,
			RequestRate:       80,
			MaxAttempts:       3,
			DiscoveryCallRate: 15,
			MaxConnectRate:    30,
		}
		runs := []Result{mustRun(t, withBaseline(plan)), mustRun(t, plan)}
		for _, result := range runs {
			recording.Result(string(fault), result)
			recording.Line("seconds", result.Seconds)
		}
		if err := WriteReport(folder, runs...); err != nil {
			t.Fatal(err)
		}
	}
	recording.Result("hold, known list", mustRun(t, Plan{
		Routers:             20,
		Caches:              4,
		Seed:                3,
		Fault:               FaultNone,
		Duration:            8 * time.Second,
		RequestRate:         80,
		MaxConnections:      9,
		ReadinessHold:       4 * time.Second,
		ConfiguredRouters:   5,
		EndpointsConfigured: true,
	}))
	recording.Result("caches that crash", mustRun(t, Plan{
		Routers:           20,
		Caches:            2,
		Seed:              3,
		Fault:             FaultAggressiveRetries,
		Duration:          8 * time.Second,
		RequestRate:       1500,
		MaxAttempts:       5,
		ConfiguredRouters: 1,
	}))
	recording.Files(folder)
	recording.Compare()
}
