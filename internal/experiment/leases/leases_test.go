package leases

import (
	"errors"
	"testing"
	"time"

	"tealpath/internal/experiment/report"
	"tealpath/internal/experiment/testcluster"
	"tealpath/internal/experiment/testcluster/clustertest"
)

// Real instances on loopback: holders are killed, told to leave, frozen and cut off. What a busy machine can
// stretch is held to twice the bound here; the tool holds it to the bound.
func TestLeasesOfRealInstances(t *testing.T) {
	r, err := Experiment{
		Config: testcluster.Config{
			Binary:        clustertest.Build(t, "tealpath"),
			Dir:           t.TempDir(),
			Instances:     3,
			Caches:        5,
			Slots:         16,
			LeaseDuration: 1500 * time.Millisecond,
			RenewInterval: 500 * time.Millisecond,
			ProbePeriod:   time.Second,
		},
		Kills:        len(faultCycle),
		Seed:         3,
		ResultsDir:   t.TempDir(),
		CalmDuration: 3 * time.Second,
		Progress:     t.Output(),
	}.Run(t.Context())
	if err != nil && r.Kills == 0 {
		t.Fatal(err)
	}
	if r.Overlaps != 0 || r.StaleActions != 0 || r.PeakWarmUpBudget > 1 || r.TargetsNeverProbed != 0 ||
		r.GapMaxMS > 2*r.MaxGapMS {
		t.Errorf("%+v", r)
	}
	if r.CalmProbesPerPeriod < 0.5 || r.CalmProbesPerPeriod > 1.5 {
		t.Errorf("%.2f probes a target and period in the calm", r.CalmProbesPerPeriod)
	}
}

func TestBrokenBoundsAreNamed(t *testing.T) {
	within := Result{GapP99MS: 2500, MaxGapMS: 2500, PeakWarmUpBudget: 1, CalmProbesPerPeriod: 1.05}
	if got := brokenBounds(within); got != "" {
		t.Errorf("%q", got)
	}
	if err := within.CheckBounds(); err != nil {
		t.Error(err)
	}
	broken := Result{
		GapP99MS:            2501,
		MaxGapMS:            2500,
		Overlaps:            1,
		StaleActions:        1,
		PeakWarmUpBudget:    1.01,
		CalmProbesPerPeriod: 1.06,
		TargetsNeverProbed:  1,
	}
	broken.BrokenBounds = brokenBounds(broken)
	const want = "takeover; two owners; stale actions; cold budget; probes; targets left out; "
	var bound *report.BoundError
	if err := broken.CheckBounds(); !errors.As(err, &bound) || bound.Page != "docs/duties.md" || bound.Detail != want {
		t.Errorf("%v, want detail %q", err, want)
	}
}
