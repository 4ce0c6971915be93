package lease

// vote answers a Prepare or a Propose as a voter. While a lease granted to one holder lasts, requests by all others
// are rejected whatever their ballots. This rule is the change to PaxosLease, and it guarantees that a slot never
// has two holders (docs/duties.md).
func (node *Node) vote(now int64, from Instance, message Message) []Message {
	if now < node.grantsFrom {
		return nil // leases granted before the restart may still last
	}
	node.endSilence(now)
	epoch := node.config.Voters.Epoch
	granted := Message{Kind: Promise, Epoch: epoch, SentAt: message.SentAt}
	if message.Kind == Propose {
		granted.Kind = Accept
	}
	rejected := Message{Kind: Reject, Epoch: epoch, SentAt: message.SentAt}
	epochAnswered := message.Epoch == epoch || message.Epoch == epoch+1
	for _, item := range message.Items {
		if item.Slot < 0 || item.Slot >= len(node.grants) {
			continue
		}
		grant := &node.grants[item.Slot]
		leased := now < grant.until && grant.holder != from
		if leased || !epochAnswered || node.isOutdated(now, grant, from, message.Kind, item.Ballot) {
			rejected.Items = append(rejected.Items, node.rejection(now, item.Slot, leased))
			continue
		}
		node.recordGrant(now, grant, from, message.Kind, item.Ballot)
		granted.Items = append(granted.Items, SlotBallot{Slot: item.Slot, Ballot: item.Ballot})
	}
	var answers []Message
	for _, answer := range []Message{granted, rejected} {
		if len(answer.Items) > 0 {
			answers = append(answers, answer)
		}
	}
	return answers
}

// isOutdated reports whether a request must be rejected because the voter has promised or granted a higher ballot, or
// because the ballot may fall under a promise that was made before a restart.
func (node *Node) isOutdated(now int64, grant *slotGrant, from Instance, kind MessageKind, ballot uint64) bool {
	outdated := ballot < grant.promisedBallot || ballot == grant.promisedBallot && grant.promisedTo != from
	if kind == Prepare {
		// Promises made before a restart are not remembered. The floor rejects the ballots that were known when
		// this node began to grant leases, so that such a promise is not broken.
		return outdated || ballot <= node.promiseFloor || ballot <= grant.ballot
	}
	if ballot >= grant.ballot && now-grant.promisedAt >= node.config.LeaseDuration {
		// A promise that led to no lease within a lease duration no longer binds. Otherwise this voter would reject
		// the slot's holder for as long as the holder keeps its ballot.
		return false
	}
	return outdated
}

// rejection returns the item of a Reject for one slot: the ballot that the sender has to exceed and, if the slot
// is leased to another instance, the holder and the remaining time.
func (node *Node) rejection(now int64, slot int, leased bool) SlotBallot {
	grant := &node.grants[slot]
	item := SlotBallot{Slot: slot, Ballot: max(grant.promisedBallot, grant.ballot, node.promiseFloor)}
	if leased {
		item.Holder, item.Remaining = grant.holder, grant.until-now
	}
	return item
}

// recordGrant records that this voter promises a ballot to an instance (for a Prepare) or grants it a lease under the
// ballot (for a Propose).
func (node *Node) recordGrant(now int64, grant *slotGrant, to Instance, kind MessageKind, ballot uint64) {
	if kind == Prepare || ballot >= grant.promisedBallot {
		grant.promisedBallot = max(grant.promisedBallot, ballot)
		grant.promisedTo, grant.promisedAt = to, now
	}
	if kind == Propose {
		grant.holder, grant.ballot = to, ballot
		grant.until = now + node.config.LeaseDuration
		node.ObserveBallot(ballot)
	}
}

// endSilence sets the promise floor once the voter has been running for Config.RestartSilence, in which it grants
// nothing. Promises made before the restart are not remembered, so from then on the voter promises only ballots above
// all those known at that moment.
func (node *Node) endSilence(now int64) {
	if node.promiseFloor == 0 && now >= node.grantsFrom {
		node.promiseFloor = max(node.highestBallot, 1)
	}
}

// SilentUntil returns until when this node grants nothing as a voter after its start. It may be in the past.
func (node *Node) SilentUntil() int64 { return node.grantsFrom }

// revokeLease forgets a lease that this voter granted, because its holder released it. It raises the slot's ballots,
// so that a Propose with the old ballot that arrives late is rejected.
func (node *Node) revokeLease(slot int, from Instance, ballot uint64) {
	grant := &node.grants[slot]
	if grant.holder != from || grant.ballot != ballot {
		return
	}
	grant.holder, grant.ballot, grant.until = Instance{}, ballot+1, 0
	grant.promisedBallot = max(grant.promisedBallot, ballot+1)
}

// receiveRelease ends leases and attempts that another instance has released. If this node does not hold or request
// the slot itself, it schedules its own attempt.
func (node *Node) receiveRelease(now int64, from Instance, message Message) {
	for _, item := range message.Items {
		if item.Slot < 0 || item.Slot >= len(node.grants) {
			continue
		}
		node.revokeLease(item.Slot, from, item.Ballot)
		node.ObserveBallot(item.Ballot)
		holding := &node.holdings[item.Slot]
		if holding.held || holding.ballot != 0 || node.releasing {
			continue
		}
		holding.busyUntil, holding.freeSince, holding.attemptAt = 0, now, now
		if item.Holder.Name != node.config.Self.Name {
			// The successor that the message names requests the slot first.
			holding.attemptAt = now + node.turnDelay(item.Slot)
		}
	}
	node.requestFreeSlots(now)
}
