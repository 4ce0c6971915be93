package cluster

import (
	"tealpath/internal/cluster/lease"
	"tealpath/internal/cluster/membership"
	"tealpath/internal/cluster/probe"
	"tealpath/internal/logevent"
)

// Event is something that came in: a MessageReceived, TargetsUpdated, ProbeEnded, TimerFired, ShutdownStarted
// or ConfigChanged.
type Event any

// MessageReceived is a message from another instance, whose name and start the link has proved.
type MessageReceived struct {
	From    lease.Instance
	Message Message
}

// TargetsUpdated is the list of targets as it is now.
type TargetsUpdated struct{ Targets []probe.Target }

// ProbeEnded tells how a probe ended that was sent from here.
type ProbeEnded struct{ ProbeResult }

// TimerFired reports that the time of the last SetTimer has come, or may have. WallMS is the wall clock, ms
// since 1970.
type TimerFired struct{ WallMS int64 }

// ShutdownStarted reports that this instance is to end.
type ShutdownStarted struct{}

// ConfigChanged is a newer configuration. Contacts, weights and voters change in a running instance.
type ConfigChanged struct {
	Contacts []membership.Contact
	Weight   float64
	Voters   lease.Voters
}

// Effect is what is to be done outside: a Send, SetPeers, SendProbe, LeaseChanged, TargetProbed, Log or SetTimer.
type Effect any

// Send wants a message sent to an instance; it may be lost.
type Send struct {
	To      string
	Message Message
}

// Peer is an instance to which a link is to stand.
type Peer struct{ Name, Address string }

// SetPeers wants links to these instances and to no others.
type SetPeers struct{ Peers []Peer }

// SendProbe wants a target probed: written before Until by this clock, or not at all.
type SendProbe struct{ probe.Probe }

// LeaseChanged tells under which ballot a slot's lease is held from now on, 0 if it no longer is. It comes
// before any message that would let somebody else have the slot: what is on its way to be done under the
// lease must see that.
type LeaseChanged struct {
	Slot   int
	Ballot uint64
}

// TargetProbed tells the router what a probe found, sent from here or elsewhere.
type TargetProbed struct{ ProbeResult }

// Log wants an event logged.
type Log struct{ Event logevent.Event }

// SetTimer wants a TimerFired at a time.
type SetTimer struct{ At int64 }

// combine makes one message of those that go to one instance, as far as one can hold them: each costs its
// receiver more than what it says. Changes of leases come first, so that no message passes one.
func combine(effects []Effect) []Effect {
	combined := make([]Effect, 0, len(effects))
	for _, effect := range effects {
		if _, ok := effect.(LeaseChanged); ok {
			combined = append(combined, effect)
		}
	}
	last := map[string]int{} // the index of the last message to an instance
	for _, effect := range effects {
		switch effect := effect.(type) {
		case LeaseChanged:
		case Send:
			if index, been := last[effect.To]; been {
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
