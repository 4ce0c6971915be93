package lease

import (
	"fmt"
	"slices"

	"tealpath/internal/cluster/timing"
)

// Holds returns the ballot under which the node holds a slot's lease at now, and when the lease ends by the node's
// clock; ok is false if the node does not hold it. The caller must read the clock and call Holds immediately before
// each action under the lease.
func (node *Node) Holds(now int64, slot int) (ballot uint64, until int64, ok bool) {
	if slot < 0 || slot >= len(node.holdings) || !node.holdings[slot].held {
		return 0, 0, false
	}
	holding := &node.holdings[slot]
	return holding.ballot, holding.until, now < holding.until
}

// expireLeases ends the leases of this node that have run out because no quorum renewed them in time, and tells the
// voters.
func (node *Node) expireLeases(now int64) {
	for slot := range node.holdings {
		holding := &node.holdings[slot]
		if !holding.held || now < holding.until {
			continue
		}
		reason := "no majority of the voters renewed it"
		if now >= holding.until+node.config.RenewInterval {
			reason = fmt.Sprintf("this instance was paused until %d ms after the lease ended",
				timing.Milliseconds(now-holding.until))
		}
		node.loseLease(slot, reason)
		node.releaseSlot(slot, "")
		holding.busyUntil = now + node.random(node.config.RenewInterval)
	}
}

// loseLease ends this node's lease on a slot: Holds reports false from here on.
func (node *Node) loseLease(slot int, reason string) {
	holding := &node.holdings[slot]
	holding.held, holding.freeSince = false, timing.Never
	node.emit(Lost{Slot: slot, Ballot: holding.ballot, Reason: reason})
}

// releaseSlot tells the voters that this node's lease or attempt for a slot is over, and tells the successor, if
// one is named, that it should acquire the slot. A held lease must be ended first, with loseLease.
func (node *Node) releaseSlot(slot int, successor string) {
	holding := &node.holdings[slot]
	if holding.ballot == 0 {
		return
	}
	ballot := holding.ballot
	holding.ballot, holding.proposing = 0, false
	message := Message{
		Kind: Release, Epoch: node.config.Voters.Epoch,
		Items: []SlotBallot{{Slot: slot, Ballot: ballot, Holder: Instance{Name: successor}}},
	}
	receivers := slices.Clone(node.voterNames)
	if successor != "" && !slices.Contains(receivers, successor) {
		receivers = append(receivers, successor)
	}
	for _, name := range receivers {
		if name == node.config.Self.Name {
			node.revokeLease(slot, node.config.Self, ballot)
			continue
		}
		node.emit(Send{To: name, Message: message})
	}
}

// renewLeases sends a new Propose for every slot that this node holds or that a quorum has promised to it. If a quorum
// accepts it, the lease on the slot is renewed or acquired.
func (node *Node) renewLeases(now int64) {
	var items []SlotBallot
	for slot := range node.holdings {
		if holding := &node.holdings[slot]; holding.held || holding.proposing {
			items = append(items, SlotBallot{Slot: slot, Ballot: holding.ballot})
		}
	}
	node.requestVotes(now, Propose, items)
}

// requestVotes sends a Prepare or Propose for the items to all other voters. If this node is a voter, it also votes on
// the message itself and counts its own answer at once.
func (node *Node) requestVotes(now int64, kind MessageKind, items []SlotBallot) {
	if len(items) == 0 {
		return
	}
	message := Message{Kind: kind, Epoch: node.config.Voters.Epoch, SentAt: now, Items: items}
	for voter, name := range node.voterNames {
		if !node.isSelf(voter) {
			node.emit(Send{To: name, Message: message})
		}
	}
	if !slices.Contains(node.voterNames, node.config.Self.Name) {
		return
	}
	for _, answer := range node.vote(now, node.config.Self, message) {
		node.receiveAnswer(now, node.config.Self.Name, answer)
	}
}

// receiveAnswer counts the vote of a voter on each slot in its answer. For slots that a quorum has now promised to
// this node, it sends a Propose.
func (node *Node) receiveAnswer(now int64, name string, message Message) {
	voter := slices.Index(node.voterNames, name)
	if voter < 0 {
		return
	}
	node.voterHeardAt[voter], node.voterEpochs[voter] = now, message.Epoch
	var promised []SlotBallot
	for _, item := range message.Items {
		if item.Slot < 0 || item.Slot >= len(node.holdings) {
			continue
		}
		if message.Kind == Reject {
			node.receiveReject(now, voter, message.SentAt, item)
			continue
		}
		holding := &node.holdings[item.Slot]
		if holding.ballot == 0 || holding.ballot != item.Ballot || message.SentAt > now {
			continue // the answer belongs to an attempt that was abandoned
		}
		switch {
		case message.Kind == Promise && !holding.proposing && !holding.held:
			if node.receivePromise(voter, holding) {
				promised = append(promised, item)
			}
		case message.Kind == Accept && (holding.proposing || holding.held):
			node.receiveAccept(now, voter, message.SentAt, item.Slot)
		}
	}
	node.requestVotes(now, Propose, promised)
}

// receivePromise counts a voter's promise, and reports whether a quorum has now promised the ballot of the attempt.
func (node *Node) receivePromise(voter int, holding *slotHolding) (quorum bool) {
	holding.promises |= 1 << voter
	holding.proposing = node.isQuorum(func(voter int) bool { return holding.promises&(1<<voter) != 0 })
	return holding.proposing
}

// receiveAccept records that a voter accepted a proposal sent at sentAt. The lease on the slot is acquired or renewed
// if a quorum has accepted proposals.
func (node *Node) receiveAccept(now int64, voter int, sentAt int64, slot int) {
	holding := &node.holdings[slot]
	holding.acceptedSentAt[voter] = max(holding.acceptedSentAt[voter], sentAt)
	holding.until = node.heldUntil(holding)
	if holding.held || now >= holding.until {
		return
	}
	holding.held, holding.proposing, holding.since = true, false, now
	node.emit(Acquired{Slot: slot, Ballot: holding.ballot})
}

// receiveReject records the holder that a Reject names, and abandons this node's attempt if it can no longer get a
// quorum.
func (node *Node) receiveReject(now int64, voter int, sentAt int64, item SlotBallot) {
	node.ObserveBallot(item.Ballot)
	holding := &node.holdings[item.Slot]
	if holding.held {
		return
	}
	if item.Remaining > 0 {
		node.recordOtherHolder(now, holding, item)
	}
	if holding.ballot == 0 || sentAt < holding.preparedAt {
		return
	}
	holding.rejections |= 1 << voter
	if !node.isQuorum(func(voter int) bool { return holding.rejections&(1<<voter) == 0 }) {
		node.abandonAttempt(now, item.Slot)
	}
}

// recordOtherHolder records that another instance holds a slot, and delays the next attempt to acquire it. If the slot
// is assigned to that instance, the delay lasts until its lease ends, because other instances notice if it releases
// the slot or dies. Otherwise the delay is at most one renewal interval, because the holder may release the slot early
// or die.
func (node *Node) recordOtherHolder(now int64, holding *slotHolding, item SlotBallot) {
	wait := min(item.Remaining, node.config.LeaseDuration)
	if node.assigned == nil || node.assignedName(item.Slot) != item.Holder.Name {
		wait = min(wait, node.config.RenewInterval)
	}
	holding.otherHolder, holding.otherBallot = item.Holder, item.Ballot
	holding.busyUntil = max(holding.busyUntil, now+wait+node.random(node.config.RenewInterval/ticksPerRenewal))
}

// transferSlots releases slots that this node holds but that are assigned to other candidates, so that those can
// acquire them. It releases at most 1 + slots/transferDivisor slots in a renewal interval. For each slot, this node
// stops acting under the lease before it releases it.
func (node *Node) transferSlots(now int64) {
	steadyFor := steadyRenewals * node.config.RenewInterval
	if node.assigned == nil || now-node.assignedAt < steadyFor {
		return
	}
	for slot := range node.holdings {
		if node.transferred > len(node.holdings)/transferDivisor {
			return
		}
		holding, successor := &node.holdings[slot], node.assignedName(slot)
		if !holding.held || successor == node.config.Self.Name {
			continue
		}
		node.transferred++
		node.loseLease(slot, "handed to "+successor)
		node.releaseSlot(slot, successor)
		// The successor has this long to acquire the slot.
		holding.busyUntil = now + steadyFor
	}
}

// Reacquire requests a slot again if this node holds it under a ballot below seen, the ballot of an earlier action for
// the slot. Other instances ignore actions under the lower ballot. A ballot can be too low if all voters of a quorum
// have restarted and their wall clocks were set back.
func (node *Node) Reacquire(now int64, slot int, seen uint64) {
	node.ObserveBallot(seen)
	ballot, _, ok := node.Holds(now, slot)
	if !ok || ballot >= seen || node.highestBallot < seen {
		return
	}
	node.loseLease(slot, "a higher ballot was seen")
	node.releaseSlot(slot, "")
	node.holdings[slot].busyUntil = 0
	node.updateFreeSlots(now)
	node.requestFreeSlots(now)
}

// ReleaseAll releases all slots that this node holds or is requesting, because this instance shuts down. It names a
// successor for each slot if there are any successors. From then on the node requests no slots.
func (node *Node) ReleaseAll(successors []Candidate) {
	node.releasing = true
	assigned := Assign(node.config.Slots, successors)
	for slot := range node.holdings {
		if node.holdings[slot].held {
			node.loseLease(slot, "this instance leaves")
		}
		successor := ""
		if assigned != nil {
			successor = successors[assigned[slot]].Name
		}
		node.releaseSlot(slot, successor)
	}
}
