// Package membershipsim simulates many instances that monitor each other through internal/cluster/membership, or
// through its baseline (internal/experiment/heartbeatgossip), while one fault after another is injected. It measures
// how fast dead instances are detected, whether live ones are believed dead, how long views differ, and the cost in
// messages and connections.
package membershipsim

import (
	"fmt"
	"math/rand/v2"
	"time"

	"tealpath/internal/experiment/simulation"
)

// Plan configures one run of the simulation.
type Plan struct {
	Instances         int
	Duration          time.Duration // simulated time from the start of the run to its end
	Seed              uint64
	HeartbeatInterval time.Duration
	SilenceTimeout    time.Duration // silence until a neighbour is suspected; 0: the default; the baseline has none
	Loss              float64       // fraction of messages lost during the whole run
	Faults            []Fault
	FaultInterval     time.Duration // mean time between two faults; 0 injects none
	Baseline          bool          // run heartbeatgossip instead of membership
	StartSpread       time.Duration // time within which all instances start
}

const (
	meanLatency         = int64(2e6) // mean latency of a message, in ns
	settleIntervals     = 20         // heartbeat intervals after the start that do not count as fault-free
	firstFaultIntervals = 40         // heartbeat intervals after the start until the first fault
	minTimerDelay       = int64(1e6) // ns; shortest delay of a timer
)

// runState holds the simulated members and network of one run, the current faults and the measurements so far.
type runState struct {
	plan      Plan
	interval  int64 // ns between two heartbeats of a member
	random    *rand.Rand
	scheduler *simulation.Scheduler
	network   *simulation.Network
	members   []*simulatedMember
	byName    map[string]*simulatedMember

	cutLinks       map[directedPair]bool // directions in which messages are lost
	duplicateSends bool                  // half of all messages arrive twice
	faultFreeFrom  int64                 // ns; end of the latest fault and of its effects

	measured measurements
}

// directedPair is an ordered pair of members, by index.
type directedPair struct{ from, to int }

// Run starts all members within StartSpread, simulates them until the end of the plan, and returns what it measured.
func (p Plan) Run() Result {
	run := newRun(p)
	spread := int64(p.StartSpread)
	for _, member := range run.members {
		run.scheduler.After(run.random.Int64N(max(1, spread)), member.start)
	}
	run.faultFreeFrom = spread + settleIntervals*run.interval
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
		network:   simulation.NewNetwork(random, simulation.LatencyAround(meanLatency)),
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
