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

// Real routers start beside a discovery service that is down, slow, breaks off, begins anew, or are killed and
// come back: the service is called no faster than the note says, all have the list soon after it can be had,
// and no request that was taken stays without an answer but where its router was killed.
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
				t.Errorf("%+v", r)
			}
			if !strings.Contains(string(fault), "killed") && r.Lost > 0 {
				t.Errorf("%d lost: %+v", r.Lost, r)
			}
			// Without chance and growth: 12 calls of each in 5 s, and then one.
			if fault == ServiceDown && r.Calls > routers*16 {
				t.Errorf("%d calls", r.Calls)
			}
		})
	}
}

// With a hold no router is healthy before it has heard the service, nor do all call at once; one that is down
// keeps none from serving for longer than the hold.
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
		t.Errorf("%+v", r)
	}
}

func TestUnknownFaultIsRejected(t *testing.T) {
	_, err := Experiment{Routers: 1, Caches: 1, Fault: "nonsense"}.Run(t.Context(), Build{})
	if err == nil || !strings.Contains(err.Error(), FaultNames()) {
		t.Errorf("%v", err)
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
			t.Errorf("%s: %v", name, err)
		}
	}
}

func TestSimulation(t *testing.T) {
	for _, n := range []int{300, 1000, 5000} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			simulation := Simulation{Routers: n, Seed: 7, DownDuration: 30 * time.Second, Duration: time.Minute}
			r := simulation.Run()
			if again := simulation.Run(); !reflect.DeepEqual(again, r) {
				t.Error("another play of the same seed differs")
			}
			if r.CheckBounds() != nil || 4*r.PeakCallsPerSecond > r.BaselinePeak || r.ReachedP99MS > 5500 {
				t.Errorf("%+v", r)
			}
			if err := r.Write(t.TempDir()); err != nil {
				t.Error(err)
			}
		})
	}
}
