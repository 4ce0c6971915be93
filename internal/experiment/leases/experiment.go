// Package leases measures how instances of the real router share leases: how fast others take over the slots of
// a holder that fails, whether a slot ever has two holders, and the cost of instances without faults.
package leases

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"tealpath/internal/experiment/report"
	"tealpath/internal/experiment/testcluster"
)

// Page is the design note with the bounds that results are checked against.
const Page = "docs/duties.md"

// Fault is the way in which a lease holder fails.
type Fault string

// Faults of a lease holder.
const (
	Kill      Fault = "SIGKILL"
	Terminate Fault = "SIGTERM"
	Freeze    Fault = "freeze" // by SIGSTOP
	Isolate   Fault = "cut"    // its links are cut
	Delay     Fault = "delay"  // messages on its links take longer than a lease lasts
)

// faultCycle is the order of the faults. It is repeated.
var faultCycle = []Fault{Kill, Kill, Terminate, Freeze, Isolate, Delay}

// Experiment has instances share leases, and makes one holder after another fail.
type Experiment struct {
	testcluster.Config
	Kills        int
	Seed         uint64
	ResultsDir   string
	CalmDuration time.Duration // of the measurement without faults at the start
	Progress     io.Writer     // receives a line for each step
}

// Takeover describes the failure of one holder and the takeover of its slots.
type Takeover struct {
	Kill   int     `json:"kill"`
	Fault  Fault   `json:"how"`
	Victim string  `json:"victim"`
	Slots  int     `json:"slots"`
	GapMS  float64 `json:"gap_ms"` // from the fault until the last of its slots had a new holder
}

// Result holds what an experiment measured.
type Result struct {
	Kills               int     `json:"kills"`
	GapP50MS            float64 `json:"gap_p50_ms"`
	GapP99MS            float64 `json:"gap_p99_ms"`
	GapMaxMS            float64 `json:"gap_max_ms"`
	Overlaps            int     `json:"overlaps"`      // health checks of a target by two holders within a period
	StaleActions        int     `json:"stale_actions"` // health checks with a lower ballot than an earlier one
	ProbesPerPeriod     float64 `json:"probes_per_target_per_period"`
	PeakWarmUpBudget    float64 `json:"cold_budget_worst_share"`
	CalmProbesPerPeriod float64 `json:"calm_probes_per_target_per_period"`
	UnsharedProbes      float64 `json:"undivided_probes_per_target_per_period"` // if every instance probed each target
	KillGapMaxMS        float64 `json:"gap_sigkill_max_ms"`
	TerminateGapMaxMS   float64 `json:"gap_sigterm_max_ms"`
	FreezeGapMaxMS      float64 `json:"gap_freeze_max_ms"`
	IsolateGapMaxMS     float64 `json:"gap_cut_max_ms"`
	DelayGapMaxMS       float64 `json:"gap_delay_max_ms"`
	IdleCPUPercent      float64 `json:"idle_cpu_percent_of_a_core"`
	FramesPerSecond     float64 `json:"frames_per_second_an_instance"`
	ResidentKB          int64   `json:"resident_kb"`
	UnsharedCPUPercent  float64 `json:"cpu_percent_without_operator"` // of an instance without an operator's file
	UnsharedResidentKB  int64   `json:"resident_kb_without_operator"`
	MaxGapMS            float64 `json:"bound_ms"`
	BrokenBounds        string  `json:"bounds_broken,omitempty"`
	Probes              int     `json:"probes"` // health checks sent during the faults
	Seconds             float64 `json:"seconds"`
	TargetsNeverProbed  int     `json:"targets_never_probed"`
}

// CheckBounds returns a *report.BoundError if the result breaks a bound.
func (r Result) CheckBounds() error {
	if r.BrokenBounds != "" {
		return &report.BoundError{Page: Page, Detail: r.BrokenBounds}
	}
	return nil
}

// Run runs the experiment, writes its files and returns its result. The result is also valid if the error is a
// *report.BoundError.
func (e Experiment) Run(ctx context.Context) (Result, error) {
	p, err := e.plan()
	if err != nil {
		return Result{}, err
	}
	defer p.close()
	if err := p.run(ctx); err != nil {
		return p.result, err
	}
	if err := p.report(); err != nil {
		return p.result, err
	}
	return p.result, p.result.CheckBounds()
}

// plan creates the cluster and, for comparison, one stand-alone instance without an operator's file.
func (e Experiment) plan() (*play, error) {
	e.WithRelays = true
	p := &play{Experiment: e}
	cluster, err := testcluster.New(e.Config)
	if err != nil {
		return nil, err
	}
	p.cluster = cluster
	alone := e.Config
	alone.Dir = filepath.Join(e.Dir, "bare")
	alone.Instances = 1
	alone.WithoutOperatorFile = true
	alone.WithRelays = false
	if err := os.MkdirAll(alone.Dir, 0o700); err != nil {
		p.close()
		return nil, err
	}
	if p.unshared, err = testcluster.New(alone); err != nil {
		p.close()
		return nil, err
	}
	return p, nil
}

// play is one run of an experiment.
type play struct {
	Experiment
	cluster   *testcluster.Cluster
	unshared  *testcluster.Cluster // one instance without an operator's file
	takeovers []Takeover
	result    Result
}

func (p *play) close() {
	p.cluster.Close()
	if p.unshared != nil {
		p.unshared.Close()
	}
}

// settleTimeout returns the time within which every slot must have a holder.
func (p *play) settleTimeout() time.Duration { return 10*p.LeaseDuration + 10*time.Second }

func (p *play) run(ctx context.Context) error {
	if err := p.cluster.StartAll(); err != nil {
		return err
	}
	if err := p.cluster.WaitForAllSlotsLeased(ctx, p.settleTimeout()); err != nil {
		return err
	}
	if err := p.unshared.StartAll(); err != nil {
		return err
	}
	// Slots may change holders again, and targets get their first probes.
	time.Sleep(2*p.LeaseDuration + 2*p.ProbePeriod)
	p.measureCalm(ctx)
	startedAt := time.Now()
	if err := p.loseHolders(ctx); err != nil {
		return err
	}
	p.summarize(startedAt, time.Now())
	return nil
}

// logf reports progress. It ignores errors of the writer, which must not end the experiment.
func (p *play) logf(format string, values ...any) { _, _ = fmt.Fprintf(p.Progress, format, values...) }
