package membershipsim

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"tealpath/internal/experiment/experimenttest"
)

// newTestPlan returns a plan without faults, with the default heartbeat interval and silence timeout.
func newTestPlan(instances int, duration time.Duration, seed uint64) Plan {
	return Plan{
		Instances:         instances,
		Duration:          duration,
		Seed:              seed,
		HeartbeatInterval: 500 * time.Millisecond,
		SilenceTimeout:    2100 * time.Millisecond,
	}
}

func (p Plan) withFaults(interval time.Duration, faults ...Fault) Plan {
	p.Faults = faults
	p.FaultInterval = interval
	p.StartSpread = time.Second
	return p
}

func (p Plan) asBaseline() Plan {
	p.Baseline = true
	p.SilenceTimeout = 0
	return p
}

func TestBoundsUnderFaults(t *testing.T) {
	for _, faults := range [][]Fault{
		{FaultKill},
		{FaultPause},
		{FaultLoss, FaultLatency, FaultDuplicateSend},
		{FaultInboundLost, FaultOutboundLost, FaultOneWayLink},
		{FaultPartition},
		{FaultFlapping},
	} {
		t.Run(fmt.Sprint(faults), func(t *testing.T) {
			t.Parallel()
			r := newTestPlan(40, 150*time.Second, 7).withFaults(20*time.Second, faults...).Run()
			if !r.BoundsHold() || r.TimeToFormMS < 0 || r.FaultFreeBytesPerSecond > 2000 {
				t.Errorf("want the bounds of docs/membership.md, a group that forms and at most 2000 bytes per second, got %+v", r)
			}
		})
	}
}

func TestBoundsWithAFifthOfAllMessagesLost(t *testing.T) {
	t.Parallel()
	plan := newTestPlan(40, 100*time.Second, 7)
	plan.Loss = 0.2
	if r := plan.Run(); !r.BoundsHold() {
		t.Errorf("a bound of docs/membership.md is broken: %+v", r)
	}
}

func TestBaselineHasFalseDeathsAndSendsMore(t *testing.T) {
	t.Parallel()
	plan := newTestPlan(40, 30*time.Second, 7)
	plan.SilenceTimeout = 0 // selects the protocol's default
	baseline, current := plan.asBaseline().Run(), plan.Run()
	if baseline.FalseDeaths == 0 || current.FalseDeaths > 0 || current.BytesPerSecond > baseline.BytesPerSecond/4 {
		t.Errorf("want false deaths and over four times the bytes in the baseline only: %+v, baseline %+v",
			current, baseline)
	}
	if again := plan.Run(); again != current {
		t.Error("another run with the same seed gives a different result")
	}
}

func TestResultsAreAsRecorded(t *testing.T) {
	t.Parallel()
	recording := experimenttest.NewRecording(t)
	var runs []Result
	run := func(name string, plan Plan) {
		result := plan.Run()
		runs = append(runs, result)
		recording.Result(name, result)
		recording.Line("broken", !result.BoundsHold())
	}
	for _, fault := range Faults {
		run(string(fault), newTestPlan(16, 90*time.Second, 11).withFaults(15*time.Second, fault))
	}
	all := newTestPlan(30, 300*time.Second, 12).withFaults(15*time.Second, Faults...)
	all.Loss = 0.05
	run("all", all)
	run("many", newTestPlan(60, 60*time.Second, 12).withFaults(10*time.Second, Faults...))
	run("before", newTestPlan(16, 120*time.Second, 11).withFaults(15*time.Second, Faults...).asBaseline())
	run("before, calm", newTestPlan(30, 40*time.Second, 11).asBaseline())
	folder := t.TempDir()
	if err := WriteCharts(folder, runs); err != nil {
		t.Fatal(err)
	}
	recording.Files(folder)
	recording.Compare()
}

func TestTableHasARowForEachRun(t *testing.T) {
	folder := t.TempDir()
	runs := []Result{{Instances: 3, Baseline: true, DetectionP99: 1.5, FalseDeaths: 2}, {Instances: 4}}
	if err := WriteTable(folder, runs); err != nil {
		t.Fatal(err)
	}
	got, err := os.ReadFile(filepath.Join(folder, "members.csv"))
	want := "instances,before,detect_p99_ms,false_deaths,bytes_calm,links\n3,true,1.5,2,0,0\n4,false,0,0,0,0\n"
	if err != nil || string(got) != want {
		t.Errorf("members.csv holds\n%s, want\n%s; error %v", got, want, err)
	}
}
