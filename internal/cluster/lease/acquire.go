package lease

import (
	"slices"

	"tealpath/internal/cluster/timing"
)

// Who tries for a free slot, and when. Times are counted in renewals.
const (
	ticksPerRenewal = 8
	steadyRenewals  = 2 // for so long a slot must be assigned to another before it is handed over
	transferShare   = 8 // one in so many slots is handed over in a renewal
	turnsPerRenewal = 2 // ranks behind the assigned candidate that get their turn in one renewal
	maxTurnRenewals = 2 // until the turn of the last of those that wait in turn
	nearRanks       = 4 // ranks behind the assigned candidate that look after a slot; the rest leave it to them
	farRankRenewals = 2 // that each rank farther down waits longer
	maxFarRenewals  = 60
)

// findFree notes which slots look free.
func (node *Node) findFree(now int64) {
	isVoter := slices.Contains(node.voterNames, node.config.Self.Name) && now >= node.grantsFrom
	for slot := range node.holdings {
		own := &node.holdings[slot]
		granted := isVoter && now < node.grants[slot].until
		switch {
		case own.held || now < own.busyUntil || granted:
			own.freeSince = timing.Never
		case !timing.Happened(own.freeSince):
			own.freeSince, own.tryAt = now, now+node.turnDelay(slot)
		}
	}
}

// assignedName is the candidate that is to hold a slot; there must be candidates.
func (node *Node) assignedName(slot int) string { return node.candidates[node.assigned[slot]].Name }

// turnDelay is for how long this instance lets others try for a free slot first, with chance, ns.
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
	// A candidate learns that a slot is held only by asking. If all candidates asked in turn, messages
	// would grow with the square of their number: those far down the ranking leave it to the first, and
	// wait longer the farther down they are.
	delay += min(far*farRankRenewals, maxFarRenewals) * interval
	return delay + node.random(farRankRenewals*interval)
}

// tryFree asks for the free slots whose turn has come, and gives up tries that came to nothing.
func (node *Node) tryFree(now int64) {
	if node.releasing || node.assigned == nil {
		return
	}
	var items []SlotBallot
	for slot := range node.holdings {
		own := &node.holdings[slot]
		if own.ballot != 0 && !own.held && now-own.preparedAt >= node.config.RenewInterval {
			node.giveUp(now, slot)
		}
		if own.ballot != 0 || !timing.Happened(own.freeSince) || now < own.tryAt {
			continue
		}
		own.prepare(now, node.nextBallot())
		items = append(items, SlotBallot{Slot: slot, Ballot: own.ballot})
	}
	if len(items) > 0 {
		node.requestVotes(now, Prepare, items)
		// Not before the votes: the lowest ballot that the own voter promises must not be the one that it is asked for.
		node.ObserveBallot(items[0].Ballot)
	}
}

// prepare begins a try.
func (own *holding) prepare(now int64, ballot uint64) {
	own.ballot, own.preparedAt = ballot, now
	own.promises, own.rejections, own.proposing = 0, 0, false
	for voter := range own.acceptedSentAt {
		own.acceptedSentAt[voter] = timing.Never
	}
}

// giveUp ends a try; the next one comes after a short random wait.
func (node *Node) giveUp(now int64, slot int) {
	node.release(slot, "")
	node.holdings[slot].tryAt = now + 1 + node.random(node.config.RenewInterval/ticksPerRenewal)
}
