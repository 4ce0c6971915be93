package lease

// MessageKind is what a message says. Its numbers are those on the wire.
type MessageKind uint8

// The kinds, as in PaxosLease. Holders send Prepare and Propose to the voters, which answer with Promise,
// Accept or Reject; Release reports that a holder has stopped.
const (
	Prepare MessageKind = iota + 1
	Promise
	Propose
	Accept
	Reject
	Release
)

// Message is what nodes send each other.
type Message struct {
	Kind   MessageKind  `cbor:"1,keyasint"`
	Epoch  uint64       `cbor:"2,keyasint"` // of the sender's voters
	SentAt int64        `cbor:"3,keyasint"` // by the holder's clock, ns; answers return it as it was
	Items  []SlotBallot `cbor:"4,keyasint"`
}

// SlotBallot is what a message says of one slot.
type SlotBallot struct {
	Slot      int      `cbor:"1,keyasint"`
	Ballot    uint64   `cbor:"2,keyasint"`
	Holder    Instance `cbor:"3,keyasint,omitempty"` // Reject: the present holder; Release: the name of the successor
	Remaining int64    `cbor:"4,keyasint,omitempty"` // Reject: for how long it is still held, ns
}

// Effect is what a node wants done or known outside: a Send, Acquired or Lost.
type Effect any

// Send wants a message sent to an instance; it may be lost.
type Send struct {
	To      string
	Message Message
}

// Acquired reports that a slot is held from now on. The ballot is the fencing token of what is done under the lease.
type Acquired struct {
	Slot   int
	Ballot uint64
}

// Lost reports that a slot is no longer held.
type Lost struct {
	Slot   int
	Ballot uint64
	Reason string
}
