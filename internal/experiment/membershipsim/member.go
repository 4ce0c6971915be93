package membershipsim

import (
	"slices"

	"tealpath/internal/cluster/membership"
	"tealpath/internal/experiment/heartbeatgossip"
	"tealpath/internal/experiment/simulation"
)

// simulatedMember is one router, which can be restarted. It holds the state of the current process.
type simulatedMember struct {
	run      *runState
	name     string
	index    int
	host     simulation.Host
	protocol protocol // nil before the first start
	timerAt  int64    // simulated time at which the protocol's timer fires

	// mayBeDeadUntil is the time until which a fault justifies that other members believe this one dead and that it
	// believes them dead.
	mayBeDeadUntil int64
	pausedEvents   []func() // events that occurred during the current pause, in order
}

// start starts the next incarnation with a new protocol state. It drops events that were waiting for the end of a
// pause.
func (m *simulatedMember) start() {
	m.host.Start()
	m.pausedEvents = nil
	if m.run.plan.Baseline {
		m.protocol = m.newBaselineProtocol()
	} else {
		m.protocol = m.newMembershipProtocol()
	}
	m.setTimer()
}

func (m *simulatedMember) newBaselineProtocol() protocol {
	run := m.run
	var contacts []heartbeatgossip.Contact
	for _, member := range run.members {
		contacts = append(contacts, heartbeatgossip.Contact{Name: member.name, Address: member.name, Weight: 1})
	}
	return baselineProtocol{heartbeatgossip.New(run.now(), heartbeatgossip.Config{
		Self: heartbeatgossip.Entry{
			Name:        m.name,
			Incarnation: uint64(m.host.Incarnation)<<20 + uint64(m.index) + 1,
			Address:     m.name,
			Weight:      1,
		},
		Contacts:        contacts,
		Interval:        run.interval,
		ReplacedTimeout: 5 * run.interval,
		Seed:            run.random.Uint64(),
	})}
}

func (m *simulatedMember) newMembershipProtocol() protocol {
	run := m.run
	var contacts []membership.Contact
	for _, member := range run.members {
		contacts = append(contacts, membership.Contact{Name: member.name, Address: member.name, Weight: 1})
	}
	interval := run.interval
	phase := run.random.Int64N(interval)
	incarnation := run.random.Uint64() | 1
	return membershipProtocol{membership.New(run.now(), membership.Config{
		Self: membership.Entry{
			Name:        m.name,
			Incarnation: incarnation,
			Start:       uint64(run.now()/1e6) + 1,
			Address:     m.name,
			Weight:      1,
		},
		Contacts:          contacts,
		HeartbeatInterval: interval,
		SilenceTimeout:    int64(run.plan.SilenceTimeout),
		ReplacedTimeout:   5 * interval,
		Seed:              run.random.Uint64(),
		NextHeartbeat:     func(now int64) int64 { return now + interval - (now+phase)%interval },
	})}
}

// setTimer schedules the protocol's next tick.
func (m *simulatedMember) setTimer() {
	run := m.run
	at := max(m.protocol.next(), run.now()+minTimerDelay)
	m.timerAt = at
	incarnation := m.host.Incarnation
	run.scheduler.At(at, func() {
		if m.host.Incarnation != incarnation || m.timerAt != at || m.host.Stopped {
			return
		}
		m.runWhenResumed(func() {
			m.send(m.protocol.tick(run.now()))
			m.setTimer()
		})
	})
}

// runWhenResumed runs an event of the process now, or when its pause ends. Events that occurred during a pause then
// run in reverse order: the protocol has to detect how long the pause was, whichever event it receives first.
func (m *simulatedMember) runWhenResumed(event func()) {
	run := m.run
	if !m.host.Paused(run.now()) {
		event()
		return
	}
	m.pausedEvents = append(m.pausedEvents, event)
	if len(m.pausedEvents) > 1 {
		return
	}
	incarnation := m.host.Incarnation
	run.scheduler.At(m.host.PausedUntil, func() {
		if m.host.Incarnation != incarnation || m.host.Stopped {
			return
		}
		events := m.pausedEvents
		m.pausedEvents = nil
		for _, event := range slices.Backward(events) {
			event()
		}
	})
}

// send passes messages to the simulated network.
func (m *simulatedMember) send(messages []message) {
	run := m.run
	for _, message := range messages {
		run.measured.countSent(message, run.now() >= run.faultFreeFrom)
		to := run.byName[message.to]
		if to == nil || !run.connected(m, to) || run.network.LosesNext() {
			continue
		}
		copies := 1
		if run.duplicateSends && run.random.IntN(2) == 0 {
			copies = 2
		}
		for range copies {
			m.deliver(to, message)
		}
	}
	if run.measured.messages%connectionSamplingInterval == 0 || run.now() < run.faultFreeFrom {
		run.measured.maxConnections = max(run.measured.maxConnections, m.protocol.connections())
	}
}

// connected reports whether messages from one member can reach another, apart from random losses.
func (s *runState) connected(from, to *simulatedMember) bool {
	return from.host.Reaches(&to.host) && !s.cutLinks[directedPair{from.index, to.index}]
}

// deliver schedules the arrival of a message. The message is dropped if either process has ended by then.
func (m *simulatedMember) deliver(to *simulatedMember, message message) {
	run := m.run
	senderIncarnation, receiverIncarnation := m.host.Incarnation, to.host.Incarnation
	run.scheduler.After(run.network.Delay(), func() {
		receiverGone := to.host.Stopped || to.host.Incarnation != receiverIncarnation || to.protocol == nil
		if receiverGone || m.host.Incarnation != senderIncarnation {
			return
		}
		to.runWhenResumed(func() {
			to.send(to.protocol.receive(run.now(), m.name, message))
			if to.protocol.next() < to.timerAt {
				to.setTimer()
			}
		})
	})
}

// healthy reports whether the member is running and can both send and receive.
func (m *simulatedMember) healthy() bool {
	host := &m.host
	return m.protocol != nil && host.Running(m.run.now()) && !host.InboundLost && !host.OutboundLost
}

// believesDead reports whether the member believes another one dead. It returns false if the member does not know it.
func (m *simulatedMember) believesDead(other *simulatedMember) bool {
	dead, _ := m.protocol.belief(other.name)
	return dead
}
