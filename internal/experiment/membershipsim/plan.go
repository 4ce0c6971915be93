// Package membershipsim simulates many instances that watch each other by internal/cluster/membership, or
// by its baseline (internal/experiment/heartbeatgossip), while one fault after the other is at work. It
// measures how fast dead instances are detected, whether live ones are taken for dead, how long views
// differ, and what that costs.
package membershipsim

import (
	"fmt"
	"math/rand/v2"
	"time"

	"tealpath/internal/experiment/simulation"
)

// Plan is one run of the experiment.
type Plan struct {
	Instances         int
	Duration          time.Duration // simulated
	Seed              uint64
	HeartbeatInterval time.Duration
	SilenceTimeout    time.Duration // after which a silent neighbour is reported; the baseline has none
	Loss              float64       // part of all messages that is lost during the whole run
	Faults            []Fault
	FaultInterval     time.Duration // mean time between two faults; 0 is no fault at all
	Baseline          bool          // heartbeat gossip in place of membership
	StartSpread       time.Duration // all instances start within it
}

const (
	usualLatency        = int64(2e6) // mean time of a message on the network, ns
	settleIntervals     = 20         // heartbeat intervals after the start until the run counts as calm
	firstFaultIntervals = 40         // heartbeat intervals after the start until the first fault
	minTimerDelay       = int64(1e6) // ns; a timer is never set closer than this
)

// runState is the state of one simulation.
type runState struct {
	plan      Plan
	interval  int64 // between heartbeats, ns
	random    *rand.Rand
	scheduler *simulation.Scheduler
	network   *simulation.Network
	members   []*simulatedMember
	byName    map[string]*simulatedMember

	cutLinks       map[directedPair]bool // nothing sent from the first arrives at the second
	duplicateSends bool                  // half of all messages arrive twice
	calmFrom       int64                 // no fault is at work from then on

	measured measurements
}

// directedPair is two members by index, in one direction.
type directedPair struct{ from, to int }

// Run simulates the plan.
func (p Plan) Run() Result {
	run := newRun(p)
	spread := int64(p.StartSpread)
	for _, member := range run.members {
		run.scheduler.After(run.random.Int64N(max(1, spread)), member.start)
	}
	run.calmFrom = spread + settleIntervals*run.interval
	run.scheduler.Repeat(spread+run.interval, run.observationInterval, run.observe)
	if p.FaultInterval > 0 {
		run.scheduler.Repeat(spread+firstFaultIntervals*run.interval, run.drawFaultInterval, run.injectFault)
	}
	run.scheduler.RunUntil(int64(p.Duration))
	return run.result()
}

func newRun(plan Plan) *runState {
	random := rand.New(rand.NewPCG(plan.Seed, uint64(plan.Instances)))
	run := &runState{
		plan:      plan,
		interval:  int64(plan.HeartbeatInterval),
		random:    random,
		scheduler: simulation.NewScheduler(0),
		network:   simulation.NewNetwork(random, simulation.LatencyAround(usualLatency)),
		byName:    map[string]*simulatedMember{},
		cutLinks:  map[directedPair]bool{},
		measured:  newMeasurements(),
	}
	run.network.Loss = plan.Loss
	for i := range plan.Instances {
		member := &simulatedMember{run: run, name: fmt.Sprintf("n%04d", i), index: i}
		run.members = append(run.members, member)
		run.byName[member.name] = member
	}
	return run
}

func (s *runState) now() int64 { return s.scheduler.Now() }

func (s *runState) observationInterval() int64 { return s.interval / 2 }

func (s *runState) drawFaultInterval() int64 {
	mean := int64(s.plan.FaultInterval)
	return mean/2 + s.random.Int64N(mean)
}
