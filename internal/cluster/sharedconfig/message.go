package sharedconfig

// MessageKind says what a message requests or answers.
type MessageKind uint8

// The message kinds. Renew requests a lease on the newest version that the sender knows. A voter answers with Grant
// or, if it grants leases on another version, with a Redirect to that version. Propose asks the voters to accept a
// version; they answer with Accept or Reject. Commit reports that a quorum has accepted a version. Fetch requests the
// content of a version, which is sent in a Redirect.
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
	Highest uint64 // highest number that the sender knows
	SentAt  int64  // Renew and Grant: when the Renew was sent, by its sender's clock
	Content []byte // content of the version; in Propose, Commit and the answer to a Fetch
	Reason  string // in Reject
}

// Effect is an action or report that a node passes to its caller: a Send, Activated, Deactivated or ProposalEnded.
type Effect any

// Send asks the caller to send a message to an instance. The protocol tolerates the loss of the message.
type Send struct {
	To      string
	Message Message
}

// Activated reports that a version is now active. It stays active until its leases end or another version replaces
// it; Node.Active returns when the leases end.
type Activated struct{ Version Version }

// Deactivated reports that no version is active. The caller must then use settings that are safe together with every
// version that may be active at other instances.
type Deactivated struct{ Reason string }

// ProposalEnded reports the outcome of a proposal made by this node.
type ProposalEnded struct {
	Number uint64
	Reason string // why the proposal failed; empty if a quorum accepted it
}
