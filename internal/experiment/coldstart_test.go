package experiment

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"
)

// Real routers start beside a list service that is down, slow, breaks off, begins anew, or are killed and come back:
// the service is called no faster than the note says, all have the list soon after it can be had, and no retrieval that
// was taken stays without an answer but where its router was killed.
func TestColdStart(t *testing.T) {
	binary := build(t)
	for i, faults := range ColdFaults {
		t.Run(faults, func(t *testing.T) {
			t.Parallel()
			r, err := Coldstart{Routers: 12, Caches: 4, Seed: 7, Faults: faults, Span: 14 * time.Second, Rate: 60, Folder: t.TempDir(),
				Process: io.Discard}.Run(t.Context(), binary, 0, i%2 == 0)
			if err != nil {
				t.Fatal(err)
			}
			if r.Unlisted > 0 || r.CallsPeak > 12*4 || !strings.Contains(faults, "killed") && r.Lost > 0 || r.Stale > 0 || r.Fallen > 0 || r.Worst > 1 {
				t.Errorf("%+v", r)
			}
			if faults == "list-down" && r.Calls > 12*16 { // without chance and growth: 12 calls of each in 5 s, and then one
				t.Errorf("%d calls", r.Calls)
			}
		})
	}
}

// With a hold no router is good before it has heard the service, nor all call at once; one that is down keeps none from
// serving for longer than the hold.
func TestColdStartHoldsHealthBack(t *testing.T) {
	binary := build(t)
	r, err := Coldstart{Routers: 12, Caches: 2, Seed: 7, Faults: "none", Span: 8 * time.Second, Rate: 30, Folder: t.TempDir(),
		Process: io.Discard}.Run(t.Context(), binary, 4*time.Second, false)
	if err != nil {
		t.Fatal(err)
	}
	if r.Unlisted > 0 || r.CallsPeak > 10 || r.Listed99 < 500 || r.Listed99 > 6000 {
		t.Errorf("%+v", r)
	}
}

func TestVirtualColdStart(t *testing.T) {
	for _, n := range []int{300, 1000, 5000} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			r := VirtualCold{Routers: n, Seed: 7, Down: 30e9, Span: 60e9}.Run()
			if again := (VirtualCold{Routers: n, Seed: 7, Down: 30e9, Span: 60e9}).Run(); fmt.Sprint(again) != fmt.Sprint(r) {
				t.Error("another play of the same seed differs")
			}
			if r.Peak > r.Bound || 4*r.Peak > r.Before || r.Heard99 > 5500 {
				t.Errorf("%+v", r)
			}
		})
	}
}

// Whole routers in simulated time: where those before open more connections than caches hold, or never get the list,
// those now stay within, and nobody's retrieval is lost.
func TestColdFleet(t *testing.T) {
	for _, faults := range FleetFaults {
		t.Run(faults, func(t *testing.T) {
			t.Parallel()
			play := FleetCold{Routers: 60, Caches: 8, Seed: 7, Faults: faults, Span: 20e9, Rate: 120, Tries: 3, Bears: 40, Opens: 80}
			now, err := play.Run()
			if err != nil {
				t.Fatal(err)
			}
			if faults == "none" {
				if again, _ := play.Run(); fmt.Sprint(again) != fmt.Sprint(now) {
					t.Error("another play of the same seed differs")
				}
			}
			play.Before = true
			old, err := play.Run()
			if err != nil {
				t.Fatal(err)
			}
			if now.CachePeak > now.Holds || now.Denied > 0 || now.Fallen > 0 || now.Worst > 1 || now.Lost > 0 || now.Peak > old.Peak {
				t.Errorf("%v, before %v", now, old)
			}
			if faults == "list-slow" && (now.Settled < old.Settled+0.1 || now.Listed99 < 0) {
				t.Errorf("settled %f, before %f", now.Settled, old.Settled)
			}
			if now.Back < 0 || now.Settled < 0.4 {
				t.Errorf("usual service is not back: %v", now)
			}
		})
	}
}

// Caches that hold fewer connections than there are routers.
func TestColdFleetOfManyAtFewConnections(t *testing.T) {
	play := FleetCold{Routers: 100, Caches: 12, Seed: 7, Faults: "none", Span: 15e9, Rate: 200, Tries: 3, Holds: 50}
	now, err := play.Run()
	if err != nil {
		t.Fatal(err)
	}
	play.Before = true
	old, err := play.Run()
	if err != nil {
		t.Fatal(err)
	}
	if now.CachePeak > 50 || now.Denied > 0 || old.Denied < 100 || now.Settled < old.Settled-0.05 {
		t.Errorf("%v, before %v", now, old)
	}
	// The settings know of three: what is refused is asked for ever later.
	play.Before, play.Bound = false, 3
	if few, err := play.Run(); err != nil || few.Lost > 0 || few.Settled < 0.8 || few.Connects > old.Connects {
		t.Errorf("%v %v, before %v", err, few, old)
	}
}
