package leases

import (
	"errors"
	"testing"
	"time"

	"tealpath/internal/experiment/report"
	"tealpath/internal/experiment/testcluster"
	"tealpath/internal/experiment/testcluster/clustertest"
)

// Guards against two holders of a slot, targets that get no health checks and late takeovers when a lease holder is
// killed, shut down, frozen, isolated or delayed. A busy machine slows takeovers down, so the test allows twice the
// bound; the tealexperiment command checks the bound itself.
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
		Faults:       len(faultCycle),
		Seed:         3,
		ResultsDir:   t.TempDir(),
		IdleDuration: 3 * time.Second,
		Progress:     t.Output(),
	}.Run(t.Context())
	if err != nil && r.Kills == 0 {
		t.Fatal(err)
	}
	if r.Overlaps != 0 || r.StaleActions != 0 || r.PeakWarmUpShare > 1 || r.TargetsNeverProbed != 0 ||
		r.GapMaxMS > 2*r.GapBoundMS {
		t.Errorf("want no overlaps, stale actions or unprobed targets, probes within the warm-up budget and takeovers "+
			"within %.0f ms, got %+v", 2*r.GapBoundMS, r)
	}
	if r.IdleProbesPerPeriod < 0.5 || r.IdleProbesPerPeriod > 1.5 {
		t.Errorf("%.2f probes per target and period without faults, want 0.5 to 1.5", r.IdleProbesPerPeriod)
	}
}

func TestBrokenBoundsAreNamed(t *testing.T) {
	within := Result{GapP99MS: 2500, GapBoundMS: 2500, PeakWarmUpShare: 1, IdleProbesPerPeriod: 1.05}
	if got := brokenBounds(within); got != "" {
		t.Errorf("brokenBounds names %q for a result within all bounds", got)
	}
	if err := within.CheckBounds(); err != nil {
		t.Errorf("result within all bounds: %v", err)
	}
	broken := Result{
		GapP99MS:            2501,
		GapBoundMS:          2500,
		Overlaps:            1,
		StaleActions:        1,
		PeakWarmUpShare:     1.01,
		IdleProbesPerPeriod: 1.06,
		TargetsNeverProbed:  1,
	}
	broken.BrokenBounds = brokenBounds(broken)
	const want = "takeover; two owners; stale actions; cold budget; probes; targets left out; "
	var bound *report.BoundError
	if err := broken.CheckBounds(); !errors.As(err, &bound) || bound.Page != "docs/duties.md" || bound.Detail != want {
		t.Errorf("error %v, want a bound error of docs/duties.md with detail %q", err, want)
	}
}
