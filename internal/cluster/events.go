package cluster

import (
	"tealpath/internal/cluster/lease"
	"tealpath/internal/cluster/membership"
	"tealpath/internal/cluster/probe"
	"tealpath/internal/logevent"
)

// Event is an input to Node.Handle: a MessageReceived, TargetsUpdated, ProbeEnded, TimerFired, ShutdownStarted or
// ConfigChanged.
type Event any

// MessageReceived is a message from another instance. The link has authenticated the name in From; the incarnation is
// the one that the sender stated when the link was opened.
type MessageReceived struct {
	From    lease.Instance
	Message Message
}

// TargetsUpdated replaces the list of targets to be probed.
type TargetsUpdated struct{ Targets []probe.Target }

// ProbeEnded reports the result of a probe that this instance sent on a SendProbe.
type ProbeEnded struct{ ProbeResult }

// TimerFired reports that the time requested by the last SetTimer has come. It may also arrive early. WallMS is the
// wall clock in ms since 1970.
type TimerFired struct{ WallMS int64 }

// ShutdownStarted reports that this instance is shutting down.
type ShutdownStarted struct{}

// ConfigChanged is a reloaded configuration, with those settings that may change while an instance runs: contacts,
// weight and voters.
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

// Peer is an instance to which this one keeps a link open, with the address to dial.
type Peer struct{ Name, Address string }

// SetPeers requests links to these instances, and the end of the links to all others.
type SetPeers struct{ Peers []Peer }

// SendProbe requests a probe of a target. The probe must be written before its Until by this instance's clock, or not
// at all.
type SendProbe struct{ probe.Probe }

// LeaseChanged reports that this instance now holds a slot's lease under a ballot or, with ballot 0, that it no longer
// holds the lease. In the second case the effect precedes any message that lets another instance acquire the slot, so
// that work under the lease can be stopped in time.
type LeaseChanged struct {
	Slot   int
	Ballot uint64
}

// TargetProbed hands the router the result of a probe that this or another instance sent.
type TargetProbed struct{ ProbeResult }

// Log requests that an event is written to the log.
type Log struct{ Event logevent.Event }

// SetTimer requests a TimerFired at the time At, in ns of this instance's clock. It replaces the previous SetTimer.
type SetTimer struct{ At int64 }

// combine merges messages to the same instance if they have no part of the same kind, because one message with two
// parts costs the receiver less than two messages. It moves lease changes to the front, so that they are carried out
// before any message is sent.
func combine(effects []Effect) []Effect {
	combined := make([]Effect, 0, len(effects))
	for _, effect := range effects {
		if _, ok := effect.(LeaseChanged); ok {
			combined = append(combined, effect)
		}
	}
	last := map[string]int{} // by receiver: the index in combined of the last message to it
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
