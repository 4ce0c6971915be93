package lease

// vote answers a Prepare or a Propose as a voter. A slot goes to one holder at a time, whatever ballots say:
// that clause is the change to PaxosLease, and what two holders can never pass (docs/duties.md).
func (node *Node) vote(now int64, from Instance, message Message) []Message {
	if now < node.grantsFrom {
		return nil // who knows what was granted before the start
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
		current := &node.grants[item.Slot]
		leased := now < current.until && current.holder != from
		if leased || !epochAnswered || node.isOutdated(now, current, from, message.Kind, item.Ballot) {
			rejected.Items = append(rejected.Items, node.rejection(now, item.Slot, leased))
			continue
		}
		node.grant(now, current, from, message.Kind, item.Ballot)
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

// isOutdated reports whether a ballot lies behind what the voter has promised or granted.
func (node *Node) isOutdated(now int64, current *grant, from Instance, kind MessageKind, ballot uint64) bool {
	outdated := ballot < current.promisedBallot || ballot == current.promisedBallot && current.promisedTo != from
	if kind == Prepare {
		// The floor is for ballots that were known when the silence ended: the promises made before it are
		// forgotten.
		return outdated || ballot <= node.minBallot || ballot <= current.ballot
	}
	if ballot >= current.ballot && now-current.promisedAt >= node.config.LeaseDuration {
		return false // or a promise that nothing came of would keep a voter from its slot's holder for a whole tenure
	}
	return outdated
}

// rejection returns the ballot that the sender has to exceed and, where the slot is leased to another
// instance, the holder and the remaining time.
func (node *Node) rejection(now int64, slot int, leased bool) SlotBallot {
	current := &node.grants[slot]
	item := SlotBallot{Slot: slot, Ballot: max(current.promisedBallot, current.ballot, node.minBallot)}
	if leased {
		item.Holder, item.Remaining = current.holder, current.until-now
	}
	return item
}

// grant records a promise or, for a Propose, a lease.
func (node *Node) grant(now int64, current *grant, to Instance, kind MessageKind, ballot uint64) {
	if kind == Prepare || ballot >= current.promisedBallot {
		current.promisedBallot = max(current.promisedBallot, ballot)
		current.promisedTo, current.promisedAt = to, now
	}
	if kind == Propose {
		current.holder, current.ballot = to, ballot
		current.until = now + node.config.LeaseDuration
		node.ObserveBallot(ballot)
	}
}

// endSilence ends the silence of a start. Promises made before the start are forgotten, so from here on only
// ballots above all that were heard of until now are promised.
func (node *Node) endSilence(now int64) {
	if node.minBallot == 0 && now >= node.grantsFrom {
		node.minBallot = max(node.highest, 1)
	}
}

// SilentUntil is until when this voter grants nothing; the silence is over if that is past.
func (node *Node) SilentUntil() int64 { return node.grantsFrom }

// revoke ends a lease that its holder released. A late Propose under its ballot is not accepted any more.
func (node *Node) revoke(slot int, from Instance, ballot uint64) {
	current := &node.grants[slot]
	if current.holder != from || current.ballot != ballot {
		return
	}
	current.holder, current.ballot, current.until = Instance{}, ballot+1, 0
	current.promisedBallot = max(current.promisedBallot, ballot+1)
}

// receiveRelease ends the leases that a holder has released, and asks for the slots when it is this
// instance's turn.
func (node *Node) receiveRelease(now int64, from Instance, message Message) {
	for _, item := range message.Items {
		if item.Slot < 0 || item.Slot >= len(node.grants) {
			continue
		}
		node.revoke(item.Slot, from, item.Ballot)
		node.ObserveBallot(item.Ballot)
		own := &node.holdings[item.Slot]
		if own.held || own.ballot != 0 || node.releasing {
			continue
		}
		own.busyUntil, own.freeSince, own.tryAt = 0, now, now
		if item.Holder.Name != node.config.Self.Name {
			own.tryAt = now + node.turnDelay(item.Slot) // the one it is meant for comes first
		}
	}
	node.tryFree(now)
}
