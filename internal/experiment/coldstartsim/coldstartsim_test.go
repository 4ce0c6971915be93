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

// Where routers without jitter and without a connection plan open more connections than caches hold, or
// never get the endpoint list, those with both stay within the bounds, and no request is lost.
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
					t.Error("another run of the same seed differs")
				}
			}
			baseline := mustRun(t, withBaseline(plan))
			if !current.BoundsHold() || current.RefusedConnections > 0 {
				t.Errorf("%v", current)
			}
			if current.PeakDiscoveryCalls > baseline.PeakDiscoveryCalls {
				t.Errorf("%v, baseline %v", current, baseline)
			}
			mostGetEndpoints := current.Served >= baseline.Served+0.1 && current.TimeToEndpointsP99 >= 0
			if fault == FaultDiscoverySlow && !mostGetEndpoints {
				t.Errorf("served %f, baseline %f", current.Served, baseline.Served)
			}
			if current.RecoveryTime < 0 || current.Served < 0.4 {
				t.Errorf("the usual service is not back: %v", current)
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
		t.Errorf("%v, baseline %v", current, baseline)
	}
	// Where the settings know of three routers only, refused connections are tried again with growing backoff.
	plan.ConfiguredRouters = 3
	if few := mustRun(t, plan); few.Lost > 0 || few.Served < 0.8 || few.Connects > baseline.Connects {
		t.Errorf("%v, baseline %v", few, baseline)
	}
}

func TestUnknownFault(t *testing.T) {
	_, err := Plan{Routers: 1, Caches: 1, Fault: "x", RequestRate: 1}.Run()
	var unknown *UnknownFaultError
	if !errors.As(err, &unknown) || unknown.Fault != "x" || err.Error() !=
		"faults are one of [none list-down list-slow caches-cold caches-silent cache-hangs retries half-killed]" {
		t.Errorf("%v", err)
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
