package membershipsim

import (
	"tealpath/internal/experiment/membership"
	"tealpath/internal/experiment/simulation"
)

// Fault is a fault of instances or of the network. Most faults also exist in the experiment with real processes.
type Fault = membership.Fault

// Faults of instances and of the network.
const (
	FaultKill          = membership.Kill       // an instance is killed and starts again after restartDelay
	FaultPause         = membership.Pause      // an instance is suspended for up to 30 s
	FaultLoss          = Fault("loss")         // a fifth of all messages are lost
	FaultOneWayLink    = membership.CutOneLink // all messages from one instance to another are lost
	FaultInboundLost   = membership.CutInward  // all messages to an instance are lost
	FaultOutboundLost  = membership.CutOutward // all messages from an instance are lost
	FaultPartition     = membership.Partition  // the network is split into two partitions
	FaultFlapping      = membership.Flapping   // all messages from an instance are lost in every other second
	FaultLatency       = membership.LinkDelay  // the mean latency is half a second
	FaultDuplicateSend = Fault("twice")        // half of all messages arrive twice
)

// Faults lists all faults that a run can inject.
var Faults = []Fault{
	FaultKill,
	FaultPause,
	FaultLoss,
	FaultOneWayLink,
	FaultInboundLost,
	FaultOutboundLost,
	FaultPartition,
	FaultFlapping,
	FaultLatency,
	FaultDuplicateSend,
}

// FaultNames returns the names of all faults, in the order of Faults.
func FaultNames() []string {
	names := make([]string, len(Faults))
	for i, fault := range Faults {
		names[i] = string(fault)
	}
	return names
}

// Durations of faults and the times that members then have to agree again, both in ns, and the severity of faults.
const (
	second              = int64(1e9)
	restartDelay        = 20 * second
	networkFaultTime    = 10 * second
	oneWayFaultTime     = 8 * second
	maxOneWayDetection  = 5 * second // time until all others must believe an instance with a one-way fault dead
	settleTime          = 5 * second // time until all must agree again after most faults
	duplicateSettleTime = 2 * second
	flapCount           = 8
	flapSettleTime      = 6 * second
	maxUndetectedPause  = 3 * second / 2 // longest pause after which no member may believe the paused one dead

	lossDuringFault    = 0.2        // share of messages that are lost
	latencyDuringFault = second / 2 // mean latency of a message
	minoritySideOneIn  = 3          // every third member is on the smaller side of a partition
)

// pauses are the durations of pauses to draw from.
var pauses = []int64{second / 2, maxUndetectedPause, 5 * second, 30 * second}

// extendFaultPeriod records that a fault and its effects last at least for a duration from now.
func (s *runState) extendFaultPeriod(duration int64) {
	s.faultFreeFrom = max(s.faultFreeFrom, s.now()+duration)
}

// injectFault starts a random fault unless the previous one is still in effect. Faults never overlap, so that each
// measurement shows the effect of a single fault.
func (s *runState) injectFault() {
	if s.now() < s.faultFreeFrom {
		return
	}
	victim := s.members[s.random.IntN(len(s.members))]
	if !victim.healthy() {
		return
	}
	switch s.plan.Faults[s.random.IntN(len(s.plan.Faults))] {
	case FaultKill:
		s.kill(victim)
	case FaultPause:
		s.pause(victim)
	case FaultLoss:
		s.loseMessages()
	case FaultLatency:
		s.delayMessages()
	case FaultDuplicateSend:
		s.duplicateMessages()
	case FaultOneWayLink:
		s.cutOneWay(victim, s.members[s.random.IntN(len(s.members))])
	case FaultInboundLost:
		victim.host.InboundLost = true
		s.isolateOneWay(victim)
	case FaultOutboundLost:
		victim.host.OutboundLost = true
		s.isolateOneWay(victim)
	case FaultPartition:
		s.partition()
	case FaultFlapping:
		s.flap(victim)
	}
}

// kill kills a member, which starts again after restartDelay.
func (s *runState) kill(victim *simulatedMember) {
	s.measured.kills++
	victim.host.Stopped = true
	victim.host.Incarnation++
	victim.mayBeDeadUntil = s.now() + restartDelay + settleTime
	s.extendFaultPeriod(restartDelay + settleTime)
	s.awaitDetection(victim, restartDelay, s.measured.killDetected, s.measured.killMissed)
	s.scheduler.After(restartDelay, victim.start)
}

func (s *runState) pause(victim *simulatedMember) {
	duration := pauses[s.random.IntN(len(pauses))]
	s.measured.pauses++
	victim.host.PausedUntil = s.now() + duration
	if duration > maxUndetectedPause {
		victim.mayBeDeadUntil = victim.host.PausedUntil + settleTime
	}
	s.extendFaultPeriod(duration + settleTime)
}

func (s *runState) loseMessages() {
	before := s.network.Loss
	s.network.Loss = lossDuringFault
	s.extendFaultPeriod(networkFaultTime + settleTime)
	s.scheduler.After(networkFaultTime, func() { s.network.Loss = before })
}

func (s *runState) delayMessages() {
	before := s.network.Latency
	s.network.Latency = simulation.LatencyAround(latencyDuringFault)
	s.extendFaultPeriod(networkFaultTime + settleTime)
	s.scheduler.After(networkFaultTime, func() { s.network.Latency = before })
}

func (s *runState) duplicateMessages() {
	s.duplicateSends = true
	s.extendFaultPeriod(networkFaultTime + duplicateSettleTime)
	s.scheduler.After(networkFaultTime, func() { s.duplicateSends = false })
}

func (s *runState) cutOneWay(from, to *simulatedMember) {
	s.cutLinks[directedPair{from.index, to.index}] = true
	s.extendFaultPeriod(networkFaultTime + settleTime)
	s.scheduler.After(networkFaultTime, func() { clear(s.cutLinks) })
}

// isolateOneWay continues a fault in which the victim can only send or only receive. It measures the time until all
// other members believe the victim dead, and ends the fault after oneWayFaultTime.
func (s *runState) isolateOneWay(victim *simulatedMember) {
	s.awaitDetection(victim, maxOneWayDetection, s.measured.oneWayDetected, s.measured.oneWayMissed)
	victim.mayBeDeadUntil = s.now() + networkFaultTime + settleTime
	s.extendFaultPeriod(networkFaultTime + settleTime)
	s.scheduler.After(oneWayFaultTime, func() {
		victim.host.InboundLost, victim.host.OutboundLost = false, false
	})
}

func (s *runState) partition() {
	for _, member := range s.members {
		if member.index%minoritySideOneIn == 0 {
			member.host.Partition = 1
		}
		member.mayBeDeadUntil = s.now() + networkFaultTime + settleTime
	}
	s.extendFaultPeriod(networkFaultTime + settleTime)
	s.scheduler.After(networkFaultTime, func() {
		for _, member := range s.members {
			member.host.Partition = 0
		}
	})
}

func (s *runState) flap(victim *simulatedMember) {
	for i := range int64(flapCount) {
		s.scheduler.After(i*second, func() { victim.host.OutboundLost = i%2 == 0 })
	}
	victim.mayBeDeadUntil = s.now() + flapCount*second + flapSettleTime
	s.extendFaultPeriod(flapCount*second + flapSettleTime)
}
