// Package membership measures how instances of the real router watch each other: how fast they detect that one
// is dead, whether they consider a live one dead, and how long they disagree after a fault.
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

// Page is the design note with the bounds that results are checked against.
const Page = "docs/membership.md"

// Bounds of docs/membership.md, for the options that the experiment runs with.
const (
	MaxDetectionMS    = 3000.
	MaxJudgementMS    = 5000. // until an instance whose messages are lost in one direction is detected
	MaxDisagreementMS = 5000.
	MaxLinks          = 16 // of an instance, to those that it watches or is watched by

	operatorOptions = "(membership (interval 500ms) (silence 2100ms))"
	maxVoters       = 5

	formTimeout      = time.Minute
	agreementTimeout = 20 * time.Second
	detectionTimeout = 10 * time.Second

	// The measurement without faults starts after calmDelay, when the traffic of the startup has ended.
	calmDelay    = 3 * time.Second
	calmDuration = 6 * time.Second
)

// Experiment runs instances that watch each other, and injects faults.
type Experiment struct {
	testcluster.Config
	Faults     []Fault // injected in turn; empty: no faults
	Duration   time.Duration
	Seed       uint64
	ResultsDir string // empty: no files are written
}

// Result holds what an experiment measured.
type Result struct {
	Instances         int           `json:"instances"`
	Seconds           float64       `json:"seconds"`
	Kills             int           `json:"kills"`
	DetectionP50MS    float64       `json:"detect_p50_ms"` // from a kill until the last of the others detected it
	DetectionP99MS    float64       `json:"detect_p99_ms"`
	DetectionMaxMS    float64       `json:"detect_max_ms"`
	UndetectedKills   int           `json:"kills_not_believed_by_all"`
	FalseDeaths       int           `json:"false_deaths"`
	Pauses            int           `json:"pauses"`
	JudgementMaxMS    float64       `json:"oneway_judged_max_ms"`
	Unjudged          int           `json:"oneway_not_judged"`
	DisagreementMaxMS float64       `json:"disagree_max_ms"` // from the end of a fault until all have the same view
	BytesPerSecond    float64       `json:"bytes_per_member_per_s"`
	MaxLinks          int           `json:"links_per_member_max"`
	ViewChanges       float64       `json:"view_changes"`
	FormedMS          float64       `json:"formed_ms"`          // from the start until all consider all alive
	SlotsLeasedMS     float64       `json:"all_slots_owned_ms"` // from the start until all slots are leased
	IdleCPUShare      float64       `json:"cpu_share_idle"`     // of a core, mean of the instances
	ResidentKB        int64         `json:"resident_kb"`
	Faults            []FaultResult `json:"-"`
}

// CheckBounds returns a *report.BoundError if the result breaks a bound.
func (r Result) CheckBounds() error {
	// A voter may have an additional link to each instance that requests leases from it.
	maxLinks := MaxLinks + r.Instances
	hasTooManyLinks := r.Instances > 3*MaxLinks && r.MaxLinks > maxLinks
	broken := r.DetectionMaxMS > MaxDetectionMS ||
		r.UndetectedKills+r.FalseDeaths+r.Unjudged > 0 ||
		r.JudgementMaxMS > MaxJudgementMS ||
		r.DisagreementMaxMS > MaxDisagreementMS ||
		hasTooManyLinks
	if broken {
		return &report.BoundError{Page: Page}
	}
	return nil
}

// Run runs the experiment, writes its files and returns its result. The result is also valid if the error is a
// *report.BoundError.
func (e Experiment) Run(ctx context.Context) (Result, error) {
	p, err := e.plan()
	if err != nil {
		return Result{Instances: e.Instances}, err
	}
	defer p.cluster.Close()
	if err := p.run(ctx); err != nil {
		return p.result, err
	}
	if err := p.report(); err != nil {
		return p.result, err
	}
	return p.result, p.result.CheckBounds()
}

// plan creates the cluster, with relays between the instances if a fault needs them.
func (e Experiment) plan() (*play, error) {
	e.ClusterOptions = operatorOptions
	e.Voters = min(maxVoters, e.Instances)
	e.Caches = 1
	for _, fault := range e.Faults {
		if !slices.Contains(Faults(), fault) {
			return nil, fmt.Errorf("unknown fault %q: must be one of %s", fault, FaultNames())
		}
		e.WithRelays = e.WithRelays || fault != Kill && fault != Pause
	}
	cluster, err := testcluster.New(e.Config)
	if err != nil {
		return nil, err
	}
	return &play{
		Experiment: e,
		cluster:    cluster,
		random:     rand.New(rand.NewPCG(e.Seed, uint64(e.Instances))),
		result:     Result{Instances: e.Instances},
	}, nil
}

// FaultNames returns the names of all faults, separated by commas.
func FaultNames() string {
	var names []string
	for _, fault := range Faults() {
		names = append(names, string(fault))
	}
	return strings.Join(names, ", ")
}

// play is one run of an experiment.
type play struct {
	Experiment
	cluster *testcluster.Cluster
	random  *rand.Rand
	result  Result
}

func (p *play) run(ctx context.Context) error {
	startedAt := time.Now()
	if err := p.form(ctx, startedAt); err != nil {
		return err
	}
	if err := p.measureCalm(ctx); err != nil {
		return err
	}
	if len(p.Faults) == 0 {
		p.watchWithoutFaults(ctx)
	} else if err := p.injectFaults(ctx); err != nil {
		return err
	}
	p.summarizeDetections()
	p.result.Seconds = time.Since(startedAt).Seconds()
	return p.summarizeMembers(ctx)
}

// form starts the instances, and waits until all of them consider all alive and every slot has a holder.
func (p *play) form(ctx context.Context, startedAt time.Time) error {
	if err := p.cluster.StartAll(); err != nil {
		return err
	}
	if _, err := p.cluster.WaitForAgreement(ctx, p.Instances, formTimeout); err != nil {
		return err
	}
	p.result.FormedMS = milliseconds(time.Since(startedAt))
	if err := p.cluster.WaitForAllSlotsLeased(ctx, formTimeout); err != nil {
		return err
	}
	p.result.SlotsLeasedMS = milliseconds(time.Since(startedAt))
	return nil
}

// measureCalm measures the traffic and processor time of instances that only watch each other.
func (p *play) measureCalm(ctx context.Context) error {
	time.Sleep(calmDelay)
	bytesBefore, cpuBefore, err := p.usage(ctx)
	if err != nil {
		return err
	}
	startedAt := time.Now()
	time.Sleep(calmDuration)
	bytes, cpu, err := p.usage(ctx)
	if err != nil {
		return err
	}
	instanceSeconds := time.Since(startedAt).Seconds() * float64(p.Instances)
	p.result.BytesPerSecond = float64(bytes-bytesBefore) / instanceSeconds
	p.result.IdleCPUShare = (cpu - cpuBefore) / instanceSeconds
	return nil
}

// usage returns the bytes that all instances have sent to each other and the processor time that they have used. It
// also updates the result's ResidentKB.
func (p *play) usage(ctx context.Context) (bytes int64, cpuSeconds float64, err error) {
	for _, name := range p.cluster.Names {
		status, err := p.cluster.MembersStatus(ctx, name)
		if err != nil {
			return 0, 0, err
		}
		pid := p.cluster.PID(name)
		bytes += status.BytesSent
		cpuSeconds += testcluster.CPUSeconds(pid)
		p.result.ResidentKB = max(p.result.ResidentKB, testcluster.ResidentKB(pid))
	}
	return bytes, cpuSeconds, nil
}

// watchWithoutFaults lets the instances run for the experiment's duration, and counts the deaths that they log.
func (p *play) watchWithoutFaults(ctx context.Context) {
	startedAt := time.Now()
	select {
	case <-time.After(p.Duration):
	case <-ctx.Done():
	}
	p.result.FalseDeaths = p.cluster.FalseDeaths(startedAt)
}

func (p *play) summarizeDetections() {
	var detections []float64
	for _, fault := range p.result.Faults {
		if fault.Kind == Kill && fault.DetectionMS > 0 {
			detections = append(detections, fault.DetectionMS)
		}
	}
	slices.Sort(detections)
	p.result.DetectionP50MS = report.Percentile(detections, 50)
	p.result.DetectionP99MS = report.Percentile(detections, 99)
	p.result.DetectionMaxMS = report.Percentile(detections, 100)
}

func (p *play) summarizeMembers(ctx context.Context) error {
	for _, name := range p.cluster.Names {
		status, err := p.cluster.MembersStatus(ctx, name)
		if err != nil {
			return err
		}
		p.result.MaxLinks = max(p.result.MaxLinks, status.Links)
		p.result.ViewChanges += float64(status.View) / float64(p.Instances)
	}
	return nil
}

// report writes the results of all faults as JSON.
func (p *play) report() error {
	if p.ResultsDir == "" {
		return nil
	}
	return report.WriteJSON(filepath.Join(p.ResultsDir, "members.json"), p.result.Faults)
}

func milliseconds(duration time.Duration) float64 {
	return float64(duration) / float64(time.Millisecond)
}
