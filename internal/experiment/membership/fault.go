package membership

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"syscall"
	"time"

	"tealpath/internal/emulator/relay"
	"tealpath/internal/experiment/testcluster"
)

// Fault is a fault of instances or of the links between them.
type Fault string

// Faults of instances and links.
const (
	Kill       Fault = "kill"    // an instance is killed and started again
	Pause      Fault = "pause"   // an instance is stopped for a while
	LinkDelay  Fault = "late"    // all messages from and to an instance are delayed
	CutOneLink Fault = "oneway"  // links that one instance opens to another are cut
	CutInward  Fault = "deaf"    // links that others open to an instance are cut
	CutOutward Fault = "mute"    // links that an instance opens to others are cut
	Partition  Fault = "split"   // links between a third of the instances and the others are cut
	Flapping   Fault = "flap"    // links that an instance opens are repeatedly cut and healed
	PauseMany  Fault = "many"    // a tenth of the instances is stopped at once
	Starve     Fault = "slow"    // an instance runs for a twentieth of the time
	RestartAll Fault = "rolling" // all instances are restarted in turn
)

// Faults returns all faults that an Experiment can inject.
func Faults() []Fault {
	return []Fault{
		Kill, Pause, LinkDelay, CutOneLink, CutInward, CutOutward, Partition, Flapping, PauseMany, Starve, RestartAll,
	}
}

const (
	// maxUndetectedPause is the longest pause after which no other instance may believe the paused one dead.
	maxUndetectedPause = 1500 * time.Millisecond

	pauseManyDuration = 5 * time.Second
	pauseManyOneIn    = 10 // every tenth instance is stopped
	delayDuration     = 5 * time.Second
	linkDelay         = 300 * time.Millisecond
	oneLinkDuration   = 8 * time.Second
	partitionDuration = 10 * time.Second
	partitionOneIn    = 3           // every third instance is on the smaller side
	healDelay         = time.Second // time from the detection of a one-way fault until its links heal
	flapCount         = 6
	flapDuration      = time.Second
	starveDuration    = 10 * time.Second
	starveStopped     = 95 * time.Millisecond
	starveRunning     = 5 * time.Millisecond
)

// pauses lists how long a Pause stops its victim. Successive faults of this kind take the durations in turn.
var pauses = []time.Duration{500 * time.Millisecond, maxUndetectedPause, 5 * time.Second}

// FaultResult is the outcome of one fault.
type FaultResult struct {
	Kind           Fault
	Victim         string
	DetectionMS    float64 `json:"MS"`       // time until all others detected it; 0 if they did not or need not
	FalseDeaths    int     `json:"False"`    // logged deaths of instances that were alive
	DisagreementMS float64 `json:"AgreedMS"` // time from the end of the fault until all have the same view
}

// injection is the state of one fault while it is injected.
type injection struct {
	*experimentRun
	victimIndex int
	victim      string
	others      []string // names of all instances but the victim
	startedAt   time.Time
	excluded    []string // deaths of these instances, and deaths that they log, do not count as false
	result      FaultResult
}

// injectFaults injects faults in turn until the experiment's duration has passed.
func (r *experimentRun) injectFaults(ctx context.Context) error {
	deadline := time.Now().Add(r.Duration)
	for i := 0; time.Now().Before(deadline) && ctx.Err() == nil; i++ {
		result, err := r.inject(ctx, r.Faults[i%len(r.Faults)])
		if err != nil {
			return err
		}
		if result.Kind == CutInward || result.Kind == CutOutward {
			r.result.OneWayDetectionMaxMS = max(r.result.OneWayDetectionMaxMS, result.DetectionMS)
		}
		r.result.FalseDeaths += result.FalseDeaths
		r.result.DisagreementMaxMS = max(r.result.DisagreementMaxMS, result.DisagreementMS)
		r.result.Faults = append(r.result.Faults, result)
	}
	return nil
}

// inject injects one fault, ends it, and waits until all instances agree again.
func (r *experimentRun) inject(ctx context.Context, fault Fault) (FaultResult, error) {
	index := r.random.IntN(len(r.cluster.Names))
	victim := r.cluster.Names[index]
	in := &injection{
		experimentRun: r,
		victimIndex:   index,
		victim:        victim,
		others:        slices.DeleteFunc(slices.Clone(r.cluster.Names), testcluster.Only(victim)),
		startedAt:     time.Now(),
		excluded:      []string{victim},
		result:        FaultResult{Kind: fault, Victim: victim},
	}
	if err := in.apply(fault); err != nil {
		return in.result, err
	}
	disagreement, err := r.cluster.WaitForAgreement(ctx, len(r.cluster.Names), agreementTimeout)
	if fault != Kill { // after a kill, instances agree only once the victim has started again
		in.result.DisagreementMS = milliseconds(disagreement)
	}
	in.result.FalseDeaths = r.cluster.FalseDeaths(in.startedAt, in.excluded...)
	if err != nil {
		return in.result, fmt.Errorf("after %s of %s: %w", fault, victim, err)
	}
	return in.result, nil
}

// apply injects a fault and ends it.
func (in *injection) apply(fault Fault) error {
	switch fault {
	case Kill:
		return in.kill()
	case Pause:
		return in.pause()
	case PauseMany:
		return in.pauseMany()
	case Starve:
		return in.starve()
	case RestartAll:
		return in.restartAll()
	case LinkDelay:
		in.delayLinks()
	case CutOneLink:
		in.cutOneLink()
	case CutInward:
		in.cutUntilDetected(testcluster.Any, testcluster.Only(in.victim))
	case CutOutward:
		in.cutUntilDetected(testcluster.Only(in.victim), testcluster.Any)
	case Partition:
		in.partition()
	case Flapping:
		in.flap()
	}
	return nil
}

// waitForDetection waits until all others have logged the victim's death. It increments undetected if they have not
// within detectionTimeout.
func (in *injection) waitForDetection(undetected *int) {
	took, ok := in.cluster.WaitForDetection(in.victim, in.others, in.startedAt, detectionTimeout)
	in.result.DetectionMS = milliseconds(took)
	if !ok {
		*undetected++
	}
}

func (in *injection) kill() error {
	in.experimentRun.result.Kills++
	err := in.cluster.Signal(in.victim, syscall.SIGKILL)
	in.waitForDetection(&in.experimentRun.result.UndetectedKills)
	return errors.Join(err, in.cluster.Start(in.victim))
}

func (in *injection) pause() error {
	in.experimentRun.result.Pauses++
	duration := pauses[in.experimentRun.result.Pauses%len(pauses)]
	if duration <= maxUndetectedPause {
		in.excluded = nil
	}
	return in.stopFor(duration, in.victim)
}

// pauseMany stops a tenth of the instances at once, for longer than the silence timeout.
func (in *injection) pauseMany() error {
	var stopped []string
	for i, name := range in.cluster.Names {
		if i%pauseManyOneIn == in.victimIndex%pauseManyOneIn {
			stopped = append(stopped, name)
		}
	}
	in.excluded = stopped
	return in.stopFor(pauseManyDuration, stopped...)
}

// stopFor stops instances by SIGSTOP for a duration.
func (in *injection) stopFor(duration time.Duration, names ...string) error {
	var err error
	for _, name := range names {
		err = errors.Join(err, in.cluster.Signal(name, syscall.SIGSTOP))
	}
	time.Sleep(duration)
	for _, name := range names {
		err = errors.Join(err, in.cluster.Signal(name, syscall.SIGCONT))
	}
	return err
}

// starve lets the victim run for a twentieth of the time during starveDuration.
func (in *injection) starve() error {
	in.excluded = nil
	deadline := time.Now().Add(starveDuration)
	for time.Now().Before(deadline) {
		if err := in.stopFor(starveStopped, in.victim); err != nil {
			return err
		}
		time.Sleep(starveRunning)
	}
	return nil
}

func (in *injection) restartAll() error {
	in.excluded = nil
	var err error
	for _, name := range in.cluster.Names {
		incarnation := in.cluster.Incarnation(name)
		err = errors.Join(err, in.cluster.Signal(name, syscall.SIGTERM))
		in.cluster.WaitForExit(name, incarnation)
		err = errors.Join(err, in.cluster.Start(name))
	}
	return err
}

func (in *injection) delayLinks() {
	in.excluded = nil
	in.cluster.Delay(in.victim, linkDelay)
	time.Sleep(delayDuration)
	in.cluster.Heal()
}

func (in *injection) cutOneLink() {
	in.excluded = nil
	other := in.others[in.random.IntN(len(in.others))]
	in.cluster.CutLinks(testcluster.Only(in.victim), testcluster.Only(other))
	time.Sleep(oneLinkDuration)
	in.cluster.Heal()
}

// cutUntilDetected cuts the victim's links in one direction until all others have detected its death.
func (in *injection) cutUntilDetected(from, to testcluster.Selector) {
	in.cluster.CutLinks(from, to)
	in.waitForDetection(&in.experimentRun.result.UndetectedOneWay)
	time.Sleep(healDelay)
	in.cluster.Heal()
}

func (in *injection) partition() {
	in.excluded = in.cluster.Names
	smaller := func(name string) bool { return slices.Index(in.cluster.Names, name)%partitionOneIn == 0 }
	in.cluster.CutLinks(smaller, testcluster.Not(smaller))
	in.cluster.CutLinks(testcluster.Not(smaller), smaller)
	time.Sleep(partitionDuration)
	in.cluster.Heal()
}

func (in *injection) flap() {
	for i := range flapCount {
		isCut := i%2 == 0
		in.cluster.SetLinks(testcluster.Only(in.victim), testcluster.Any,
			relay.Conditions{CutForward: isCut, CutBackward: isCut})
		time.Sleep(flapDuration)
	}
}
