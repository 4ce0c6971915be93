// Package sharedconfigsim simulates instances that agree on versions of the shared configuration
// (internal/cluster/sharedconfig, with the real settings of internal/compatibility) while changes are proposed and
// faults are injected. It measures whether incompatible versions are ever in use at once, and how long it takes until
// all instances use a change.
package sharedconfigsim

import (
	"fmt"
	"math/rand/v2"
	"time"

	"tealpath/internal/cluster/lease"
	"tealpath/internal/compatibility"
	"tealpath/internal/experiment/simulation"
)

// Plan configures one run of the simulation.
type Plan struct {
	Instances     int
	Duration      time.Duration // simulated time from the start of the run to its end
	Seed          uint64
	LeaseDuration time.Duration
	RenewInterval time.Duration
	EventInterval time.Duration // mean time between two changes or faults
}

const (
	maxVoters     = 5    // the first instances are voters, up to this number
	maxClockDrift = 0.01 // largest relative error of a monotonic clock's rate
	slots         = 64
	purgeWindow   = second * 6  // ns; PurgeWindow in the first version of the settings
	second        = int64(1e9)  // one second in ns
	millisecond   = int64(1e6)  // one millisecond in ns
	wallClockMS   = int64(1e12) // ms since the Unix epoch that the wall clock shows at the start of the run

	observationsPerRenewal = 10
	firstEventAfterLeases  = 4 // time of the first event, in lease durations
	firstObservationLeases = 2 // time of the first observation, in lease durations
)

// networkLatency is the latency of messages: 1 ms to 11 ms.
var networkLatency = simulation.Latency{Min: millisecond, Jitter: 10 * millisecond}

// runState holds the simulated instances and network of one run, and the measurements so far.
type runState struct {
	plan      Plan
	random    *rand.Rand
	scheduler *simulation.Scheduler
	network   *simulation.Network
	instances []*simulatedInstance
	byName    map[string]*simulatedInstance
	hosts     []*simulation.Host // one host for each instance
	initial   []byte             // content of the first version of the configuration
	voters    []string
	measured  measurements
}

// Run starts all instances, proposes changes and injects faults until the end of the plan, and returns what it
// measured.
func (p Plan) Run() Result {
	run := newRun(p)
	for _, instance := range run.instances {
		instance.start()
	}
	leaseDuration := int64(p.LeaseDuration)
	run.scheduler.Repeat(firstObservationLeases*leaseDuration, run.observationInterval, run.observe)
	run.scheduler.Repeat(firstEventAfterLeases*leaseDuration, run.drawEventInterval, run.changeOrFault)
	run.scheduler.RunUntil(int64(p.Duration))
	return run.result()
}

func newRun(plan Plan) *runState {
	random := rand.New(rand.NewPCG(plan.Seed, uint64(plan.Instances)))
	run := &runState{
		plan:      plan,
		random:    random,
		scheduler: simulation.NewScheduler(0),
		network:   simulation.NewNetwork(random, networkLatency),
		byName:    map[string]*simulatedInstance{},
		measured:  newMeasurements(),
	}
	for i := range plan.Instances {
		instance := &simulatedInstance{
			run:   run,
			name:  fmt.Sprintf("n%03d", i),
			clock: simulation.NewClock(random, maxClockDrift),
		}
		run.instances = append(run.instances, instance)
		run.byName[instance.name] = instance
		run.hosts = append(run.hosts, &instance.host)
		if i < maxVoters {
			run.voters = append(run.voters, instance.name)
		}
	}
	run.initial = mustEncode(compatibility.Settings{
		Routers:       plan.Instances,
		Slots:         slots,
		LeaseDuration: int64(plan.LeaseDuration),
		MaxClockDrift: maxClockDrift,
		PurgeWindow:   purgeWindow,
		Voters:        lease.Voters{Epoch: 1, Current: run.voters},
	})
	return run
}

// mustEncode encodes settings. It panics if they are invalid, which settings of this package never are.
func mustEncode(settings compatibility.Settings) []byte {
	content, err := compatibility.Encode(settings)
	if err != nil {
		panic(err)
	}
	return content
}

func (s *runState) now() int64 { return s.scheduler.Now() }

// wallMS returns the time of the wall clock, which all instances share, in ms since the Unix epoch.
func (s *runState) wallMS() int64 { return wallClockMS + s.now()/millisecond }

func (s *runState) observationInterval() int64 {
	return int64(s.plan.RenewInterval) / observationsPerRenewal
}

func (s *runState) drawEventInterval() int64 {
	mean := int64(s.plan.EventInterval)
	return mean/2 + s.random.Int64N(mean)
}
