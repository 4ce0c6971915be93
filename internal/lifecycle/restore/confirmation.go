package restore

import "fmt"

// Outcome is what one event or comment of the discovery service shows about the endpoint list of a snapshot.
type Outcome int

// Outcomes of an event or comment.
const (
	Pending   Outcome = iota // the event or comment shows nothing, or an earlier one has decided
	Confirmed                // the list is still in force
	Outdated                 // the list may be out of date and has to be requested from the service
)

var outcomeNames = [...]string{Pending: "pending", Confirmed: "confirmed", Outdated: "denied"}

func (o Outcome) String() string {
	if o < 0 || int(o) >= len(outcomeNames) {
		return fmt.Sprintf("outcome %d", int(o))
	}
	return outcomeNames[o]
}

// ListConfirmation finds out whether the endpoint list of a snapshot is still in force. The router resumes the watch
// one event before the last one that it knows. If the service sends that last event again, byte for byte, it is the
// service that sent the list, and it sends all later events too. A service that numbers its events from 1
// again at each start of a router, as the platform's does, sends another event under that number. If the service sends
// nothing, the list is not confirmed.
//
// A nil ListConfirmation is for a router without such a list: its outcomes are all Pending.
type ListConfirmation struct {
	Position int64  // position of the last watch event that the router knows
	Digest   uint64 // hash of the text of the event at Position
	decided  bool   // whether an event or comment has been observed before
}

// ResumeAfter returns the position after which the router asks the service to resume the watch.
func (c *ListConfirmation) ResumeAfter() int64 { return c.Position - 1 }

// ObserveEvent returns the outcome of a watch event. The first event or comment decides.
func (c *ListConfirmation) ObserveEvent(position int64, digest uint64) Outcome {
	return c.decide(c != nil && position == c.Position && digest == c.Digest)
}

// ObserveComment returns the outcome of a comment of the service. A comment before any event means that the service
// has no event after the position of ResumeAfter, so it does not have the event at Position.
func (c *ListConfirmation) ObserveComment() Outcome { return c.decide(false) }

// decide returns the outcome of the first event or comment, and Pending for all later ones. same is whether the first
// one is the event at Position, byte for byte.
func (c *ListConfirmation) decide(same bool) Outcome {
	if c == nil || c.decided {
		return Pending
	}
	c.decided = true
	if same {
		return Confirmed
	}
	return Outdated
}
