package membership

import (
	"errors"
	"testing"
	"time"

	"tealpath/internal/experiment/report"
	"tealpath/internal/experiment/testcluster"
	"tealpath/internal/experiment/testcluster/clustertest"
)

// Guards against undetected faults, live instances believed dead, and views that stay different after a fault. Real
// instances are killed, cut off in one direction, stopped, partitioned and starved.
func TestMembersOfRealInstances(t *testing.T) {
	t.Parallel()
	r, err := Experiment{
		Config: testcluster.Config{
			Binary:        clustertest.Build(t, "tealpath"),
			Dir:           t.TempDir(),
			Instances:     10,
			Slots:         8,
			LeaseDuration: 1500 * time.Millisecond,
			RenewInterval: 500 * time.Millisecond,
			ProbePeriod:   time.Second,
		},
		Faults:   []Fault{Kill, CutInward, CutOutward, PauseMany, Partition, Starve},
		Duration: 42 * time.Second,
		Seed:     7,
	}.Run(t.Context())
	// Durations depend on the machine's load, so the test only checks that faults were detected and that all
	// instances agreed again.
	var bound *report.BoundError
	if err != nil && !errors.As(err, &bound) {
		t.Errorf("the experiment failed: %v; result %+v", err, r)
	}
	if r.FalseDeaths+r.UndetectedKills+r.UndetectedOneWay > 0 || len(r.Faults) < 5 {
		t.Errorf("want no false deaths or undetected faults and at least 5 faults; error %v, result %+v", err, r)
	}
}

func TestCheckBounds(t *testing.T) {
	within := Result{
		Instances:            50,
		DetectionMaxMS:       MaxDetectionMS,
		OneWayDetectionMaxMS: MaxOneWayDetectionMS,
		DisagreementMaxMS:    MaxDisagreementMS,
		MaxLinks:             66,
	}
	if err := within.CheckBounds(); err != nil {
		t.Errorf("result within all bounds: %v", err)
	}
	for name, breakBound := range map[string]func(*Result){
		"detection":                func(r *Result) { r.DetectionMaxMS++ },
		"undetected kill":          func(r *Result) { r.UndetectedKills++ },
		"false deaths":             func(r *Result) { r.FalseDeaths++ },
		"undetected one-way fault": func(r *Result) { r.UndetectedOneWay++ },
		"one-way detection":        func(r *Result) { r.OneWayDetectionMaxMS++ },
		"disagreement":             func(r *Result) { r.DisagreementMaxMS++ },
		"links":                    func(r *Result) { r.MaxLinks++ },
	} {
		broken := within
		breakBound(&broken)
		var bound *report.BoundError
		if err := broken.CheckBounds(); !errors.As(err, &bound) || bound.Page != "docs/membership.md" {
			t.Errorf("broken bound of %s: got %v, want a bound error of docs/membership.md", name, err)
		}
	}
}

func TestUnknownFaultIsRejected(t *testing.T) {
	_, err := Experiment{Faults: []Fault{Kill, "nonsense"}}.Run(t.Context())
	if want := `unknown fault "nonsense"; faults are ` + FaultNames(); err == nil || err.Error() != want {
		t.Errorf("error %v, want %s", err, want)
	}
}
