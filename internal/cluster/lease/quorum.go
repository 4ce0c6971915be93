package lease

import (
	"fmt"
	"math"
	"slices"

	"tealpath/internal/cluster/paxos"
	"tealpath/internal/cluster/timing"
)

// EpochUnsettledError reports that the next voters can't take effect yet. A quorum must first have been at the current
// epoch for Config.RestartSilence, so that all leases granted in the previous epoch have ended.
type EpochUnsettledError struct {
	Epoch    uint64 // epoch of the voters in force
	SettleMS int64  // how long a quorum must have been at Epoch, ms
}

// Error returns a text with the epoch and the time for which a majority must have been at it.
func (err *EpochUnsettledError) Error() string {
	return fmt.Sprintf("a majority must have been at epoch %d for %d ms before the voters can change",
		err.Epoch, err.SettleMS)
}

// UpdateVoters puts the voters of the next epoch in force. It returns an *EpochUnsettledError if the leases of the
// previous epoch may still last, and a *ConfigError if the voters are invalid or don't follow those in force. It does
// nothing if the voters are already in force.
func (node *Node) UpdateVoters(now int64, voters Voters) error {
	present := node.config.Voters
	if err := voters.Check(); err != nil {
		return err
	}
	switch {
	case voters.Epoch == present.Epoch && slices.Equal(voters.Current, present.Current) &&
		slices.Equal(voters.Previous, present.Previous):
		return nil
	case voters.Epoch != present.Epoch+1:
		return configError("voters", "voters of epoch %d can't follow those of epoch %d: the next epoch must be %d",
			voters.Epoch, present.Epoch, present.Epoch+1)
	case countDifferent(voters.Previous, present.Current) > 0:
		return configError("voters", "voters of epoch %d name the previous voters %v, but those in force are %v",
			voters.Epoch, voters.Previous, present.Current)
	case !timing.Happened(node.epochSettledAt) || now-node.epochSettledAt < node.config.RestartSilence():
		return &EpochUnsettledError{Epoch: present.Epoch, SettleMS: timing.Milliseconds(node.config.RestartSilence())}
	}
	node.enterEpoch(voters)
	return nil
}

// enterEpoch replaces the voters in force. Leases and attempts of the previous epoch end, since acceptances by the
// previous voters no longer count.
func (node *Node) enterEpoch(voters Voters) {
	node.config.Voters = voters
	node.epochSettledAt = timing.Never
	node.indexVoters(voters)
	for slot := range node.holdings {
		holding := &node.holdings[slot]
		if holding.held {
			node.loseLease(slot, "the voters have changed")
			node.releaseSlot(slot, "")
		}
		holding.ballot = 0
		holding.acceptedSentAt = make([]int64, len(node.voterNames))
	}
}

// indexVoters gives each voter of both sets an index, and discards what was recorded about the voters in force until
// now: their epochs, and when they answered.
func (node *Node) indexVoters(voters Voters) {
	node.voterNames, node.voterSets = nil, nil
	for _, set := range [][]string{voters.Current, voters.Previous} {
		if len(set) == 0 {
			continue
		}
		var indexes []int
		for _, name := range set {
			index := slices.Index(node.voterNames, name)
			if index < 0 {
				index = len(node.voterNames)
				node.voterNames = append(node.voterNames, name)
			}
			indexes = append(indexes, index)
		}
		node.voterSets = append(node.voterSets, indexes)
	}
	node.voterEpochs = make([]uint64, len(node.voterNames))
	node.voterHeardAt = make([]int64, len(node.voterNames))
	for voter := range node.voterHeardAt {
		node.voterHeardAt[voter] = timing.Never
	}
}

// ObserveEpoch records that an instance uses the voters of an epoch. It does nothing if the instance is not a voter.
func (node *Node) ObserveEpoch(name string, epoch uint64) {
	if voter := slices.Index(node.voterNames, name); voter >= 0 {
		node.voterEpochs[voter] = epoch
	}
}

// settleEpoch updates epochSettledAt: since when a quorum has been at this node's epoch or a later one.
func (node *Node) settleEpoch(now int64) {
	epoch := node.config.Voters.Epoch
	settled := node.isQuorum(func(voter int) bool {
		return node.isSelf(voter) || node.voterEpochs[voter] >= epoch
	})
	switch {
	case !settled:
		node.epochSettledAt = timing.Never
	case !timing.Happened(node.epochSettledAt):
		node.epochSettledAt = now
	}
}

// isSelf reports whether the voter with this index is this instance.
func (node *Node) isSelf(voter int) bool { return node.voterNames[voter] == node.config.Self.Name }

// isQuorum reports whether the voters for which counts returns true are a majority of each set of voters.
func (node *Node) isQuorum(counts func(voter int) bool) bool {
	for _, set := range node.voterSets {
		count := 0
		for _, voter := range set {
			if counts(voter) {
				count++
			}
		}
		if count < paxos.Majority(len(set)) {
			return false
		}
	}
	return true
}

// heldUntil returns when this node's lease on a slot ends, or 0 if no quorum has accepted a proposal for the slot. The
// lease starts at the latest instant T such that a majority of every set has accepted a proposal sent at T or later.
func (node *Node) heldUntil(holding *slotHolding) int64 {
	sentAt := int64(math.MaxInt64)
	for _, set := range node.voterSets {
		var accepted []int64
		for _, voter := range set {
			if timing.Happened(holding.acceptedSentAt[voter]) {
				accepted = append(accepted, holding.acceptedSentAt[voter])
			}
		}
		latest, ok := paxos.LatestMajority(accepted, len(set))
		if !ok {
			return 0
		}
		sentAt = min(sentAt, latest)
	}
	return sentAt + node.config.HoldDuration()
}

// HasQuorum reports whether a quorum of the voters answered this node within the last LeaseDuration. If this node is a
// voter, it counts as one that answered.
func (node *Node) HasQuorum(now int64) bool {
	return node.isQuorum(func(voter int) bool {
		heardAt := node.voterHeardAt[voter]
		return node.isSelf(voter) || timing.Happened(heardAt) && now-heardAt <= node.config.LeaseDuration
	})
}

// Voters returns the voters in force at this node.
func (node *Node) Voters() Voters { return node.config.Voters }
