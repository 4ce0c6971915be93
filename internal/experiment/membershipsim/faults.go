package membershipsim

import (
	"tealpath/internal/experiment/membership"
	"tealpath/internal/experiment/simulation"
)

// Fault is a kind of fault of instances or the network. Besides faults of package membership there are FaultLoss and
// FaultDuplicateSend.
type Fault = membership.Fault

// Faults of instances and the network.
const (
	FaultKill          = membership.Kill       // an instance is killed, and starts again after a while
	FaultPause         = membership.Pause      // a process is stopped for up to 30 s
	FaultLoss          = Fault("loss")         // a fifth of all messages is lost
	FaultOneWayLink    = membership.CutOneLink // nothing arrives from one instance at another
	FaultInboundLost   = membership.CutInward  // an instance receives nothing
	FaultOutboundLost  = membership.CutOutward // nothing that an instance sends arrives
	FaultPartition     = membership.Partition  // the network is split in two
	FaultFlapping      = membership.Flapping   // nothing that an instance sends arrives, every other second
	FaultLatency       = membership.LinkDelay  // messages take half a second
	FaultDuplicateSend = Fault("twice")        // half of all messages arrive twice
)

// Faults lists all faults.
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

// FaultNames returns the names of all faults.
func FaultNames() []string {
	names := make([]string, len(Faults))
	for i, fault := range Faults {
		names[i] = string(fault)
	}
	return names
}

// Durations of faults, the times that members then have to agree again, all in ns, and the extent of faults.
const (
	second              = int64(1e9)
	restartDelay        = 20 * second
	networkFaultTime    = 10 * second
	oneWayFaultTime     = 8 * second
	maxOneWayDetection  = 5 * second // until all others must believe an instance with a one-way fault dead
	settleTime          = 5 * second // after the end of a fault
	duplicateSettleTime = 2 * second
	flaps               = 8
	flapSettleTime      = 6 * second
	longestShortPause   = 3 * second / 2 // during a longer pause others may believe the instance dead

	lossDuringFault    = 0.2
	latencyDuringFault = second / 2
	minoritySideOneIn  = 3
)

// pauses lists the possible durations of pauses, ns.
var pauses = []int64{second / 2, longestShortPause, 5 * second, 30 * second}

// faultLasts records that a fault or its effects last for a duration from now.
func (s *runState) faultLasts(duration int64) { s.calmFrom = max(s.calmFrom, s.now()+duration) }

// injectFault begins a random fault, unless the effects of the previous one still last. Each measurement is thus of a
// single fault.
func (s *runState) injectFault() {
	if s.now() < s.calmFrom {
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

// kill ends a member, which starts again later.
func (s *runState) kill(victim *simulatedMember) {
	s.measured.kills++
	victim.host.Stopped = true
	victim.host.Incarnation++
	victim.mayBeDeadUntil = s.now() + restartDelay + settleTime
	s.faultLasts(restartDelay + settleTime)
	s.awaitDetection(victim, restartDelay, s.measured.killDetected, s.measured.killMissed)
	s.scheduler.After(restartDelay, victim.start)
}

func (s *runState) pause(victim *simulatedMember) {
	duration := pauses[s.random.IntN(len(pauses))]
	s.measured.pauses++
	victim.host.PausedUntil = s.now() + duration
	if duration > longestShortPause {
		victim.mayBeDeadUntil = victim.host.PausedUntil + settleTime
	}
	s.faultLasts(duration + settleTime)
}

func (s *runState) loseMessages() {
	usual := s.network.Loss
	s.network.Loss = lossDuringFault
	s.faultLasts(networkFaultTime + settleTime)
	s.scheduler.After(networkFaultTime, func() { s.network.Loss = usual })
}

func (s *runState) delayMessages() {
	usual := s.network.Latency
	s.network.Latency = simulation.LatencyAround(latencyDuringFault)
	s.faultLasts(networkFaultTime + settleTime)
	s.scheduler.After(networkFaultTime, func() { s.network.Latency = usual })
}

func (s *runState) duplicateMessages() {
	s.duplicateSends = true
	s.faultLasts(networkFaultTime + duplicateSettleTime)
	s.scheduler.After(networkFaultTime, func() { s.duplicateSends = false })
}

func (s *runState) cutOneWay(from, to *simulatedMember) {
	s.cutLinks[directedPair{from.index, to.index}] = true
	s.faultLasts(networkFaultTime + settleTime)
	s.scheduler.After(networkFaultTime, func() { clear(s.cutLinks) })
}

// isolateOneWay measures how long it takes until all others believe a member dead that can only send or only receive.
func (s *runState) isolateOneWay(victim *simulatedMember) {
	s.awaitDetection(victim, maxOneWayDetection, s.measured.oneWayDetected, s.measured.oneWayMissed)
	victim.mayBeDeadUntil = s.now() + networkFaultTime + settleTime
	s.faultLasts(networkFaultTime + settleTime)
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
	s.faultLasts(networkFaultTime + settleTime)
	s.scheduler.After(networkFaultTime, func() {
		for _, member := range s.members {
			member.host.Partition = 0
		}
	})
}

func (s *runState) flap(victim *simulatedMember) {
	for i := range int64(flaps) {
		s.scheduler.After(i*second, func() { victim.host.OutboundLost = i%2 == 0 })
	}
	victim.mayBeDeadUntil = s.now() + flaps*second + flapSettleTime
	s.faultLasts(flaps*second + flapSettleTime)
}
