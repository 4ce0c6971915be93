// Package membershipsim simulates many instances that watch each other by internal/cluster/membership, or by its
// baseline (internal/experiment/heartbeatgossip), while faults occur one at a time. It measures how fast dead
// instances are detected, whether live ones are believed dead, how long views differ, and the traffic.
package membershipsim

import (
	"fmt"
	"math/rand/v2"
	"time"

	"tealpath/internal/experiment/simulation"
)

// Plan describes one run of the simulation.
type Plan struct {
	Instances         int
	Duration          time.Duration // simulated
	Seed              uint64
	HeartbeatInterval time.Duration
	SilenceTimeout    time.Duration // after which a silent neighbour is reported; unused by the baseline
	Loss              float64       // share of all messages that are lost during the whole run
	Faults            []Fault
	FaultInterval     time.Duration // mean time between two faults; 0: no faults
	Baseline          bool          // heartbeatgossip runs in place of membership
	StartSpread       time.Duration // time within which all instances start
}

const (
	usualLatency        = int64(2e6) // mean latency of a message, ns
	settleIntervals     = 20         // heartbeat intervals after the start until the run counts as calm
	firstFaultIntervals = 40         // heartbeat intervals after the start until the first fault
	minTimerDelay       = int64(1e6) // ns; least time from setting a timer until it fires
)

// runState is the state of one simulation.
type runState struct {
	plan      Plan
	interval  int64 // between two heartbeats of a member, ns
	random    *rand.Rand
	scheduler *simulation.Scheduler
	network   *simulation.Network
	members   []*simulatedMember
	byName    map[string]*simulatedMember

	cutLinks       map[directedPair]bool // no message passes from the first member to the second
	duplicateSends bool                  // half of all messages arrive twice
	calmFrom       int64                 // time from which no fault or effect of one lasts

	measured measurements
}

// directedPair is an ordered pair of members, by index.
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
