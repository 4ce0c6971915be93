package experiment

import "testing"

// A quarter of an hour at each size: the long runs are the tool's.
func TestVirtual(t *testing.T) {
	for _, c := range []struct{ instances, targets int }{{3, 200}, {5, 10}, {16, 3}} {
		instances := c.instances
		r := Virtual{Instances: instances, Slots: 16, Targets: c.targets, Hours: 0.25, Seed: 5, Steps: instances == 5, Lease: 1500e6, Renewal: 500e6}.Run(t.Context())
		t.Logf("%+v", r)
		if r.Overlaps != 0 || r.Backward != 0 || r.Duplicated != 0 {
			t.Errorf("%d instances: %+v", instances, r)
		}
		if r.Tenures < 100 || r.OwnedShare < 0.3 || r.Probes == 0 {
			t.Errorf("%d instances: hardly anything was owned: %+v", instances, r)
		}
	}
}
