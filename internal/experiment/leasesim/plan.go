// Package leasesim simulates instances that share slots by means of leases (internal/cluster/lease) and probe the
// endpoints of the slots that they hold, under faults and with clocks that drift. It checks that a slot never has two
// holders and that ballots only grow, and measures the share of time for which slots have a holder.
package leasesim

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"tealpath/internal/cluster/lease"
	"tealpath/internal/experiment/simulation"
)

// Plan configures one run of the simulation.
type Plan struct {
	Instances     int
	Slots         int
	Targets       int     // number of endpoints to probe
	Hours         float64 // simulated time in hours
	ClockSteps    bool    // faults include setting a wall clock back or forward by an hour
	Seed          uint64
	LeaseDuration time.Duration
	RenewInterval time.Duration
}

const (
	maxVoters         = 5                  // the first instances are voters, up to this number
	maxClockDrift     = 0.01               // largest relative error of a monotonic clock's rate
	hour              = 3600e9             // length of an hour in ns
	wallClockMS       = int64(1.7e12)      // reading of a right wall clock at the start, in ms since the Unix epoch
	wallClockStepMS   = int64(3600 * 1000) // one hour in ms
	probePeriod       = int64(1e9)         // ns between two probes of an endpoint
	probeTimeout      = int64(5e8)         // ns that an instance waits for the response to a probe
	firstFaultLeases  = 4                  // time of the first fault, in lease durations
	faultJitterLeases = 10                 // random part of the interval between faults, in lease durations
	latencyDivisor    = 100                // a renewal interval divided by this is the normal mean latency
	duplicateOneIn    = 21                 // on average, one message in 21 is delivered twice
	noHolder          = -1                 // in runState.holders: the slot has no holder
)

// runState holds the simulated instances and network of one run, the current holders of slots and the counts so far.
type runState struct {
	plan        Plan
	random      *rand.Rand
	scheduler   *simulation.Scheduler
	network     *simulation.Network
	instances   []*simulatedInstance
	indexes     map[string]int // indexes of instances, by name
	hosts       []*simulation.Host
	holders     []int                // by slot: index of the holder, or noHolder
	ballots     []uint64             // by slot: highest ballot so far
	lastProbes  map[string]sentProbe // last probe of each endpoint, by its name
	leasedSlots int                  // slots that have a holder
	leasedTime  float64              // ns in which a slot had a holder, summed over all slots
	result      Result
}

// sentProbe records when an endpoint was last probed, and by which instance.
type sentProbe struct {
	at     int64 // simulated time in ns
	holder int   // index of the instance
}

// Run simulates the plan until its end, or until the first fault after the context has ended. Faults are one to
// eleven lease durations apart.
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
		network:    simulation.NewNetwork(random, plan.normalLatency()),
		indexes:    map[string]int{},
		holders:    make([]int, plan.Slots),
		ballots:    make([]uint64, plan.Slots),
		lastProbes: map[string]sentProbe{},
		result:     Result{Instances: plan.Instances},
	}
	for slot := range run.holders {
		run.holders[slot] = noHolder
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

func (p Plan) normalLatency() simulation.Latency {
	return simulation.LatencyAround(int64(p.RenewInterval) / latencyDivisor)
}

// voters returns the first instances, at most maxVoters, as the voters of epoch 1.
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
	return leaseDuration + s.random.Int64N(faultJitterLeases*leaseDuration)
}
