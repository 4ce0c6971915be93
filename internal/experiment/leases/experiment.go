// Package leases measures how instances of the real router share leases: how fast other instances take over the slots
// of a lease holder that fails, whether a slot ever has two holders, and what instances cost without faults.
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

// Page is the design note whose bounds the results are checked against.
const Page = "docs/duties.md"

// Fault is the way in which a lease holder fails.
type Fault string

// Faults of a lease holder.
const (
	Kill      Fault = "SIGKILL"
	Terminate Fault = "SIGTERM"
	Freeze    Fault = "freeze" // SIGSTOP, until SIGCONT ends the fault
	Isolate   Fault = "cut"    // all its links are cut
	Delay     Fault = "delay"  // its links delay messages by more than a lease's duration
)

// faultCycle is the order in which faults are injected. It repeats.
var faultCycle = []Fault{Kill, Kill, Terminate, Freeze, Isolate, Delay}

// Experiment runs instances that share leases and injects faults into one instance after another.
type Experiment struct {
	testcluster.Config
	Faults       int // number of faults of any kind
	Seed         uint64
	ResultsDir   string
	IdleDuration time.Duration // how long instances run without faults at first, to measure what they cost
	Progress     io.Writer     // receives a line for each step
}

// Takeover describes the failure of one lease holder and the takeover of its slots.
type Takeover struct {
	Kill   int     `json:"kill"`
	Fault  Fault   `json:"how"`
	Victim string  `json:"victim"`
	Slots  int     `json:"slots"`
	GapMS  float64 `json:"gap_ms"` // time from the fault until each of the victim's slots had a new holder
}

// Result is the outcome of an experiment.
type Result struct {
	Kills    int     `json:"kills"`
	GapP50MS float64 `json:"gap_p50_ms"`
	GapP99MS float64 `json:"gap_p99_ms"`
	GapMaxMS float64 `json:"gap_max_ms"`
	Overlaps int     `json:"overlaps"` // health checks of a target by two holders within one period
	// StaleActions counts health checks with a lower ballot than an earlier one of the same target.
	StaleActions        int     `json:"stale_actions"`
	ProbesPerPeriod     float64 `json:"probes_per_target_per_period"`
	PeakWarmUpShare     float64 `json:"cold_budget_worst_share"` // largest share of warmUpBudget used by health checks
	IdleProbesPerPeriod float64 `json:"calm_probes_per_target_per_period"`
	UnsharedProbes      float64 `json:"undivided_probes_per_target_per_period"` // if every instance probed all targets
	KillGapMaxMS        float64 `json:"gap_sigkill_max_ms"`
	TerminateGapMaxMS   float64 `json:"gap_sigterm_max_ms"`
	FreezeGapMaxMS      float64 `json:"gap_freeze_max_ms"`
	IsolateGapMaxMS     float64 `json:"gap_cut_max_ms"`
	DelayGapMaxMS       float64 `json:"gap_delay_max_ms"`
	IdleCPUPercent      float64 `json:"idle_cpu_percent_of_a_core"`
	FramesPerSecond     float64 `json:"frames_per_second_an_instance"`
	ResidentKB          int64   `json:"resident_kb"`
	UnsharedCPUPercent  float64 `json:"cpu_percent_without_operator"` // of an instance that shares no leases
	UnsharedResidentKB  int64   `json:"resident_kb_without_operator"`
	GapBoundMS          float64 `json:"bound_ms"` // upper bound of GapP99MS
	BrokenBounds        string  `json:"bounds_broken,omitempty"`
	Probes              int     `json:"probes"` // health checks that caches received while faults were injected
	Seconds             float64 `json:"seconds"`
	TargetsNeverProbed  int     `json:"targets_never_probed"`
}

// CheckBounds returns a *report.BoundError that names the broken bounds, or nil if there are none.
func (r Result) CheckBounds() error {
	if r.BrokenBounds != "" {
		return &report.BoundError{Page: Page, Detail: r.BrokenBounds}
	}
	return nil
}

// Run runs the experiment, writes the result files and returns the result. The result is complete even if the error
// is a *report.BoundError.
func (e Experiment) Run(ctx context.Context) (Result, error) {
	r, err := e.newRun()
	if err != nil {
		return Result{}, err
	}
	defer r.close()
	if err := r.run(ctx); err != nil {
		return r.result, err
	}
	if err := r.report(); err != nil {
		return r.result, err
	}
	return r.result, r.result.CheckBounds()
}

// newRun creates the cluster and, for comparison, one instance without an operator's file.
func (e Experiment) newRun() (*experimentRun, error) {
	e.WithRelays = true
	r := &experimentRun{Experiment: e}
	cluster, err := testcluster.New(e.Config)
	if err != nil {
		return nil, err
	}
	r.cluster = cluster
	unsharedConfig := e.Config
	unsharedConfig.Dir = filepath.Join(e.Dir, "bare")
	unsharedConfig.Instances = 1
	unsharedConfig.WithoutOperatorFile = true
	unsharedConfig.WithRelays = false
	if err := os.MkdirAll(unsharedConfig.Dir, 0o700); err != nil {
		r.close()
		return nil, err
	}
	if r.unshared, err = testcluster.New(unsharedConfig); err != nil {
		r.close()
		return nil, err
	}
	return r, nil
}

// experimentRun holds the instances of one run, the takeovers so far and the result that is being computed.
type experimentRun struct {
	Experiment
	cluster   *testcluster.Cluster
	unshared  *testcluster.Cluster // one instance without an operator's file
	takeovers []Takeover
	result    Result
}

func (r *experimentRun) close() {
	r.cluster.Close()
	if r.unshared != nil {
		r.unshared.Close()
	}
}

// settleTimeout limits the wait until every slot has a holder.
func (r *experimentRun) settleTimeout() time.Duration { return 10*r.LeaseDuration + 10*time.Second }

func (r *experimentRun) run(ctx context.Context) error {
	if err := r.cluster.StartAll(); err != nil {
		return err
	}
	if err := r.cluster.WaitForAllSlotsLeased(ctx, r.settleTimeout()); err != nil {
		return err
	}
	if err := r.unshared.StartAll(); err != nil {
		return err
	}
	// Slots change holders once more after the start, and targets receive their first health checks. Neither must
	// count as idle cost.
	time.Sleep(2*r.LeaseDuration + 2*r.ProbePeriod)
	r.measureIdleCost(ctx)
	startedAt := time.Now()
	if err := r.injectFaults(ctx); err != nil {
		return err
	}
	r.summarize(startedAt, time.Now())
	return nil
}

// logf reports progress. It ignores write errors, which must not end the experiment.
func (r *experimentRun) logf(format string, values ...any) {
	_, _ = fmt.Fprintf(r.Progress, format, values...)
}
