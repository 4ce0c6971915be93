package lease

// MessageKind is the kind of a message. Its values are sent on the wire.
type MessageKind uint8

// The kinds of messages. A node that wants to acquire or renew a lease sends Prepare and Propose to the voters, which
// answer with Promise, Accept or Reject. With a Release, a node reports that its lease, or its attempt to acquire one,
// is over.
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
	Kind  MessageKind `cbor:"1,keyasint"`
	Epoch uint64      `cbor:"2,keyasint"` // epoch of the voters that the sender uses
	// When the Prepare or Propose was sent, in ns of its sender's clock. The answer has the same value.
	SentAt int64        `cbor:"3,keyasint"`
	Items  []SlotBallot `cbor:"4,keyasint"`
}

// SlotBallot is the part of a message that concerns one slot.
type SlotBallot struct {
	Slot   int    `cbor:"1,keyasint"`
	Ballot uint64 `cbor:"2,keyasint"`
	// In a Reject: the current holder, empty if there is none. In a Release: only the name, that of the successor, if
	// any.
	Holder Instance `cbor:"3,keyasint,omitempty"`
	// In a Reject: time left until the lease of Holder ends, ns.
	Remaining int64 `cbor:"4,keyasint,omitempty"`
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
