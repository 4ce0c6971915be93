package lease

import (
	"slices"

	"tealpath/internal/cluster/timing"
)

// These constants decide which candidates request a free slot, and when. The unit of those whose names end in Renewals
// is one renewal interval. A slot's candidates other than the assigned one request it one after another, in descending
// order of their scores for the slot; see turnDelay.
const (
	ticksPerRenewal = 8  // number of ticks (runs of Node.Tick) in one renewal interval
	steadyRenewals  = 2  // how long the candidates must be unchanged before this node hands slots over
	transferDivisor = 8  // a node hands over at most 1 + slots/transferDivisor slots in one renewal interval
	turnsPerRenewal = 2  // number of candidates whose turns start within one renewal interval
	maxTurnRenewals = 2  // longest wait for a turn, in renewal intervals, without the extra wait beyond nearRanks
	nearRanks       = 4  // number of candidates, the best-ranked ones, that have no extra wait
	farRankRenewals = 2  // extra wait, in renewal intervals, for each rank beyond nearRanks
	maxFarRenewals  = 60 // longest extra wait, in renewal intervals
)

// updateFreeSlots updates freeSince of each slot, and schedules an attempt for each slot that has become free. A slot
// counts as free if this node does not hold it, has granted no lease on it that still lasts, and knows of no other
// holder.
func (node *Node) updateFreeSlots(now int64) {
	isVoter := slices.Contains(node.voterNames, node.config.Self.Name) && now >= node.grantsFrom
	for slot := range node.holdings {
		holding := &node.holdings[slot]
		granted := isVoter && now < node.grants[slot].until
		switch {
		case holding.held || now < holding.busyUntil || granted:
			holding.freeSince = timing.Never
		case !timing.Happened(holding.freeSince):
			holding.freeSince, holding.attemptAt = now, now+node.turnDelay(slot)
		}
	}
}

// assignedName returns the name of the candidate that a slot is assigned to. There must be candidates.
func (node *Node) assignedName(slot int) string { return node.candidates[node.assigned[slot]].Name }

// turnDelay returns how long, in ns, this node waits before it requests a free slot, so that candidates with a higher
// score for the slot can request it first. The wait is 0 if the slot is assigned to this node or there are no
// candidates; otherwise a part of it is random.
func (node *Node) turnDelay(slot int) int64 {
	if node.assigned == nil || node.assignedName(slot) == node.config.Self.Name {
		return 0
	}
	interval := node.config.RenewInterval
	behind := int64(1 + rank(slot, node.candidates, node.config.Self.Name))
	delay := min(behind*interval/turnsPerRenewal, maxTurnRenewals*interval)
	far := behind - nearRanks
	if far <= 0 {
		return delay + node.random(interval/turnsPerRenewal)
	}
	// A candidate learns that a slot is held only by requesting it. If every candidate did so in each round, the
	// number of messages would grow with the square of the number of candidates. So candidates wait longer the
	// farther down the ranking they are.
	delay += min(far*farRankRenewals, maxFarRenewals) * interval
	return delay + node.random(farRankRenewals*interval)
}

// requestFreeSlots abandons attempts that got no quorum within a renewal interval, and requests the free slots for
// which this node's turn has come.
func (node *Node) requestFreeSlots(now int64) {
	if node.releasing || node.assigned == nil {
		return
	}
	var items []SlotBallot
	for slot := range node.holdings {
		holding := &node.holdings[slot]
		if holding.ballot != 0 && !holding.held && now-holding.preparedAt >= node.config.RenewInterval {
			node.abandonAttempt(now, slot)
		}
		if holding.ballot != 0 || !timing.Happened(holding.freeSince) || now < holding.attemptAt {
			continue
		}
		holding.startAttempt(now, node.nextBallot())
		items = append(items, SlotBallot{Slot: slot, Ballot: holding.ballot})
	}
	if len(items) > 0 {
		node.requestVotes(now, Prepare, items)
		// This must follow the votes: otherwise this node's own promise floor could rise to the ballot that it is
		// about to request, and its voter would reject that ballot.
		node.ObserveBallot(items[0].Ballot)
	}
}

// startAttempt records a new attempt to acquire the slot under a ballot, and clears the votes of the previous attempt.
// It sends nothing.
func (holding *slotHolding) startAttempt(now int64, ballot uint64) {
	holding.ballot, holding.preparedAt = ballot, now
	holding.promises, holding.rejections, holding.proposing = 0, 0, false
	for voter := range holding.acceptedSentAt {
		holding.acceptedSentAt[voter] = timing.Never
	}
}

// abandonAttempt tells the voters that this node's attempt for a slot is over, and schedules the next one after a
// random wait of up to one tick.
func (node *Node) abandonAttempt(now int64, slot int) {
	node.releaseSlot(slot, "")
	node.holdings[slot].attemptAt = now + 1 + node.random(node.config.RenewInterval/ticksPerRenewal)
}
