package leasesim

import "tealpath/internal/experiment/simulation"

// Kinds of faults. injectFault draws one of these numbers.
const (
	faultKill            = iota // has two numbers, so it is drawn twice as often as the others
	faultKillAlternative        // same as faultKill
	faultKillMajority           // more than half of the instances at once
	faultPartition
	faultInboundLost
	faultLoss
	faultLatency // mean latency of up to one and a half lease durations
	faultPause
	faultClockStep
	faultHeal // ends all network faults
	faultKinds
)

// Limits of what injectFault draws.
const (
	maxLoss          = 0.3 // largest share of messages that are lost
	maxLatencyHalves = 3   // highest mean latency, in halves of a lease duration
	maxPauseLeases   = 4   // longest pause, in lease durations
)

// injectFault starts a random fault. With a probability of one half it then ends all network faults at once.
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
	case faultHeal:
		s.healNetwork()
	}
	if s.random.IntN(2) == 0 {
		s.healNetwork()
	}
}

// kill kills an instance, which starts again at once.
func (s *runState) kill(index int) {
	s.result.Kills++
	s.instances[index].start()
}

func (s *runState) healNetwork() {
	simulation.HealNetwork(s.hosts)
	s.network.Loss = 0
	s.network.Latency = s.plan.normalLatency()
}
