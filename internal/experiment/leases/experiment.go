// Package leases measures how instances of the real router share leases: how fast others take over the slots of
// a holder that is lost, whether a slot ever has two holders, and what instances cost that are left alone.
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

// Page is the design note whose bounds results are held against.
const Page = "docs/duties.md"

// Fault is the way in which a holder is lost.
type Fault string

// Faults of a holder.
const (
	Kill      Fault = "SIGKILL"
	Terminate Fault = "SIGTERM"
	Freeze    Fault = "freeze" // by SIGSTOP
	Isolate   Fault = "cut"    // its links are cut
	Delay     Fault = "delay"  // its links are slower than a lease is long
)

// faultCycle is the order in which holders are lost.
var faultCycle = []Fault{Kill, Kill, Terminate, Freeze, Isolate, Delay}

// Experiment has instances share leases and takes one after another away from them.
type Experiment struct {
	testcluster.Config
	Kills        int
	Seed         uint64
	ResultsDir   string
	CalmDuration time.Duration // for which instances are left alone at first
	Progress     io.Writer     // a line for each step
}

// Takeover is the loss of one holder, and what followed.
type Takeover struct {
	Kill   int     `json:"kill"`
	Fault  Fault   `json:"how"`
	Victim string  `json:"victim"`
	Slots  int     `json:"slots"`
	GapMS  float64 `json:"gap_ms"` // until the last of its slots had a new holder
}

// Result is what an experiment found.
type Result struct {
	Kills               int     `json:"kills"`
	GapP50MS            float64 `json:"gap_p50_ms"`
	GapP99MS            float64 `json:"gap_p99_ms"`
	GapMaxMS            float64 `json:"gap_max_ms"`
	Overlaps            int     `json:"overlaps"`      // of health checks of a target by different holders
	StaleActions        int     `json:"stale_actions"` // health checks under a ballot below one seen at the target
	ProbesPerPeriod     float64 `json:"probes_per_target_per_period"`
	PeakWarmUpBudget    float64 `json:"cold_budget_worst_share"`
	CalmProbesPerPeriod float64 `json:"calm_probes_per_target_per_period"`
	UnsharedProbes      float64 `json:"undivided_probes_per_target_per_period"` // if every instance probed
	KillGapMaxMS        float64 `json:"gap_sigkill_max_ms"`
	TerminateGapMaxMS   float64 `json:"gap_sigterm_max_ms"`
	FreezeGapMaxMS      float64 `json:"gap_freeze_max_ms"`
	IsolateGapMaxMS     float64 `json:"gap_cut_max_ms"`
	DelayGapMaxMS       float64 `json:"gap_delay_max_ms"`
	IdleCPUPercent      float64 `json:"idle_cpu_percent_of_a_core"`
	FramesPerSecond     float64 `json:"frames_per_second_an_instance"`
	ResidentKB          int64   `json:"resident_kb"`
	UnsharedCPUPercent  float64 `json:"cpu_percent_without_operator"` // of an instance that shares nothing
	UnsharedResidentKB  int64   `json:"resident_kb_without_operator"`
	MaxGapMS            float64 `json:"bound_ms"`
	BrokenBounds        string  `json:"bounds_broken,omitempty"`
	Probes              int     `json:"probes"` // while holders were taken away
	Seconds             float64 `json:"seconds"`
	TargetsNeverProbed  int     `json:"targets_never_probed"`
}

// CheckBounds returns a *report.BoundError where the result breaks a bound.
func (r Result) CheckBounds() error {
	if r.BrokenBounds != "" {
		return &report.BoundError{Page: Page, Detail: r.BrokenBounds}
	}
	return nil
}

// Run plays the experiment, writes its files and returns its result, also beside a *report.BoundError.
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

// plan makes the cluster, and beside it one instance that shares nothing, for comparison.
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

// settleTimeout bounds how long it takes until every slot has a holder.
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
	time.Sleep(2*p.LeaseDuration + 2*p.ProbePeriod) // slots change hands once more, and targets get their first probes
	p.measureCalm(ctx)
	startedAt := time.Now()
	if err := p.loseHolders(ctx); err != nil {
		return err
	}
	p.summarize(startedAt, time.Now())
	return nil
}

// logf reports progress. A writer that fails is no reason to end the experiment.
func (p *play) logf(format string, values ...any) { _, _ = fmt.Fprintf(p.Progress, format, values...) }
