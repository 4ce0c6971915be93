package experiment

import (
	"fmt"
	"testing"
)

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
