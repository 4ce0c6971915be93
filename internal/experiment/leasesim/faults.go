package leasesim

import "tealpath/internal/experiment/simulation"

// Kinds of faults, from which one is drawn with equal probability.
const (
	faultKill            = iota // with faultKillAlternative, a kill is twice as likely as other faults
	faultKillAlternative        // the same as faultKill
	faultKillMajority           // more than half of the instances, at the same time
	faultPartition
	faultInboundLost
	faultLoss
	faultLatency // up to one and a half lease durations on average
	faultPause
	faultClockStep
	faultsEnd // ends all network faults
	faultKinds
)

// Extent of the faults.
const (
	maxLoss          = 0.3 // share of all messages
	maxLatencyHalves = 3   // halves of a lease duration
	maxPauseLeases   = 4   // lease durations
)

// injectFault begins a random fault. With a probability of one half, all network faults then end.
func (s *runState) injectFault() {
	victim := s.instances[s.random.IntN(len(s.instances))]
	leaseDuration := int64(s.plan.LeaseDuration)
	switch s.random.IntN(faultKinds) {
	case faultKill, faultKillAlternative:
		s.kill(victim.index)
	case faultKillMajority:
		for offset := range len(s.instances)/2 + 1 {
			s.kill((victim.index + offset) % len(s.instances))
		}
	case faultPartition:
		s.result.Partitions++
		simulation.SplitAtRandom(s.random, s.hosts)
	case faultInboundLost:
		victim.host.InboundLost = true
	case faultLoss:
		s.network.Loss = maxLoss * s.random.Float64()
	case faultLatency:
		s.network.Latency = simulation.LatencyAround(leaseDuration * int64(1+s.random.IntN(maxLatencyHalves)) / 2)
	case faultPause:
		victim.host.PausedUntil = s.now() + s.random.Int64N(maxPauseLeases*leaseDuration)
	case faultClockStep:
		if s.plan.ClockSteps {
			victim.wallOffsetMS = []int64{-wallClockStepMS, wallClockStepMS}[s.random.IntN(2)]
		}
	case faultsEnd:
		s.healNetwork()
	}
	if s.random.IntN(2) == 0 {
		s.healNetwork()
	}
}

// kill ends an instance and starts it again at once.
func (s *runState) kill(index int) {
	s.result.Kills++
	s.instances[index].start()
}

func (s *runState) healNetwork() {
	simulation.HealNetwork(s.hosts)
	s.network.Loss = 0
	s.network.Latency = s.plan.usualLatency()
}
