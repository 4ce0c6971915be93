package coldstart

import (
	"errors"
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"

	"tealpath/internal/experiment/report"
	"tealpath/internal/experiment/testcluster/clustertest"
)

// Under each fault the bounds of docs/coldstart.md hold: the rate of calls to the discovery service is limited, all
// routers become healthy, and no request is lost except those at routers that were killed.
func TestColdStart(t *testing.T) {
	const routers = 12
	binary := clustertest.Build(t, "tealpath")
	for i, fault := range Faults() {
		t.Run(string(fault), func(t *testing.T) {
			t.Parallel()
			r, err := Experiment{
				Routers:  routers,
				Caches:   4,
				Seed:     7,
				Fault:    fault,
				Duration: 14 * time.Second,
				Rate:     60,
				Dir:      t.TempDir(),
			}.Run(t.Context(), Build{Binary: binary, PlanConnections: i%2 == 0})
			if err != nil {
				t.Fatal(err)
			}
			if r.NeverHealthy > 0 || r.PeakCallsPerSecond > routers*4 || r.StaleListAttempts > 0 ||
				r.NotNotified > 0 || r.CacheCrashes > 0 || r.PeakLoad > 1 {
				t.Errorf("want all routers healthy, at most %d calls per second, no attempts with a stale list, all routers "+
					"notified of the drain, no cache crash and a load of at most 1; got %+v", routers*4, r)
			}
			if !strings.Contains(string(fault), "killed") && r.Lost > 0 {
				t.Errorf("%d requests lost although no router was killed: %+v", r.Lost, r)
			}
			// In the baseline of Simulation a router would make 13 calls in the 5 s of the outage, and one after it.
			if fault == ServiceDown && r.Calls > routers*16 {
				t.Errorf("%d calls to the discovery service, want at most %d", r.Calls, routers*16)
			}
		})
	}
}

// With a readiness hold, routers spread their first calls, and each reports that it is not ready until the discovery
// service has answered, but not for longer than the hold.
func TestColdStartHoldsHealthBack(t *testing.T) {
	r, err := Experiment{
		Routers:  12,
		Caches:   2,
		Seed:     7,
		Fault:    NoFault,
		Duration: 8 * time.Second,
		Rate:     30,
		Dir:      t.TempDir(),
	}.Run(t.Context(), Build{Binary: clustertest.Build(t, "tealpath"), ReadinessHold: 4 * time.Second})
	if err != nil {
		t.Fatal(err)
	}
	if r.NeverHealthy > 0 || r.PeakCallsPerSecond > 10 || r.HealthyP99MS < 500 || r.HealthyP99MS > 6000 {
		t.Errorf("want all routers healthy after 0.5 to 6 s and at most 10 calls per second, got %+v", r)
	}
}

func TestUnknownFaultIsRejected(t *testing.T) {
	_, err := Experiment{Routers: 1, Caches: 1, Fault: "nonsense"}.Run(t.Context(), Build{})
	if err == nil || !strings.Contains(err.Error(), FaultNames()) {
		t.Errorf("error %v does not list the faults %s", err, FaultNames())
	}
}

func TestCheckBounds(t *testing.T) {
	within := Result{PeakCallsPerSecond: 20, MaxCallsPerSecond: 20, PeakConnections: 9, MaxConnections: 8, PeakLoad: 1}
	if err := within.CheckBounds(); err != nil {
		t.Error(err)
	}
	for name, breakBound := range map[string]func(*Result){
		"calls":       func(r *Result) { r.PeakCallsPerSecond = 21 },
		"health":      func(r *Result) { r.NeverHealthy = 1 },
		"lost":        func(r *Result) { r.Lost = 1 },
		"crash":       func(r *Result) { r.CacheCrashes = 1 },
		"cold load":   func(r *Result) { r.PeakLoad = 1.01 },
		"connections": func(r *Result) { r.PlannedConnections = true },
	} {
		broken := within
		breakBound(&broken)
		var bound *report.BoundError
		if err := broken.CheckBounds(); !errors.As(err, &bound) || bound.Page != "docs/coldstart.md" {
			t.Errorf("%s: got error %v, want a *report.BoundError for docs/coldstart.md", name, err)
		}
	}
}

func TestSimulation(t *testing.T) {
	for _, n := range []int{300, 1000, 5000} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			simulation := Simulation{Routers: n, Seed: 7, DownDuration: 30 * time.Second, Duration: time.Minute}
			r := simulation.Run()
			if again := simulation.Run(); !reflect.DeepEqual(again, r) {
				t.Error("another run with the same seed gives another result")
			}
			if r.CheckBounds() != nil || 4*r.PeakCallsPerSecond > r.BaselinePeak || r.ReachedP99MS > 5500 {
				t.Errorf("want calls within the bound and at most a quarter of the baseline's peak, "+
					"and responses of the service to 99%% of the routers within 5.5 s, got %+v", r)
			}
			if err := r.Write(t.TempDir()); err != nil {
				t.Error(err)
			}
		})
	}
}
