package restore

import "fmt"

// Outcome is what became of an endpoint list that was known before.
type Outcome int

// The outcomes.
const (
	Pending   Outcome = iota // nothing has been learned, or it was learned before
	Confirmed                // the list is in force
	Denied                   // the service is another one, or numbers its events anew: the list is to be requested
)

var outcomeNames = [...]string{Pending: "pending", Confirmed: "confirmed", Denied: "denied"}

func (o Outcome) String() string {
	if o < 0 || int(o) >= len(outcomeNames) {
		return fmt.Sprintf("outcome %d", int(o))
	}
	return outcomeNames[o]
}

// ListConfirmation finds out whether an endpoint list from a snapshot is still in force. The router resumes the
// watch one event before the last that it knows. If the service sends that last event again, byte for byte, it
// is the service that sent the list, no event since is missing, and later ones follow. A service that numbers
// its events anew for each start of a router, as the platform's does, sends something else under that number. A
// service that sends nothing proves nothing.
//
// A nil ListConfirmation observes nothing: its outcomes are Pending.
type ListConfirmation struct {
	Position int64  // of the last event
	Digest   uint64 // of its text
	decided  bool
}

// ResumeAfter returns the position after which the service is asked to go on.
func (c *ListConfirmation) ResumeAfter() int64 { return c.Position - 1 }

// ObserveEvent takes an event of the service. The first one decides.
func (c *ListConfirmation) ObserveEvent(position int64, digest uint64) Outcome {
	return c.decide(c != nil && position == c.Position && digest == c.Digest)
}

// ObserveComment takes a comment of the service. A comment before any event says that there is no event after
// the position that was named.
func (c *ListConfirmation) ObserveComment() Outcome { return c.decide(false) }

// decide returns the outcome of what was observed first, and Pending after that.
func (c *ListConfirmation) decide(same bool) Outcome {
	if c == nil || c.decided {
		return Pending
	}
	c.decided = true
	if same {
		return Confirmed
	}
	return Denied
}
