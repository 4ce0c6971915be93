package lease

// MessageKind is the kind of a message. Its values are sent on the wire.
type MessageKind uint8

// The message kinds of PaxosLease. Holders send Prepare and Propose to the voters, which answer with Promise,
// Accept or Reject. Release reports that a holder no longer acts under a lease.
const (
	Prepare MessageKind = iota + 1
	Promise
	Propose
	Accept
	Reject
	Release
)

// Message is a protocol message between two nodes.
type Message struct {
	Kind   MessageKind  `cbor:"1,keyasint"`
	Epoch  uint64       `cbor:"2,keyasint"` // epoch of the sender's voters
	SentAt int64        `cbor:"3,keyasint"` // ns of the holder's clock; an answer copies it from the request
	Items  []SlotBallot `cbor:"4,keyasint"`
}

// SlotBallot is the part of a message about one slot.
type SlotBallot struct {
	Slot      int      `cbor:"1,keyasint"`
	Ballot    uint64   `cbor:"2,keyasint"`
	Holder    Instance `cbor:"3,keyasint,omitempty"` // Reject: the current holder; Release: the name of the successor
	Remaining int64    `cbor:"4,keyasint,omitempty"` // Reject: time left until the current lease ends, ns
}

// Effect is an action or report that a node passes to its caller: a Send, Acquired or Lost.
type Effect any

// Send asks the caller to send a message to an instance. The protocol tolerates the loss of the message.
type Send struct {
	To      string
	Message Message
}

// Acquired reports that this node now holds a slot's lease. The ballot is the fencing token of every action under
// the lease.
type Acquired struct {
	Slot   int
	Ballot uint64
}

// Lost reports that this node no longer holds a slot's lease.
type Lost struct {
	Slot   int
	Ballot uint64
	Reason string
}
