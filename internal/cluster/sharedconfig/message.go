package sharedconfig

// MessageKind says what a message requests, answers or reports.
type MessageKind uint8

// The kinds of messages. With Renew, an instance requests a lease on the newest version that it knows. A voter answers
// with Grant or, if it grants leases on another version, with a Redirect to that version. With Propose, an instance
// asks the voters to accept a version; they answer with Accept or Reject. Commit tells the voters that a quorum has
// accepted a version. Fetch requests the content of a version, which is sent in a Redirect.
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

// Message is a protocol message between two nodes.
type Message struct {
	Kind    MessageKind
	Number  uint64 // number of the version that the message is about
	Highest uint64 // highest version number that the sender has seen
	SentAt  int64  // in Renew and Grant: when the Renew was sent, on its sender's clock, ns
	// Content of the version in Propose, Commit and the answer to a Fetch; nil in other messages.
	Content []byte
	Reason  string // in Reject: why the voter does not accept the version
}

// Effect is an action or a report that a node passes to its caller: a Send, Activated, Deactivated or ProposalEnded.
type Effect any

// Send asks the caller to send a message to an instance. The protocol tolerates the loss of the message.
type Send struct {
	To      string
	Message Message
}

// Activated reports that a version has become active at this node. It stays active until its leases end or another
// version replaces it; Node.Active returns when the leases end.
type Activated struct{ Version Version }

// Deactivated reports that no version is active at this node any more. Until the next Activated, the caller must use
// settings that are safe together with every version that may be active at other instances.
type Deactivated struct{ Reason string }

// ProposalEnded reports how a proposal of this node ended.
type ProposalEnded struct {
	Number uint64
	Reason string // why the proposal failed; empty: a quorum accepted it
}
