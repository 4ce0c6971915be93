package sharedconfig

import (
	"cmp"
	"errors"
	"fmt"
	"hash/fnv"
	"slices"

	"tealpath/internal/cluster/paxos"
)

// What Propose can't take.
var (
	ErrContentTooLong  = errors.New("the content is too long")
	ErrProposalPending = errors.New("a version is being proposed here already")
)

// proposal is the version that is being proposed here; its number is 0 if there is none.
type proposal struct {
	version  Version
	sentAt   int64 // when the voters were last asked
	attempts int   // that came to nothing
	accepted map[string]bool
	rejected map[string]bool
}

func (proposal *proposal) pending() bool { return proposal.version.Number > 0 }

// Propose has content become the next version; a ProposalEnded reports what became of it. It returns
// ErrContentTooLong or, as there is one proposal at a time, ErrProposalPending.
func (node *Node) Propose(now, wallMS int64, content []byte) error {
	switch {
	case len(content) > MaxContentSize:
		return fmt.Errorf("%w: %d bytes, %d can be", ErrContentTooLong, len(content), MaxContentSize)
	case node.proposal.pending():
		return fmt.Errorf("%w: version %d", ErrProposalPending, node.proposal.version.Number)
	}
	node.proposal = proposal{version: Version{Content: content}}
	node.requestAccepts(now, wallMS)
	return nil
}

// requestAccepts asks the voters under a new number.
func (node *Node) requestAccepts(now, wallMS int64) {
	number := node.nextNumber(wallMS)
	node.highest = max(node.highest, number)
	node.proposal.version.Number = number
	node.proposal.sentAt = now
	node.proposal.accepted, node.proposal.rejected = map[string]bool{}, map[string]bool{}
	content := node.proposal.version.Content
	for _, voter := range node.config.Voters {
		if node.proposal.version.Number != number {
			return // the own vote has ended it
		}
		node.send(now, voter, Message{Kind: Propose, Number: number, Content: content})
	}
}

// nextNumber is above all numbers known. The wall clock lifts it over those that all may have forgotten, and
// a mark of this start keeps two starts from drawing the same.
func (node *Node) nextNumber(wallMS int64) uint64 {
	hash := fnv.New64a()
	fmt.Fprint(hash, node.config.Self, " ", node.config.Incarnation) //nolint:errcheck // a hash's Write never fails
	return paxos.NextBallot(node.highest, wallMS, paxos.Mark(hash.Sum64()))
}

// retryProposal asks again where no quorum answered, and gives up in the end.
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
			node.endProposal(cmp.Or(message.Reason, "refused"))
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
