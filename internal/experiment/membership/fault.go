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

// Fault is a kind of fault of instances or of the links between them.
type Fault string

// Faults of instances and links.
const (
	Kill       Fault = "kill"    // an instance is killed and started again
	Pause      Fault = "pause"   // an instance is stopped for a while
	LinkDelay  Fault = "late"    // messages from and to an instance are delayed
	CutOneLink Fault = "oneway"  // nothing passes on the link that one instance opens to another
	CutInward  Fault = "deaf"    // nothing passes on links that others open to an instance
	CutOutward Fault = "mute"    // nothing passes on links that an instance opens
	Partition  Fault = "split"   // a third of the instances and the others cannot reach each other
	Flapping   Fault = "flap"    // the links that an instance opens are cut and healed in turn
	PauseMany  Fault = "many"    // a tenth of the instances are stopped at the same time
	Starve     Fault = "slow"    // an instance runs for a twentieth of the time
	RestartAll Fault = "rolling" // all instances are restarted in turn
)

// Faults returns all faults.
func Faults() []Fault {
	return []Fault{
		Kill, Pause, LinkDelay, CutOneLink, CutInward, CutOutward, Partition, Flapping, PauseMany, Starve, RestartAll,
	}
}

const (
	// maxUndetectedPause is the longest pause of an instance during which no other may consider it dead.
	maxUndetectedPause = 1500 * time.Millisecond

	pauseManyDuration = 5 * time.Second
	pauseManyPart     = 10 // one instance in ten is stopped
	delayDuration     = 5 * time.Second
	linkDelay         = 300 * time.Millisecond
	oneLinkDuration   = 8 * time.Second
	partitionDuration = 10 * time.Second
	partitionPart     = 3 // one instance in three is on the smaller side
	judgementDelay    = time.Second
	flaps             = 6
	flapDuration      = time.Second
	starveDuration    = 10 * time.Second
	starveStopped     = 95 * time.Millisecond
	starveRunning     = 5 * time.Millisecond
)

// pauses lists the durations of successive pauses. It is repeated.
var pauses = []time.Duration{500 * time.Millisecond, maxUndetectedPause, 5 * time.Second}

// FaultResult holds what was measured during one fault.
type FaultResult struct {
	Kind           Fault
	Victim         string
	DetectionMS    float64 `json:"MS"`    // until all others had detected it; 0 if they were not to detect it
	FalseDeaths    int     `json:"False"` // logged deaths of live instances
	DisagreementMS float64 `json:"AgreedMS"`
}

// injection is the state of one fault while it is injected.
type injection struct {
	*play
	victimIndex int
	victim      string
	others      []string // all but the victim
	startedAt   time.Time
	excluded    []string // deaths of these instances, and deaths that they log, do not count as false
	result      FaultResult
}

// injectFaults injects the faults in turn until the experiment's duration is over.
func (p *play) injectFaults(ctx context.Context) error {
	deadline := time.Now().Add(p.Duration)
	for i := 0; time.Now().Before(deadline) && ctx.Err() == nil; i++ {
		result, err := p.inject(ctx, p.Faults[i%len(p.Faults)])
		if err != nil {
			return err
		}
		if result.Kind == CutInward || result.Kind == CutOutward {
			p.result.JudgementMaxMS = max(p.result.JudgementMaxMS, result.DetectionMS)
		}
		p.result.FalseDeaths += result.FalseDeaths
		p.result.DisagreementMaxMS = max(p.result.DisagreementMaxMS, result.DisagreementMS)
		p.result.Faults = append(p.result.Faults, result)
	}
	return nil
}

// inject injects one fault, ends it, and waits until all instances agree again.
func (p *play) inject(ctx context.Context, fault Fault) (FaultResult, error) {
	index := p.random.IntN(len(p.cluster.Names))
	victim := p.cluster.Names[index]
	in := &injection{
		play:        p,
		victimIndex: index,
		victim:      victim,
		others:      slices.DeleteFunc(slices.Clone(p.cluster.Names), testcluster.Only(victim)),
		startedAt:   time.Now(),
		excluded:    []string{victim},
		result:      FaultResult{Kind: fault, Victim: victim},
	}
	if err := in.apply(fault); err != nil {
		return in.result, err
	}
	disagreement, err := p.cluster.WaitForAgreement(ctx, len(p.cluster.Names), agreementTimeout)
	if fault != Kill { // after a kill, the views differ because the victim starts again
		in.result.DisagreementMS = milliseconds(disagreement)
	}
	in.result.FalseDeaths = p.cluster.FalseDeaths(in.startedAt, in.excluded...)
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

// waitForDetection waits until all others have logged the victim's death, and increments undetected if they do not.
func (in *injection) waitForDetection(undetected *int) {
	took, ok := in.cluster.WaitForDetection(in.victim, in.others, in.startedAt, detectionTimeout)
	in.result.DetectionMS = milliseconds(took)
	if !ok {
		*undetected++
	}
}

func (in *injection) kill() error {
	in.play.result.Kills++
	err := in.cluster.Signal(in.victim, syscall.SIGKILL)
	in.waitForDetection(&in.play.result.UndetectedKills)
	return errors.Join(err, in.cluster.Start(in.victim))
}

func (in *injection) pause() error {
	in.play.result.Pauses++
	duration := pauses[in.play.result.Pauses%len(pauses)]
	if duration <= maxUndetectedPause {
		in.excluded = nil
	}
	return in.stopFor(duration, in.victim)
}

// pauseMany stops a tenth of the instances at once, for longer than the silence after which one counts as dead.
func (in *injection) pauseMany() error {
	var stopped []string
	for i, name := range in.cluster.Names {
		if i%pauseManyPart == in.victimIndex%pauseManyPart {
			stopped = append(stopped, name)
		}
	}
	in.excluded = stopped
	return in.stopFor(pauseManyDuration, stopped...)
}

// stopFor stops instances by SIGSTOP for a time.
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

// starve lets the victim run for a twentieth of the time.
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

// cutUntilDetected cuts links of the victim in one direction until all others consider it dead.
func (in *injection) cutUntilDetected(from, to testcluster.Side) {
	in.cluster.CutLinks(from, to)
	in.waitForDetection(&in.play.result.Unjudged)
	time.Sleep(judgementDelay)
	in.cluster.Heal()
}

func (in *injection) partition() {
	in.excluded = in.cluster.Names
	smaller := func(name string) bool { return slices.Index(in.cluster.Names, name)%partitionPart == 0 }
	in.cluster.CutLinks(smaller, testcluster.Not(smaller))
	in.cluster.CutLinks(testcluster.Not(smaller), smaller)
	time.Sleep(partitionDuration)
	in.cluster.Heal()
}

func (in *injection) flap() {
	for i := range flaps {
		isCut := i%2 == 0
		in.cluster.SetLinks(testcluster.Only(in.victim), testcluster.Any,
			relay.Conditions{CutForward: isCut, CutBackward: isCut})
		time.Sleep(flapDuration)
	}
}
