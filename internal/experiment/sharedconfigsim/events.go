package sharedconfigsim

import (
	"fmt"

	"tealpath/internal/compatibility"
	"tealpath/internal/experiment/simulation"
)

// Kinds of events. changeOrFault draws one of eventKinds numbers. Numbers below eventKill are changes of a setting, so
// that four events in ten are changes. Numbers above eventRestartAll do nothing.
const (
	eventKill       = 4
	eventPause      = 5
	eventPartition  = 6
	eventLoss       = 7
	eventRestartAll = 8
	eventKinds      = 10
)

// Durations and degrees of faults.
const (
	maxRestartSeconds = 10 // a killed instance starts again in less than this
	maxPauseSeconds   = 60 // a paused instance resumes in less than this
	partitionTime     = 6 * second
	lossTime          = 5 * second
	lossDuringFault   = 0.2 // share of messages that are lost
	restartAllOneIn   = 5   // on average, one eventRestartAll in five restarts the instances
)

// changeOrFault proposes a random change or starts a random fault.
func (s *runState) changeOrFault() {
	instance := s.instances[s.random.IntN(len(s.instances))]
	switch kind := s.random.IntN(eventKinds); {
	case kind < eventKill:
		s.propose(instance)
	case kind == eventKill:
		s.kill(instance)
	case kind == eventPause:
		instance.host.PausedUntil = s.now() + int64(s.random.IntN(maxPauseSeconds))*second
	case kind == eventPartition:
		s.partition()
	case kind == eventLoss:
		s.network.Loss = lossDuringFault
		s.scheduler.After(lossTime, func() { s.network.Loss = 0 })
	case kind == eventRestartAll:
		s.restartAll()
	}
}

// propose makes an instance propose the newest version that it knows with one setting changed.
func (s *runState) propose(instance *simulatedInstance) {
	if !instance.host.Running(s.now()) {
		return
	}
	settings, err := compatibility.Decode(instance.node.Newest().Content)
	if err != nil {
		panic(err) // this package proposes valid settings only
	}
	content := mustEncode(s.withRandomChange(settings))
	if instance.node.Propose(instance.localTime(), s.wallMS(), content) == nil {
		s.measured.changes++
		instance.applyEffects()
		instance.setTimer()
	}
}

func (s *runState) withRandomChange(settings compatibility.Settings) compatibility.Settings {
	switch s.random.IntN(4) {
	case 0:
		settings.Slots = 32 << s.random.IntN(3)
	case 1:
		settings.Routers = s.plan.Instances + s.random.IntN(50)
	case 2:
		settings.DrainedEndpoints = []string{fmt.Sprint("s-", s.random.IntN(9))}
	case 3:
		settings.PurgeWindow = int64(4+s.random.IntN(6)) * second
	}
	return settings
}

// kill kills an instance, which starts again later unless restartAll has started it before. Messages that it has sent
// still arrive until then.
func (s *runState) kill(victim *simulatedInstance) {
	victim.host.Stopped = true
	incarnation := victim.host.Incarnation
	s.scheduler.After(int64(s.random.IntN(maxRestartSeconds))*second, func() {
		if victim.host.Incarnation == incarnation {
			victim.start()
		}
	})
}

func (s *runState) partition() {
	simulation.SplitAtRandom(s.random, s.hosts)
	s.scheduler.After(partitionTime, func() { simulation.HealNetwork(s.hosts) })
}

// restartAll restarts all instances at once with probability 1/restartAllOneIn, and otherwise does nothing.
func (s *runState) restartAll() {
	if s.random.IntN(restartAllOneIn) != 0 {
		return
	}
	for _, instance := range s.instances {
		instance.start()
	}
}
