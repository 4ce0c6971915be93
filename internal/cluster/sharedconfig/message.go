package sharedconfig

// MessageKind is what a message says.
type MessageKind uint8

// The kinds. Renew asks for a lease on the newest version known; Grant gives one, and Redirect says to which
// version the voter goes instead. Propose asks the voters to accept a version, Accept and Reject answer,
// Commit says that a quorum has accepted it. Fetch asks for a version's content, which a Redirect brings.
const (
	Renew MessageKind = iota + 1
	Grant
	Redirect
	Propose
	Accept
	Reject
	Commit
	Fetch
)

// Message is what nodes send each other.
type Message struct {
	Kind    MessageKind
	Number  uint64 // of the version it is about
	Highest uint64 // number that the sender knows
	SentAt  int64  // of the renewal that is answered, by its sender's clock
	Content []byte // of the version; with Propose, Commit and the answer to a Fetch
	Reason  string // with Reject
}

// Effect is what a node wants done or known outside: a Send, Activated, Deactivated or ProposalEnded.
type Effect any

// Send wants a message sent; it may be lost.
type Send struct {
	To      string
	Message Message
}

// Activated reports that a version is acted on from now on, until its leases end or another takes its place.
// Until when, Active tells.
type Activated struct{ Version Version }

// Deactivated reports that no version may be acted on: what is safe beside any that may be in force holds instead.
type Deactivated struct{ Reason string }

// ProposalEnded reports what became of a proposal made here.
type ProposalEnded struct {
	Number uint64
	Reason string // why it failed; empty: a quorum has accepted it
}
