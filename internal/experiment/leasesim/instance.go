package leasesim

import (
	"fmt"

	"tealpath/internal/cluster"
	"tealpath/internal/cluster/lease"
	"tealpath/internal/cluster/membership"
	"tealpath/internal/cluster/probe"
	"tealpath/internal/experiment/simulation"
)

// simulatedInstance is one router, which can be restarted. It holds the state of the current process.
type simulatedInstance struct {
	run          *runState
	name         string
	index        int
	clock        simulation.Clock
	wallOffsetMS int64 // ms by which its wall clock is ahead of the right time; negative if behind
	host         simulation.Host
	node         *cluster.Node
	timerAt      int64 // simulated time in ns at which the node's timer fires; 0: not set
}

// start starts the next incarnation. A previous incarnation ends without notice, and the leases that it held count as
// released.
func (i *simulatedInstance) start() {
	run := i.run
	if i.node != nil {
		run.releaseAll(i.index)
	}
	i.host.Start()
	i.clock.Restart(run.now())
	i.timerAt = 0
	node, err := cluster.New(0, i.config())
	if err != nil {
		panic(err) // this package generates the configuration
	}
	i.node = node
	i.handle(0, cluster.TargetsUpdated{Targets: run.targets()})
}

// identity returns the name and incarnation by which other instances know the process.
func (i *simulatedInstance) identity() lease.Instance {
	return lease.Instance{Name: i.name, Incarnation: uint64(i.host.Incarnation)}
}

func (i *simulatedInstance) address() string { return i.name + ":1" }

func (i *simulatedInstance) config() cluster.Config {
	run := i.run
	var contacts []membership.Contact
	for _, other := range run.instances {
		contacts = append(contacts, membership.Contact{Name: other.name, Address: other.address(), Weight: 1})
	}
	coldLimit := probe.ColdLimit{
		Share:          0.16,
		Factor:         2.5,
		Window:         1500e6,
		WarmUpDuration: 17e9,
	}
	return cluster.Config{
		Self:     i.identity(),
		Address:  i.address(),
		Weight:   1,
		Contacts: contacts,
		Seed:     run.random.Uint64(),
		Lease: lease.Config{
			Slots:         run.plan.Slots,
			LeaseDuration: int64(run.plan.LeaseDuration),
			RenewInterval: int64(run.plan.RenewInterval),
			MaxClockDrift: maxClockDrift,
			Voters:        run.voters(),
		},
		Probe: &probe.Config{
			Period:   probePeriod,
			Timeout:  probeTimeout,
			ColdPart: 0.05,
			Cost:     0.001,
			Cache:    coldLimit,
			Parent:   coldLimit,
		},
	}
}

// targets returns the simulated endpoints, which are probed by name: no address is dialled.
func (s *runState) targets() []probe.Target {
	var targets []probe.Target
	for t := range s.plan.Targets {
		targets = append(targets, probe.Target{Name: fmt.Sprintf("t%03d", t), Address: "x", Capacity: 4})
	}
	return targets
}

// localTime returns the reading of the process's monotonic clock.
func (i *simulatedInstance) localTime() int64 { return i.clock.Read(i.run.now()) }

// holds reports whether the process would act as holder of a slot at this moment. A paused process does nothing,
// but it counts as the holder if it would act as the holder when resumed now.
func (i *simulatedInstance) holds(slot int) bool {
	_, _, holds := i.node.Holds(i.localTime(), slot)
	return holds
}

// runWhenResumed runs an event of the process now, or when its pause ends.
func (i *simulatedInstance) runWhenResumed(event func()) {
	run := i.run
	if i.host.Paused(run.now()) {
		run.scheduler.At(i.host.PausedUntil, func() { i.runWhenResumed(event) })
		return
	}
	event()
}

// handle passes an event to the node and carries out the resulting effects.
func (i *simulatedInstance) handle(now int64, event cluster.Event) {
	for _, effect := range i.node.Handle(now, event) {
		switch effect := effect.(type) {
		case cluster.Send:
			i.send(effect)
		case cluster.SendProbe:
			i.run.recordProbe(i, effect)
		case cluster.SetTimer:
			i.setTimer(effect)
		case cluster.Log:
			i.run.recordLeaseEvent(i, effect.Event)
		}
	}
}

// send passes a message to the simulated network. The message also arrives if the sender or the receiver is restarted
// in the meantime.
func (i *simulatedInstance) send(effect cluster.Send) {
	run := i.run
	run.result.Messages++
	index, known := run.indexes[effect.To]
	if !known || run.network.LosesNext() {
		return
	}
	to := run.instances[index]
	received := cluster.MessageReceived{From: i.identity(), Message: effect.Message}
	copies := 1 + run.random.IntN(duplicateOneIn)/(duplicateOneIn-1)
	for range copies {
		run.scheduler.After(run.network.Delay(), func() {
			to.runWhenResumed(func() {
				if i.host.Reaches(&to.host) {
					to.handle(to.localTime(), received)
				}
			})
		})
	}
}

// setTimer schedules the node's timer. A timer that fires during a pause is lost; the next message makes the node set
// it again.
func (i *simulatedInstance) setTimer(effect cluster.SetTimer) {
	run := i.run
	i.timerAt = max(run.now()+1, i.clock.TimeAt(effect.At))
	incarnation := i.host.Incarnation
	run.scheduler.At(i.timerAt, func() {
		i.runWhenResumed(func() {
			if i.host.Incarnation != incarnation || i.timerAt != run.now() {
				return
			}
			wallMS := wallClockMS + i.wallOffsetMS + run.now()/1e6
			i.handle(i.localTime(), cluster.TimerFired{WallMS: wallMS})
		})
	})
}
