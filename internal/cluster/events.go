package cluster

import (
	"tealpath/internal/cluster/lease"
	"tealpath/internal/cluster/membership"
	"tealpath/internal/cluster/probe"
	"tealpath/internal/logevent"
)

// Event is an input of a Node: a MessageReceived, TargetsUpdated, ProbeEnded, TimerFired, ShutdownStarted or
// ConfigChanged.
type Event any

// MessageReceived is a message from another instance. The link has authenticated the sender's name; the
// incarnation is the one that the sender states in its hello frame.
type MessageReceived struct {
	From    lease.Instance
	Message Message
}

// TargetsUpdated replaces the list of probe targets.
type TargetsUpdated struct{ Targets []probe.Target }

// ProbeEnded reports the result of a probe that this instance sent.
type ProbeEnded struct{ ProbeResult }

// TimerFired reports that the time of the last SetTimer has come. It may also arrive early. WallMS is the wall
// clock in ms since 1970.
type TimerFired struct{ WallMS int64 }

// ShutdownStarted reports that this instance is shutting down.
type ShutdownStarted struct{}

// ConfigChanged is a reloaded configuration. Contacts, weight and voters can change while an instance runs.
type ConfigChanged struct {
	Contacts []membership.Contact
	Weight   float64
	Voters   lease.Voters
}

// Effect is an action that the caller of Handle carries out: a Send, SetPeers, SendProbe, LeaseChanged,
// TargetProbed, Log or SetTimer.
type Effect any

// Send sends a message to an instance. The message may be lost.
type Send struct {
	To      string
	Message Message
}

// Peer is an instance to which a link is kept open.
type Peer struct{ Name, Address string }

// SetPeers opens links to these instances and closes all others.
type SetPeers struct{ Peers []Peer }

// SendProbe probes a target. The probe must be written before Until by this instance's clock, or not at all.
type SendProbe struct{ probe.Probe }

// LeaseChanged reports the ballot under which this instance now holds a slot's lease. Ballot 0 reports that the
// instance no longer holds the lease. That effect precedes any message that lets another instance acquire the slot,
// so that work already started under the lease can be stopped in time.
type LeaseChanged struct {
	Slot   int
	Ballot uint64
}

// TargetProbed passes a probe result to the router, whether this or another instance sent the probe.
type TargetProbed struct{ ProbeResult }

// Log writes an event to the log.
type Log struct{ Event logevent.Event }

// SetTimer requests a TimerFired at the time At and replaces the previous SetTimer.
type SetTimer struct{ At int64 }

// combine merges messages to the same instance where one message can hold the parts of both, because receiving one
// message with two parts costs less than receiving two messages. It moves lease changes to the front, so that they are
// carried out before any message is sent.
func combine(effects []Effect) []Effect {
	combined := make([]Effect, 0, len(effects))
	for _, effect := range effects {
		if _, ok := effect.(LeaseChanged); ok {
			combined = append(combined, effect)
		}
	}
	last := map[string]int{} // by instance: the index in combined of the last message to it
	for _, effect := range effects {
		switch effect := effect.(type) {
		case LeaseChanged:
		case Send:
			if index, found := last[effect.To]; found {
				send := combined[index].(Send)
				if send.Message.merge(effect.Message) {
					combined[index] = send
					continue
				}
			}
			last[effect.To] = len(combined)
			combined = append(combined, effect)
		default:
			combined = append(combined, effect)
		}
	}
	return combined
}
