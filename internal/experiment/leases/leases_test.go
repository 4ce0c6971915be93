package leases

import (
	"errors"
	"testing"
	"time"

	"tealpath/internal/experiment/report"
	"tealpath/internal/experiment/testcluster"
	"tealpath/internal/experiment/testcluster/clustertest"
)

// Holders among real instances on loopback are killed, terminated, stopped and cut off. The test allows twice the
// bound for takeovers, since a busy machine delays them. The command checks the bound itself.
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
		t.Errorf("want no overlaps, stale actions, exceeded budget or unprobed targets, and gaps of at most "+
			"%.0f ms; got %+v", 2*r.MaxGapMS, r)
	}
	if r.CalmProbesPerPeriod < 0.5 || r.CalmProbesPerPeriod > 1.5 {
		t.Errorf("%.2f probes per target and period without faults, want 0.5 to 1.5", r.CalmProbesPerPeriod)
	}
}

func TestBrokenBoundsAreNamed(t *testing.T) {
	within := Result{GapP99MS: 2500, MaxGapMS: 2500, PeakWarmUpBudget: 1, CalmProbesPerPeriod: 1.05}
	if got := brokenBounds(within); got != "" {
		t.Errorf("broken bounds %q, want none", got)
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
		t.Errorf("error %v, want a *report.BoundError for docs/duties.md with detail %q", err, want)
	}
}
