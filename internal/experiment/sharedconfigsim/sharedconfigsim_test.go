package sharedconfigsim

import (
	"fmt"
	"testing"
	"time"

	"tealpath/internal/experiment/experimenttest"
)

func newTestPlan(instances int, duration time.Duration, seed uint64) Plan {
	return Plan{
		Instances:     instances,
		Duration:      duration,
		Seed:          seed,
		LeaseDuration: 1500 * time.Millisecond,
		RenewInterval: 500 * time.Millisecond,
		EventInterval: 4 * time.Second,
	}
}

func TestBoundsUnderChangesAndFaults(t *testing.T) {
	for _, n := range []int{5, 20} {
		plan := newTestPlan(n, 20*time.Minute, 7)
		r := plan.Run()
		if !r.BoundsHold() || r.PeakSlowStartShare > 1+1e-9 || r.InForce < 20 {
			t.Errorf("%d instances: want the bounds of docs/agreement.md and at least 20 changes in force, got %+v", n, r)
		}
		if n == 5 && plan.Run() != r {
			t.Error("another run with the same seed gives a different result")
		}
		t.Logf("%+v", r)
	}
}

func TestResultsAreAsRecorded(t *testing.T) {
	t.Parallel()
	recording := experimenttest.NewRecording(t)
	frequent := newTestPlan(3, 15*time.Minute, 11)
	frequent.EventInterval = 2 * time.Second
	longLeases := newTestPlan(12, 10*time.Minute, 13)
	longLeases.LeaseDuration, longLeases.EventInterval = 3*time.Second, 3*time.Second
	for _, plan := range []Plan{frequent, newTestPlan(5, 15*time.Minute, 12), longLeases} {
		recording.Result(fmt.Sprint(plan.Instances), plan.Run())
	}
	recording.Compare()
}
