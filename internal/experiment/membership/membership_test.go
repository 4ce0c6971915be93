package membership

import (
	"errors"
	"testing"
	"time"

	"tealpath/internal/experiment/report"
	"tealpath/internal/experiment/testcluster"
	"tealpath/internal/experiment/testcluster/clustertest"
)

// Real instances detect kills and links that are cut in one direction. They consider no live instance dead while a
// tenth of them are stopped, the network is partitioned or one instance is starved of processor time.
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
	// Times depend on the load of the machine. The test checks only that faults were detected and that all agreed
	// again.
	var bound *report.BoundError
	if err != nil && !errors.As(err, &bound) {
		t.Errorf("error %v, want none or a *report.BoundError; result %+v", err, r)
	}
	if r.FalseDeaths+r.UndetectedKills+r.Unjudged > 0 || len(r.Faults) < 5 {
		t.Errorf("want at least 5 faults, all detected, and no false deaths; got error %v, result %+v", err, r)
	}
}

func TestCheckBounds(t *testing.T) {
	within := Result{
		Instances:         50,
		DetectionMaxMS:    MaxDetectionMS,
		JudgementMaxMS:    MaxJudgementMS,
		DisagreementMaxMS: MaxDisagreementMS,
		MaxLinks:          66,
	}
	if err := within.CheckBounds(); err != nil {
		t.Error(err)
	}
	for name, breakBound := range map[string]func(*Result){
		"detection":    func(r *Result) { r.DetectionMaxMS++ },
		"undetected":   func(r *Result) { r.UndetectedKills++ },
		"false deaths": func(r *Result) { r.FalseDeaths++ },
		"unjudged":     func(r *Result) { r.Unjudged++ },
		"judgement":    func(r *Result) { r.JudgementMaxMS++ },
		"disagreement": func(r *Result) { r.DisagreementMaxMS++ },
		"links":        func(r *Result) { r.MaxLinks++ },
	} {
		broken := within
		breakBound(&broken)
		var bound *report.BoundError
		if err := broken.CheckBounds(); !errors.As(err, &bound) || bound.Page != "docs/membership.md" {
			t.Errorf("%s: error %v, want a *report.BoundError for docs/membership.md", name, err)
		}
	}
}

func TestUnknownFaultIsRejected(t *testing.T) {
	_, err := Experiment{Faults: []Fault{Kill, "nonsense"}}.Run(t.Context())
	if want := `unknown fault "nonsense": must be one of ` + FaultNames(); err == nil || err.Error() != want {
		t.Errorf("error %v, want %s", err, want)
	}
}
