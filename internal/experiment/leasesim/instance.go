package leasesim

import (
	"fmt"

	"tealpath/internal/cluster"
	"tealpath/internal/cluster/lease"
	"tealpath/internal/cluster/membership"
	"tealpath/internal/cluster/probe"
	"tealpath/internal/experiment/simulation"
)

// simulatedInstance is one process over all its starts.
type simulatedInstance struct {
	run          *runState
	name         string
	index        int
	clock        simulation.Clock
	wallOffsetMS int64 // by which its wall clock is wrong
	host         simulation.Host
	node         *cluster.Node
	timerAt      int64 // of the node's timer
}

// start begins the next incarnation. One that was there before is killed, and what it held is held no more.
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
		panic(err) // the configuration is this package'run
	}
	i.node = node
	i.handle(0, cluster.TargetsUpdated{Targets: run.targets()})
}

// identity is the process as others know it.
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

// targets are the endpoints to probe.
func (s *runState) targets() []probe.Target {
	var targets []probe.Target
	for t := range s.plan.Targets {
		targets = append(targets, probe.Target{Name: fmt.Sprintf("t%03d", t), Address: "x", Capacity: 4})
	}
	return targets
}

// localTime is what the clock of the process shows.
func (i *simulatedInstance) localTime() int64 { return i.clock.Read(i.run.now()) }

// holds tells whether the process would act as holder of a slot at this moment. A paused one does nothing,
// but what it would do if it resumed now is what counts.
func (i *simulatedInstance) holds(slot int) bool {
	_, _, holds := i.node.Holds(i.localTime(), slot)
	return holds
}

// whenAwake runs an event of the process once it is not paused.
func (i *simulatedInstance) whenAwake(event func()) {
	run := i.run
	if i.host.Paused(run.now()) {
		run.scheduler.At(i.host.PausedUntil, func() { i.whenAwake(event) })
		return
	}
	event()
}

// handle gives an event to the node and carries its effects out.
func (i *simulatedInstance) handle(now int64, event cluster.Event) {
	for _, effect := range i.node.Handle(now, event) {
		switch effect := effect.(type) {
		case cluster.Send:
			i.send(effect)
		case cluster.SendProbe:
			i.run.probeSent(i, effect)
		case cluster.SetTimer:
			i.setTimer(effect)
		case cluster.Log:
			i.run.leasesChanged(i, effect.Event)
		}
	}
}

// send hands a message to the network. It also arrives where one of the two processes has been started anew.
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
			to.whenAwake(func() {
				if i.host.Reaches(&to.host) {
					to.handle(to.localTime(), received)
				}
			})
		})
	}
}

// setTimer schedules the node's timer. One that fires during a pause is lost; the next message has the node
// set it anew.
func (i *simulatedInstance) setTimer(effect cluster.SetTimer) {
	run := i.run
	i.timerAt = max(run.now()+1, i.clock.TimeAt(effect.At))
	incarnation := i.host.Incarnation
	run.scheduler.At(i.timerAt, func() {
		i.whenAwake(func() {
			if i.host.Incarnation != incarnation || i.timerAt != run.now() {
				return
			}
			wallMS := wallClockMS + i.wallOffsetMS + run.now()/1e6
			i.handle(i.localTime(), cluster.TimerFired{WallMS: wallMS})
		})
	})
}
