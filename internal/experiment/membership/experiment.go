// Package membership measures how instances of the real router monitor each other: how fast they detect a dead
// instance, whether they believe a live one dead, and how long their views differ after a fault.
package membership

import (
	"context"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"tealpath/internal/experiment/report"
	"tealpath/internal/experiment/testcluster"
)

// Page is the design note whose bounds the results are checked against.
const Page = "docs/membership.md"

// Bounds of docs/membership.md, which apply to instances with operatorOptions, and durations of the experiment.
const (
	MaxDetectionMS       = 3000. // time until all others have detected a kill
	MaxOneWayDetectionMS = 5000. // time until all others have detected an instance with a one-way fault
	MaxDisagreementMS    = 5000. // time from the end of a fault until all instances have the same view
	MaxLinks             = 16    // links between an instance and those that it monitors or that monitor it

	operatorOptions = "(membership (interval 500ms) (silence 2100ms))"
	maxVoters       = 5

	formTimeout      = time.Minute
	agreementTimeout = 20 * time.Second
	detectionTimeout = 10 * time.Second

	// idleDelay is how long measureIdleCost waits for the traffic of the start to end. It then measures for
	// idleDuration.
	idleDelay    = 3 * time.Second
	idleDuration = 6 * time.Second
)

// Experiment runs instances that monitor each other, and injects faults.
type Experiment struct {
	testcluster.Config
	Faults     []Fault       // injected in turn; if empty, instances run without faults
	Duration   time.Duration // how long faults are injected, or how long instances run without faults
	Seed       uint64
	ResultsDir string // directory of the result file; empty writes none
}

// Result is the outcome of an experiment.
type Result struct {
	Instances            int           `json:"instances"`
	Seconds              float64       `json:"seconds"`
	Kills                int           `json:"kills"`
	DetectionP50MS       float64       `json:"detect_p50_ms"` // time from a kill until all others have detected it
	DetectionP99MS       float64       `json:"detect_p99_ms"`
	DetectionMaxMS       float64       `json:"detect_max_ms"`
	UndetectedKills      int           `json:"kills_not_believed_by_all"`
	FalseDeaths          int           `json:"false_deaths"` // logged deaths of instances that were alive
	Pauses               int           `json:"pauses"`
	OneWayDetectionMaxMS float64       `json:"oneway_judged_max_ms"` // time until all others detected a one-way fault
	UndetectedOneWay     int           `json:"oneway_not_judged"`
	DisagreementMaxMS    float64       `json:"disagree_max_ms"` // time from a fault's end until all have the same view
	BytesPerSecond       float64       `json:"bytes_per_member_per_s"`
	MaxLinks             int           `json:"links_per_member_max"`
	ViewChanges          float64       `json:"view_changes"`
	FormedMS             float64       `json:"formed_ms"`          // time until each believes all others alive
	SlotsLeasedMS        float64       `json:"all_slots_owned_ms"` // time from the start until all slots have a holder
	IdleCPUShare         float64       `json:"cpu_share_idle"`     // fraction of a core, mean over all instances
	ResidentKB           int64         `json:"resident_kb"`
	Faults               []FaultResult `json:"-"`
}

// CheckBounds returns a *report.BoundError if the result breaks a bound of docs/membership.md, otherwise nil.
func (r Result) CheckBounds() error {
	// A voter may have an additional link to each instance that asks it for leases.
	maxLinks := MaxLinks + r.Instances
	hasTooManyLinks := r.Instances > 3*MaxLinks && r.MaxLinks > maxLinks
	broken := r.DetectionMaxMS > MaxDetectionMS ||
		r.UndetectedKills+r.FalseDeaths+r.UndetectedOneWay > 0 ||
		r.OneWayDetectionMaxMS > MaxOneWayDetectionMS ||
		r.DisagreementMaxMS > MaxDisagreementMS ||
		hasTooManyLinks
	if broken {
		return &report.BoundError{Page: Page, Detail: fmt.Sprintf(
			"detection %.0f ms (at most %.0f), %d undetected kills, %d false deaths, "+
				"one-way detection %.0f ms (at most %.0f), %d undetected one-way faults, "+
				"disagreement %.0f ms (at most %.0f), %d links (at most %d with more than %d instances)",
			r.DetectionMaxMS, MaxDetectionMS, r.UndetectedKills, r.FalseDeaths,
			r.OneWayDetectionMaxMS, MaxOneWayDetectionMS, r.UndetectedOneWay,
			r.DisagreementMaxMS, MaxDisagreementMS, r.MaxLinks, maxLinks, 3*MaxLinks)}
	}
	return nil
}

// Run runs the experiment, writes the result file and returns the result. The result is complete even if the error
// is a *report.BoundError.
func (e Experiment) Run(ctx context.Context) (Result, error) {
	r, err := e.newRun()
	if err != nil {
		return Result{Instances: e.Instances}, err
	}
	defer r.cluster.Close()
	if err := r.run(ctx); err != nil {
		return r.result, err
	}
	if err := r.report(); err != nil {
		return r.result, err
	}
	return r.result, r.result.CheckBounds()
}

// newRun creates the cluster, with relays between instances if a fault needs them.
func (e Experiment) newRun() (*experimentRun, error) {
	e.ClusterOptions = operatorOptions
	e.Voters = min(maxVoters, e.Instances)
	e.Caches = 1
	for _, fault := range e.Faults {
		if !slices.Contains(Faults(), fault) {
			return nil, fmt.Errorf("unknown fault %q; faults are %s", fault, FaultNames())
		}
		e.WithRelays = e.WithRelays || fault != Kill && fault != Pause
	}
	cluster, err := testcluster.New(e.Config)
	if err != nil {
		return nil, err
	}
	return &experimentRun{
		Experiment: e,
		cluster:    cluster,
		random:     rand.New(rand.NewPCG(e.Seed, uint64(e.Instances))),
		result:     Result{Instances: e.Instances},
	}, nil
}

// FaultNames returns the names of all faults in the order of Faults, separated by commas.
func FaultNames() string {
	var names []string
	for _, fault := range Faults() {
		names = append(names, string(fault))
	}
	return strings.Join(names, ", ")
}

// experimentRun holds the instances of one run, its random numbers and what has been measured so far.
type experimentRun struct {
	Experiment
	cluster *testcluster.Cluster
	random  *rand.Rand
	result  Result
}

func (r *experimentRun) run(ctx context.Context) error {
	startedAt := time.Now()
	if err := r.formCluster(ctx, startedAt); err != nil {
		return err
	}
	if err := r.measureIdleCost(ctx); err != nil {
		return err
	}
	if len(r.Faults) == 0 {
		r.runWithoutFaults(ctx)
	} else if err := r.injectFaults(ctx); err != nil {
		return err
	}
	r.summarizeDetections()
	r.result.Seconds = time.Since(startedAt).Seconds()
	return r.summarizeMembers(ctx)
}

// formCluster starts the instances and waits until every instance believes all others alive and
// every slot has a holder.
func (r *experimentRun) formCluster(ctx context.Context, startedAt time.Time) error {
	if err := r.cluster.StartAll(); err != nil {
		return err
	}
	if _, err := r.cluster.WaitForAgreement(ctx, r.Instances, formTimeout); err != nil {
		return err
	}
	r.result.FormedMS = milliseconds(time.Since(startedAt))
	if err := r.cluster.WaitForAllSlotsLeased(ctx, formTimeout); err != nil {
		return err
	}
	r.result.SlotsLeasedMS = milliseconds(time.Since(startedAt))
	return nil
}

// measureIdleCost measures traffic and processor time of instances that only monitor each other and share leases.
func (r *experimentRun) measureIdleCost(ctx context.Context) error {
	time.Sleep(idleDelay)
	bytesBefore, cpuBefore, err := r.usage(ctx)
	if err != nil {
		return err
	}
	startedAt := time.Now()
	time.Sleep(idleDuration)
	bytes, cpu, err := r.usage(ctx)
	if err != nil {
		return err
	}
	instanceSeconds := time.Since(startedAt).Seconds() * float64(r.Instances)
	r.result.BytesPerSecond = float64(bytes-bytesBefore) / instanceSeconds
	r.result.IdleCPUShare = (cpu - cpuBefore) / instanceSeconds
	return nil
}

// usage returns the bytes that all instances have sent to each other and the processor time that they have used. It
// also records the largest resident memory of an instance.
func (r *experimentRun) usage(ctx context.Context) (bytes int64, cpuSeconds float64, err error) {
	for _, name := range r.cluster.Names {
		status, err := r.cluster.MembersStatus(ctx, name)
		if err != nil {
			return 0, 0, err
		}
		pid := r.cluster.PID(name)
		bytes += status.BytesSent
		cpuSeconds += testcluster.CPUSeconds(pid)
		r.result.ResidentKB = max(r.result.ResidentKB, testcluster.ResidentKB(pid))
	}
	return bytes, cpuSeconds, nil
}

// runWithoutFaults lets the instances run, and counts the deaths that they report.
func (r *experimentRun) runWithoutFaults(ctx context.Context) {
	startedAt := time.Now()
	select {
	case <-time.After(r.Duration):
	case <-ctx.Done():
	}
	r.result.FalseDeaths = r.cluster.FalseDeaths(startedAt)
}

func (r *experimentRun) summarizeDetections() {
	var detections []float64
	for _, fault := range r.result.Faults {
		if fault.Kind == Kill && fault.DetectionMS > 0 {
			detections = append(detections, fault.DetectionMS)
		}
	}
	slices.Sort(detections)
	r.result.DetectionP50MS = report.Percentile(detections, 50)
	r.result.DetectionP99MS = report.Percentile(detections, 99)
	r.result.DetectionMaxMS = report.Percentile(detections, 100)
}

func (r *experimentRun) summarizeMembers(ctx context.Context) error {
	for _, name := range r.cluster.Names {
		status, err := r.cluster.MembersStatus(ctx, name)
		if err != nil {
			return err
		}
		r.result.MaxLinks = max(r.result.MaxLinks, status.Links)
		r.result.ViewChanges += float64(status.View) / float64(r.Instances)
	}
	return nil
}

// report writes the result of each fault to members.json in ResultsDir. It writes nothing if ResultsDir is empty.
func (r *experimentRun) report() error {
	if r.ResultsDir == "" {
		return nil
	}
	return report.WriteJSON(filepath.Join(r.ResultsDir, "members.json"), r.result.Faults)
}

func milliseconds(duration time.Duration) float64 {
	return float64(duration) / float64(time.Millisecond)
}
