package sharedconfig

import (
	"fmt"
	"slices"
)

// voterState is what a voter has granted and accepted.
type voterState struct {
	current     uint64 // version on which it grants leases
	leasedUntil int64  // when the last lease that it granted on the current version ends
	next        uint64 // committed version that it goes to, once it may; current if there is none
	left        []leftVersion
	accepted    uint64 // highest number that it accepted in a proposal
}

// leftVersion is a version that a voter went on from, on which leases granted by it may be left until a time.
type leftVersion struct {
	number      uint64
	leasedUntil int64
}

// advance has a voter go on to the version committed last: at once where it is compatible with all on which
// leases granted here may be left, else once those have ended. Not only the version before counts: voters of
// two epochs may be in force side by side, of three not.
func (node *Node) advance(now int64) {
	state := &node.voter
	if !node.isVoter() || state.next == state.current || node.contents[state.next] == nil {
		return
	}
	state.left = slices.DeleteFunc(state.left, func(left leftVersion) bool { return now >= left.leasedUntil })
	current := leftVersion{number: state.current, leasedUntil: state.leasedUntil}
	for _, left := range append(slices.Clone(state.left), current) {
		if now < left.leasedUntil && node.incompatible(left.number, state.next) {
			return
		}
	}
	if now < node.grantsFrom && node.incompatible(state.current, state.next) {
		return
	}
	state.left = append(state.left, current)
	state.current, state.leasedUntil = state.next, 0
}

// incompatible reports whether two versions may never be acted on at once; what is not known any more may not.
func (node *Node) incompatible(current, proposed uint64) bool {
	before, after := node.contents[current], node.contents[proposed]
	if before == nil || after == nil {
		return true
	}
	incompatible, err := node.config.Incompatible(before, after)
	return incompatible || err != nil
}

// receiveRenew has a voter grant a lease on the version that it is at. A voter that restarted knows no
// version, and learns from those who ask.
func (node *Node) receiveRenew(now int64, from string, message Message) {
	if !node.isVoter() {
		return
	}
	if message.Number > node.newest {
		node.send(now, from, Message{Kind: Fetch, Number: message.Number})
		return
	}
	node.advance(now)
	state := &node.voter
	switch {
	case now < node.grantsFrom:
	case message.Number != state.current || state.next != state.current:
		// No lease on what is left behind; the version that comes next is named.
		node.send(now, from, Message{Kind: Redirect, Number: state.next})
	default:
		state.leasedUntil = max(state.leasedUntil, now+node.config.LeaseDuration)
		node.send(now, from, Message{Kind: Grant, Number: state.current, SentAt: message.SentAt})
	}
}

// receivePropose has a voter accept or reject a version. A silent voter does neither: it doesn't know what it
// has accepted.
func (node *Node) receivePropose(now int64, from string, message Message) {
	if !node.isVoter() || len(message.Content) > MaxContentSize || now < node.grantsFrom {
		return
	}
	if reason := node.reasonToReject(message); reason != "" {
		node.send(now, from, Message{Kind: Reject, Number: message.Number, Reason: reason})
		return
	}
	node.voter.accepted = message.Number
	node.send(now, from, Message{Kind: Accept, Number: message.Number})
}

// reasonToReject checks a proposal against the newest version and the numbers accepted; it is empty where
// nothing is wrong.
func (node *Node) reasonToReject(message Message) string {
	if _, err := node.config.Incompatible(node.contents[node.newest], message.Content); err != nil {
		return err.Error()
	}
	if later := max(node.voter.accepted, node.newest); message.Number <= later {
		return fmt.Sprintf("version %d came before it", later)
	}
	return ""
}
