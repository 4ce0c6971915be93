package sharedconfigsim

import (
	"tealpath/internal/cluster/sharedconfig"
	"tealpath/internal/compatibility"
	"tealpath/internal/experiment/simulation"
)

// simulatedInstance is one router, which can be restarted. It holds the state of the current process.
type simulatedInstance struct {
	run     *runState
	name    string
	clock   simulation.Clock
	host    simulation.Host
	node    *sharedconfig.Node
	timerAt int64 // simulated time at which the node's timer fires; 0 is none
}

// start starts the next incarnation, which has no state except its configuration.
func (i *simulatedInstance) start() {
	run := i.run
	i.host.Start()
	i.clock.Restart(run.now())
	i.node = sharedconfig.New(0, sharedconfig.Config{
		Self:          i.name,
		Voters:        run.voters,
		LeaseDuration: int64(run.plan.LeaseDuration),
		RenewInterval: int64(run.plan.RenewInterval),
		MaxClockDrift: maxClockDrift,
		Incompatible:  compatibility.Incompatible,
		Initial:       run.initial,
		Incarnation:   run.random.Uint64(),
	})
	i.setTimer()
}

// localTime returns the reading of the process's monotonic clock.
func (i *simulatedInstance) localTime() int64 { return i.clock.Read(i.run.now()) }

// setTimer schedules the node's next tick.
func (i *simulatedInstance) setTimer() {
	run := i.run
	wait := i.clock.SimulatedDuration(i.node.Next(i.localTime()) - i.localTime())
	at := run.now() + max(millisecond, wait)
	i.timerAt = at
	incarnation := i.host.Incarnation
	run.scheduler.At(at, func() {
		switch {
		case i.ended(incarnation) || i.timerAt != at:
		case i.host.Paused(run.now()):
			i.timerAt = 0
			run.scheduler.At(i.host.PausedUntil, func() {
				if !i.ended(incarnation) {
					i.setTimer()
				}
			})
		default:
			i.node.Tick(i.localTime(), run.wallMS())
			i.applyEffects()
			i.setTimer()
		}
	})
}

// ended reports whether an incarnation no longer runs.
func (i *simulatedInstance) ended(incarnation int) bool {
	return i.host.Stopped || i.host.Incarnation != incarnation
}

// applyEffects carries out the effects that the node has produced.
func (i *simulatedInstance) applyEffects() {
	run := i.run
	for _, effect := range i.node.TakeEffects() {
		switch effect := effect.(type) {
		case sharedconfig.ProposalEnded:
			if effect.Reason == "" {
				run.measured.acceptedAt[effect.Number] = run.now()
			} else {
				run.measured.rejectedChanges++
			}
		case sharedconfig.Send:
			i.send(effect)
		}
	}
}

func (i *simulatedInstance) send(effect sharedconfig.Send) {
	run := i.run
	to := run.byName[effect.To]
	if lost := run.network.LosesNext(); lost || !i.host.Reaches(&to.host) {
		return
	}
	senderIncarnation, receiverIncarnation := i.host.Incarnation, to.host.Incarnation
	var deliver func()
	deliver = func() {
		switch {
		case to.ended(receiverIncarnation) || i.host.Incarnation != senderIncarnation || !i.host.Reaches(&to.host):
		case to.host.Paused(run.now()):
			run.scheduler.At(to.host.PausedUntil, deliver)
		default:
			to.receive(i.name, effect.Message)
		}
	}
	run.scheduler.After(run.network.Delay(), deliver)
}

func (i *simulatedInstance) receive(from string, message sharedconfig.Message) {
	i.node.Receive(i.localTime(), from, message)
	i.applyEffects()
	if next := i.node.Next(i.localTime()); next < i.localTime()+millisecond {
		i.setTimer()
	}
}
