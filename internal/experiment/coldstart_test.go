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
