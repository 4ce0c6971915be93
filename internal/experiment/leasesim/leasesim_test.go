package leasesim

import (
	"context"
	"fmt"
	"testing"
	"time"

	"tealpath/internal/experiment/experimenttest"
)

func newTestPlan(instances, targets int, hours float64, seed uint64) Plan {
	return Plan{
		Instances:     instances,
		Slots:         16,
		Targets:       targets,
		Hours:         hours,
		Seed:          seed,
		LeaseDuration: 1500 * time.Millisecond,
		RenewInterval: 500 * time.Millisecond,
	}
}

// Guards against two instances that hold or probe the same slot, and against ballots that decrease. Each number of
// instances runs for a quarter of an hour of simulated time; `tealexperiment duties --virtual` runs longer.
func TestOneHolderPerSlotUnderFaults(t *testing.T) {
	for _, size := range []struct{ instances, targets int }{{3, 200}, {5, 10}, {16, 3}} {
		plan := newTestPlan(size.instances, size.targets, 0.25, 5)
		plan.ClockSteps = size.instances == 5
		r := plan.Run(t.Context())
		t.Logf("%+v", r)
		if !r.BoundsHold() || r.Overlaps != 0 || r.BallotRegressions != 0 || r.DuplicateProbes != 0 {
			t.Errorf("%d instances: want no overlaps, ballot regressions or duplicate probes, got %+v", size.instances, r)
		}
		if r.Tenures < 100 || r.LeasedShare < 0.3 || r.Probes == 0 {
			t.Errorf("%d instances: want at least 100 tenures, a leased share of 0.3 and one probe, got %+v",
				size.instances, r)
		}
	}
}

func TestRunEndsWithItsContext(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if r := newTestPlan(3, 1, 1, 5).Run(ctx); r.Kills > 0 || r.Hours > 0.1 {
		t.Errorf("the run went on after its context was canceled: %+v", r)
	}
}

func TestResultsAreAsRecorded(t *testing.T) {
	t.Parallel()
	recording := experimenttest.NewRecording(t)
	for _, clockSteps := range []bool{false, true} {
		for _, instances := range []int{1, 3, 6, 12} {
			plan := newTestPlan(instances, 10, 0.1, 11)
			plan.ClockSteps = clockSteps
			result := plan.Run(t.Context())
			recording.Result(fmt.Sprint(instances, clockSteps), result)
			sum := Result{Instances: instances}
			sum.Add(result)
			sum.Add(result)
			recording.Result("sum", sum)
		}
	}
	recording.Compare()
}
