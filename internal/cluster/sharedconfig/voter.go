package sharedconfig

import (
	"fmt"
	"slices"
)

// voterState is the state of a voter: the leases that it granted and the proposals that it accepted.
type voterState struct {
	current     uint64 // version on which the voter grants leases
	leasedUntil int64  // when the last lease granted on the current version ends
	next        uint64 // committed version that the voter is to change to; equal to current if there is none
	previous    []previousVersion
	accepted    uint64 // highest number of the proposals that the voter accepted
}

// previousVersion is a version on which a voter granted leases before it changed to its current one. These leases may
// last until leasedUntil.
type previousVersion struct {
	number      uint64
	leasedUntil int64
}

// advance changes a voter to the newest committed version. It does so only when that version is compatible with every
// version on which a lease granted by this voter may still last. Checking only the current version is not enough:
// the voters of two consecutive epochs may be in force at the same time, but not those of three.
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

// incompatible reports whether two versions must never be active at the same time. A version whose content is no
// longer known counts as incompatible.
func (node *Node) incompatible(current, proposed uint64) bool {
	before, after := node.contents[current], node.contents[proposed]
	if before == nil || after == nil {
		return true
	}
	incompatible, err := node.config.Incompatible(before, after)
	return incompatible || err != nil
}

// receiveRenew grants a lease if the request is for the voter's current version. A restarted voter does not know the
// newest version, so it fetches versions from the instances that request leases on them.
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
		// Leases are granted only on the current version, and no longer once a later one is committed. The answer
		// names the version to request instead.
		node.send(now, from, Message{Kind: Redirect, Number: state.next})
	default:
		state.leasedUntil = max(state.leasedUntil, now+node.config.LeaseDuration)
		node.send(now, from, Message{Kind: Grant, Number: state.current, SentAt: message.SentAt})
	}
}

// receivePropose accepts or rejects a proposed version. For Config.RestartSilence after its start a voter does
// neither, because it does not know what it accepted before a restart.
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

// rejectionReason returns why a proposal must be rejected, or "" if it can be accepted. It checks the content against
// the newest version, and the number against the newest version and the proposals accepted.
func (node *Node) rejectionReason(message Message) string {
	if _, err := node.config.Incompatible(node.contents[node.newest], message.Content); err != nil {
		return err.Error()
	}
	if later := max(node.voter.accepted, node.newest); message.Number <= later {
		return fmt.Sprintf("version %d came before it", later)
	}
	return ""
}
