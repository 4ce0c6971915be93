// Package leasesim simulates instances that share slots by leases (internal/cluster/lease) and probe the endpoints of
// the slots that they hold, under faults and with clocks that drift. It checks that a slot never has two holders and
// that ballots only increase, and measures the share of time for which slots have a holder.
package leasesim

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"tealpath/internal/cluster/lease"
	"tealpath/internal/experiment/simulation"
)

// Plan describes one run of the simulation.
type Plan struct {
	Instances     int
	Slots         int
	Targets       int // endpoints to probe
	Hours         float64
	ClockSteps    bool // faults include wall clocks that are set forward or back by an hour
	Seed          uint64
	LeaseDuration time.Duration
	RenewInterval time.Duration
}

const (
	maxVoters         = 5
	maxClockDrift     = 0.01
	hour              = 3600e9             // ns
	wallClockMS       = int64(1.7e12)      // wall-clock time at the start of the run
	wallClockStepMS   = int64(3600 * 1000) // one hour
	probePeriod       = int64(1e9)         // ns
	probeTimeout      = int64(5e8)         // ns
	firstFaultLeases  = 4                  // lease durations from the start to the first fault
	maxFaultLeases    = 10                 // lease durations by which the time between two faults varies
	usualLatencyParts = 100                // the usual mean latency is a renewal interval divided by this
	duplicateOneIn    = 21                 // one message in 21 arrives twice
	nobody            = -1                 // in place of a holder: the slot has none
)

// runState is the state of one simulation.
type runState struct {
	plan        Plan
	random      *rand.Rand
	scheduler   *simulation.Scheduler
	network     *simulation.Network
	instances   []*simulatedInstance
	indexes     map[string]int // of instances by name
	hosts       []*simulation.Host
	holders     []int    // by slot: index of the holder, or nobody
	ballots     []uint64 // by slot: highest ballot of a holder so far
	lastProbes  map[string]sentProbe
	leasedSlots int
	leasedTime  float64 // ns, summed over slots
	result      Result
}

// sentProbe holds the time and the sender of the last probe of an endpoint.
type sentProbe struct {
	at    int64
	owner int // index of the sender
}

// Run simulates the plan. If the context is cancelled, the simulation stops at the next fault. There is a fault every
// few lease durations.
func (p Plan) Run(ctx context.Context) Result {
	run := newRun(p)
	for _, instance := range run.instances {
		instance.start()
	}
	run.scheduler.OnAdvance(func(elapsed int64) {
		run.leasedTime += float64(run.leasedSlots) * float64(elapsed)
	})
	run.scheduler.Repeat(firstFaultLeases*int64(p.LeaseDuration), run.drawFaultInterval, func() {
		if ctx.Err() != nil {
			run.scheduler.Stop()
			return
		}
		run.injectFault()
	})
	run.scheduler.RunUntil(int64(p.Hours * hour))
	elapsed := float64(run.now())
	run.result.LeasedShare = run.leasedTime / elapsed / float64(p.Slots)
	run.result.ExpectedProbes = float64(p.Targets) * elapsed / float64(probePeriod)
	run.result.Hours = elapsed / hour
	return run.result
}

func newRun(plan Plan) *runState {
	random := rand.New(rand.NewPCG(plan.Seed, uint64(plan.Instances)))
	run := &runState{
		plan:       plan,
		random:     random,
		scheduler:  simulation.NewScheduler(0),
		network:    simulation.NewNetwork(random, plan.usualLatency()),
		indexes:    map[string]int{},
		holders:    make([]int, plan.Slots),
		ballots:    make([]uint64, plan.Slots),
		lastProbes: map[string]sentProbe{},
		result:     Result{Instances: plan.Instances},
	}
	for slot := range run.holders {
		run.holders[slot] = nobody
	}
	for i := range plan.Instances {
		instance := &simulatedInstance{
			run:   run,
			name:  fmt.Sprintf("n%02d", i),
			index: i,
			clock: simulation.NewClock(random, maxClockDrift),
		}
		run.instances = append(run.instances, instance)
		run.indexes[instance.name] = i
		run.hosts = append(run.hosts, &instance.host)
	}
	return run
}

func (p Plan) usualLatency() simulation.Latency {
	return simulation.LatencyAround(int64(p.RenewInterval) / usualLatencyParts)
}

// voters returns the first instances, at most maxVoters, as voters.
func (s *runState) voters() lease.Voters {
	voters := lease.Voters{Epoch: 1}
	for _, instance := range s.instances[:min(maxVoters, len(s.instances))] {
		voters.Current = append(voters.Current, instance.name)
	}
	return voters
}

func (s *runState) now() int64 { return s.scheduler.Now() }

func (s *runState) drawFaultInterval() int64 {
	leaseDuration := int64(s.plan.LeaseDuration)
	return leaseDuration + s.random.Int64N(maxFaultLeases*leaseDuration)
}
