package sharedconfig

import (
	"cmp"
	"errors"
	"fmt"
	"hash/fnv"
	"slices"

	"tealpath/internal/cluster/paxos"
)

// These errors are returned by Propose.
var (
	ErrContentTooLong  = errors.New("the content is too long")
	ErrProposalPending = errors.New("a version is being proposed here already")
)

// proposal is the version that this node is proposing; its number is 0 if there is none.
type proposal struct {
	version  Version
	sentAt   int64           // when Propose was last sent to the voters
	attempts int             // number of attempts that got no quorum
	accepted map[string]bool // voters that accepted the version
	rejected map[string]bool // voters that rejected the version
}

// pending reports whether there is a proposal.
func (proposal *proposal) pending() bool { return proposal.version.Number > 0 }

// Propose proposes content as the next version; a ProposalEnded reports the outcome. It returns
// ErrContentTooLong, or ErrProposalPending if this node has a proposal that has not ended.
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

// requestAccepts asks the voters to accept the proposal under a new number.
func (node *Node) requestAccepts(now, wallMS int64) {
	number := node.nextNumber(wallMS)
	node.highest = max(node.highest, number)
	node.proposal.version.Number = number
	node.proposal.sentAt = now
	node.proposal.accepted, node.proposal.rejected = map[string]bool{}, map[string]bool{}
	content := node.proposal.version.Content
	for _, voter := range node.config.Voters {
		if node.proposal.version.Number != number {
			return // the vote of this node ended the proposal
		}
		node.send(now, voter, Message{Kind: Propose, Number: number, Content: content})
	}
}

// nextNumber returns a number above all known ones. The wall clock keeps it above numbers that no instance remembers
// after a restart. Its low bits are a hash of this node's name and incarnation, so that two starts don't use the same
// number.
func (node *Node) nextNumber(wallMS int64) uint64 {
	hash := fnv.New64a()
	fmt.Fprint(hash, node.config.Self, " ", node.config.Incarnation) //nolint:errcheck // a hash's Write never fails
	return paxos.NextBallot(node.highest, wallMS, paxos.ProposerID(hash.Sum64()))
}

// retryProposal retries a proposal that got no quorum in time, and ends it after maxAttempts attempts.
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

// endProposal ends the proposal and reports its outcome; the reason is empty if it was accepted.
func (node *Node) endProposal(reason string) {
	node.emit(ProposalEnded{Number: node.proposal.version.Number, Reason: reason})
	node.proposal = proposal{}
}

// receiveAnswer counts a voter's answer to the proposal, and commits the version once a quorum has accepted it.
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
