package sharedconfig

import (
	"cmp"
	"errors"
	"fmt"
	"hash/fnv"
	"slices"

	"tealpath/internal/cluster/paxos"
)

// These are the errors of Node.Propose, which wraps them with details.
var (
	ErrContentTooLong  = errors.New("the content is too long")
	ErrProposalPending = errors.New("a version is being proposed here already")
)

// proposal is the version that this node currently proposes. The version's number is 0 if there is no proposal.
type proposal struct {
	version  Version
	sentAt   int64           // when the latest Propose was sent to the voters
	attempts int             // number of attempts that ended without a quorum
	accepted map[string]bool // names of the voters that accepted the version under its present number
	rejected map[string]bool // names of the voters that rejected the version under its present number
}

// pending reports whether there is a proposal that has not ended.
func (proposal *proposal) pending() bool { return proposal.version.Number > 0 }

// Propose proposes content as the next version. A ProposalEnded reports the outcome later. Propose returns
// ErrContentTooLong for content above MaxContentSize, and ErrProposalPending if an earlier proposal of this node has
// not ended.
func (node *Node) Propose(now, wallMS int64, content []byte) error {
	switch {
	case len(content) > MaxContentSize:
		return fmt.Errorf("%w: %d bytes, at most %d are allowed", ErrContentTooLong, len(content), MaxContentSize)
	case node.proposal.pending():
		return fmt.Errorf("%w: version %d", ErrProposalPending, node.proposal.version.Number)
	}
	node.proposal = proposal{version: Version{Content: content}}
	node.requestAccepts(now, wallMS)
	return nil
}

// requestAccepts starts an attempt: it gives the proposal a new number and asks all voters to accept it.
func (node *Node) requestAccepts(now, wallMS int64) {
	number := node.nextNumber(wallMS)
	node.highest = max(node.highest, number)
	node.proposal.version.Number = number
	node.proposal.sentAt = now
	node.proposal.accepted, node.proposal.rejected = map[string]bool{}, map[string]bool{}
	content := node.proposal.version.Content
	for _, voter := range node.config.Voters {
		if node.proposal.version.Number != number {
			return // this node's own vote ended the proposal
		}
		node.send(now, voter, Message{Kind: Propose, Number: number, Content: content})
	}
}

// nextNumber returns a number above all that this node has seen. Because of the wall clock it is also above those that
// no instance knows any more after a restart. Its low bits are a hash of this node's name and incarnation, so that two
// instances, or two starts of one, do not use the same number.
func (node *Node) nextNumber(wallMS int64) uint64 {
	hash := fnv.New64a()
	fmt.Fprint(hash, node.config.Self, " ", node.config.Incarnation) //nolint:errcheck // a hash's Write never fails
	return paxos.NextBallot(node.highest, wallMS, paxos.ProposerID(hash.Sum64()))
}

// retryProposal starts a new attempt if the last one got no quorum within retryRenewals renewal intervals, and ends
// the proposal after maxAttempts attempts.
func (node *Node) retryProposal(now, wallMS int64) {
	if !node.proposal.pending() || now-node.proposal.sentAt < retryRenewals*node.config.RenewInterval {
		return
	}
	node.proposal.attempts++
	if node.proposal.attempts >= maxAttempts {
		node.endProposal("no majority of the voters answered")
		return
	}
	node.requestAccepts(now, wallMS)
}

// endProposal ends the proposal and reports its outcome. The reason says why it failed and is empty if a quorum
// accepted it.
func (node *Node) endProposal(reason string) {
	node.emit(ProposalEnded{Number: node.proposal.version.Number, Reason: reason})
	node.proposal = proposal{}
}

// receiveAnswer counts a voter's Accept or Reject of the proposed version. It commits the version once a quorum has
// accepted it, and ends the proposal once no quorum can.
func (node *Node) receiveAnswer(now int64, from string, message Message) {
	version := node.proposal.version
	if !node.proposal.pending() || message.Number != version.Number || !slices.Contains(node.config.Voters, from) {
		return
	}
	if message.Kind == Reject {
		node.proposal.rejected[from] = true
		if !node.isQuorum(len(node.config.Voters) - len(node.proposal.rejected)) {
			node.endProposal(cmp.Or(message.Reason, "the voters rejected it without a reason"))
		}
		return
	}
	node.proposal.accepted[from] = true
	if !node.isQuorum(len(node.proposal.accepted)) {
		return
	}
	node.endProposal("")
	node.learn(now, version.Number, version.Content)
	for _, voter := range node.config.Voters {
		if voter != node.config.Self {
			node.queue(voter, Message{Kind: Commit, Number: version.Number, Content: version.Content})
		}
	}
}
