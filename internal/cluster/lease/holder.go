package lease

import (
	"fmt"
	"slices"

	"tealpath/internal/cluster/timing"
)

// Holds reports whether the node holds a slot's lease at this instant, under which ballot and until when. It is
// to be asked immediately before each act under the lease, with the clock just read.
func (node *Node) Holds(now int64, slot int) (ballot uint64, until int64, ok bool) {
	if slot < 0 || slot >= len(node.holdings) || !node.holdings[slot].held {
		return 0, 0, false
	}
	own := &node.holdings[slot]
	return own.ballot, own.until, now < own.until
}

// expire gives up the leases that have ended.
func (node *Node) expire(now int64) {
	for slot := range node.holdings {
		own := &node.holdings[slot]
		if !own.held || now < own.until {
			continue
		}
		reason := "no majority of the voters renewed it"
		if now >= own.until+node.config.RenewInterval {
			reason = fmt.Sprintf("this instance stood still for %d ms past its end", timing.Milliseconds(now-own.until))
		}
		node.lose(slot, reason)
		node.release(slot, "")
		own.busyUntil = now + node.random(node.config.RenewInterval)
	}
}

// lose ends the own lease on a slot; from here on nothing is done under it.
func (node *Node) lose(slot int, reason string) {
	own := &node.holdings[slot]
	own.held, own.freeSince = false, timing.Never
	node.emit(Lost{Slot: slot, Ballot: own.ballot, Reason: reason})
}

// release tells the voters that the own lease or attempt is over, and the successor that the slot is meant
// for, if there is one. It is sent after the end, never before.
func (node *Node) release(slot int, successor string) {
	own := &node.holdings[slot]
	if own.ballot == 0 {
		return
	}
	ballot := own.ballot
	own.ballot, own.proposing = 0, false
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
			node.revoke(slot, node.config.Self, ballot)
			continue
		}
		node.emit(Send{To: name, Message: message})
	}
}

// renew proposes again all that is held, and what has a quorum of promises.
func (node *Node) renew(now int64) {
	var items []SlotBallot
	for slot := range node.holdings {
		if own := &node.holdings[slot]; own.held || own.proposing {
			items = append(items, SlotBallot{Slot: slot, Ballot: own.ballot})
		}
	}
	node.requestVotes(now, Propose, items)
}

// requestVotes sends a Prepare or Propose to all voters; the own vote is asked directly, after the others.
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

// receiveAnswer counts a voter's answer, and proposes what it gave a quorum of promises.
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
		own := &node.holdings[item.Slot]
		if own.ballot == 0 || own.ballot != item.Ballot || message.SentAt > now {
			continue // an answer to what was given up
		}
		switch {
		case message.Kind == Promise && !own.proposing && !own.held:
			if node.receivePromise(voter, own) {
				promised = append(promised, item)
			}
		case message.Kind == Accept && (own.proposing || own.held):
			node.receiveAccept(now, voter, message.SentAt, item.Slot)
		}
	}
	node.requestVotes(now, Propose, promised)
}

// receivePromise counts a promise; it reports whether it completed a quorum.
func (node *Node) receivePromise(voter int, own *holding) (quorum bool) {
	own.promises |= 1 << voter
	own.proposing = node.isQuorum(func(voter int) bool { return own.promises&(1<<voter) != 0 })
	return own.proposing
}

// receiveAccept counts a voter's acceptance of a proposal.
func (node *Node) receiveAccept(now int64, voter int, sentAt int64, slot int) {
	own := &node.holdings[slot]
	own.acceptedSentAt[voter] = max(own.acceptedSentAt[voter], sentAt)
	own.until = node.heldUntil(own)
	if own.held || now >= own.until {
		return
	}
	own.held, own.proposing, own.since = true, false, now
	node.emit(Acquired{Slot: slot, Ballot: own.ballot})
}

// receiveReject notes who holds a slot, and gives up a try that can't have a quorum any more.
func (node *Node) receiveReject(now int64, voter int, sentAt int64, item SlotBallot) {
	node.ObserveBallot(item.Ballot)
	own := &node.holdings[item.Slot]
	if own.held {
		return
	}
	if item.Remaining > 0 {
		node.noteHolder(now, own, item)
	}
	if own.ballot == 0 || sentAt < own.preparedAt {
		return
	}
	own.rejections |= 1 << voter
	if !node.isQuorum(func(voter int) bool { return own.rejections&(1<<voter) == 0 }) {
		node.giveUp(now, item.Slot)
	}
}

// noteHolder notes that somebody else holds a slot. A holder may release before its time or die, so it is
// asked again each renewal; where it is the assigned one and alive, that is for others to see.
func (node *Node) noteHolder(now int64, own *holding, item SlotBallot) {
	wait := min(item.Remaining, node.config.LeaseDuration)
	if node.assigned == nil || node.assignedName(item.Slot) != item.Holder.Name {
		wait = min(wait, node.config.RenewInterval)
	}
	own.otherHolder, own.otherBallot = item.Holder, item.Ballot
	own.busyUntil = max(own.busyUntil, now+wait+node.random(node.config.RenewInterval/ticksPerRenewal))
}

// transfer gives held slots to those that they are assigned to, a few at a time: it stops first, and releases
// then.
func (node *Node) transfer(now int64) {
	steadyFor := steadyRenewals * node.config.RenewInterval
	if node.assigned == nil || now-node.assignedAt < steadyFor {
		return
	}
	for slot := range node.holdings {
		if node.transferred > len(node.holdings)/transferShare {
			return
		}
		own, successor := &node.holdings[slot], node.assignedName(slot)
		if !own.held || successor == node.config.Self.Name {
			continue
		}
		node.transferred++
		node.lose(slot, "handed to "+successor)
		node.release(slot, successor)
		own.busyUntil = now + steadyFor // the successor has until then
	}
}

// Reacquire gives a slot up that is held under a ballot below one seen for what is done under it, and asks
// for it anew. All of a quorum had restarted with wall clocks set back, and nobody takes what is done under
// the lower ballot.
func (node *Node) Reacquire(now int64, slot int, seen uint64) {
	node.ObserveBallot(seen)
	ballot, _, ok := node.Holds(now, slot)
	if !ok || ballot >= seen || node.highest < seen {
		return
	}
	node.lose(slot, "a higher number was seen")
	node.release(slot, "")
	node.holdings[slot].busyUntil = 0
	node.findFree(now)
	node.tryFree(now)
}

// ReleaseAll stops acting for all slots at once and hands them to successors; nothing is asked for from then on.
func (node *Node) ReleaseAll(successors []Candidate) {
	node.releasing = true
	assigned := Assign(node.config.Slots, successors)
	for slot := range node.holdings {
		if node.holdings[slot].held {
			node.lose(slot, "this instance leaves")
		}
		successor := ""
		if assigned != nil {
			successor = successors[assigned[slot]].Name
		}
		node.release(slot, successor)
	}
}
