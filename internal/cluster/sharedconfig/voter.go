package sharedconfig

import (
	"fmt"
	"slices"
)

// voterState is the state of a node as a voter: the leases that it granted and the proposals that it accepted.
type voterState struct {
	current     uint64 // number of the version on which the voter grants leases
	leasedUntil int64  // when the last lease granted on that version ends, ns of this node's clock
	next        uint64 // number of the version to change to; equal to current if there is none
	previous    []previousVersion
	accepted    uint64 // highest number of the proposals that the voter accepted; 0: none
}

// previousVersion is a version on which a voter granted leases before it changed to another one. The last of these
// leases ends at leasedUntil.
type previousVersion struct {
	number      uint64
	leasedUntil int64
}

// advance makes a voter grant leases on the newest committed version, if that is compatible with every version on
// which a lease of this voter may still last. It is not enough to check the current version: the voters of two
// consecutive epochs may be in force at the same time, but not those of three.
func (node *Node) advance(now int64) {
	state := &node.voter
	if !node.isVoter() || state.next == state.current || node.contents[state.next] == nil {
		return
	}
	state.previous = slices.DeleteFunc(state.previous, func(previous previousVersion) bool {
		return now >= previous.leasedUntil
	})
	current := previousVersion{number: state.current, leasedUntil: state.leasedUntil}
	for _, previous := range append(slices.Clone(state.previous), current) {
		if now < previous.leasedUntil && node.incompatible(previous.number, state.next) {
			return
		}
	}
	if now < node.grantsFrom && node.incompatible(state.current, state.next) {
		return
	}
	state.previous = append(state.previous, current)
	state.current, state.leasedUntil = state.next, 0
}

// incompatible reports whether two versions must never be active at the same time. It returns true if the content of
// one of them is no longer known.
func (node *Node) incompatible(current, proposed uint64) bool {
	before, after := node.contents[current], node.contents[proposed]
	if before == nil || after == nil {
		return true
	}
	incompatible, err := node.config.Incompatible(before, after)
	return incompatible || err != nil
}

// receiveRenew answers a request for a lease. The voter grants it if the request is for its current version. If it
// does not know the requested version, as after a restart, it fetches the version from the sender.
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
		// A lease is granted only on the current version, and not after a later one was committed. The answer names
		// the version to request instead.
		node.send(now, from, Message{Kind: Redirect, Number: state.next})
	default:
		state.leasedUntil = max(state.leasedUntil, now+node.config.LeaseDuration)
		node.send(now, from, Message{Kind: Grant, Number: state.current, SentAt: message.SentAt})
	}
}

// receivePropose accepts or rejects a proposed version. In the first Config.RestartSilence after its start a voter
// does neither, because it does not know what it accepted before.
func (node *Node) receivePropose(now int64, from string, message Message) {
	if !node.isVoter() || len(message.Content) > MaxContentSize || now < node.grantsFrom {
		return
	}
	if reason := node.rejectionReason(message); reason != "" {
		node.send(now, from, Message{Kind: Reject, Number: message.Number, Reason: reason})
		return
	}
	node.voter.accepted = message.Number
	node.send(now, from, Message{Kind: Accept, Number: message.Number})
}

// rejectionReason returns why a proposal must be rejected, or "" if it can be accepted. Its content must be valid, and
// its number above that of the newest version and of all accepted proposals.
func (node *Node) rejectionReason(message Message) string {
	if _, err := node.config.Incompatible(node.contents[node.newest], message.Content); err != nil {
		return err.Error()
	}
	if later := max(node.voter.accepted, node.newest); message.Number <= later {
		return fmt.Sprintf("version %d came before it", later)
	}
	return ""
}
