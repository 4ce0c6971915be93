package lease

import (
	"fmt"
	"math"
	"slices"

	"tealpath/internal/cluster/paxos"
	"tealpath/internal/cluster/timing"
)

// EpochUnsettledError is a set of voters that can't be taken yet: a quorum must have been at the present
// epoch for the silence of a restart, so that all that was granted at the epoch before has ended.
type EpochUnsettledError struct {
	Epoch    uint64
	SettleMS int64
}

// Error names the epoch and the time.
func (err *EpochUnsettledError) Error() string {
	return fmt.Sprintf("a majority must have been at epoch %d for %d ms first", err.Epoch, err.SettleMS)
}

// UpdateVoters takes the next set of voters, one epoch on. It returns an *EpochUnsettledError where that has
// to wait, and a *ConfigError where the set can't follow the present one.
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
		return configError("voters", "voters of epoch %d can't follow those of epoch %d", voters.Epoch, present.Epoch)
	case countDifferent(voters.Previous, present.Current) > 0:
		return configError("voters", "voters of epoch %d name others before them than are in force", voters.Epoch)
	case !timing.Happened(node.epochSettledAt) || now-node.epochSettledAt < node.config.RestartSilence():
		return &EpochUnsettledError{Epoch: present.Epoch, SettleMS: timing.Milliseconds(node.config.RestartSilence())}
	}
	node.enterEpoch(voters)
	return nil
}

// enterEpoch puts a set of voters into force. Acceptances of voters of another epoch do not count any
// more.
func (node *Node) enterEpoch(voters Voters) {
	node.config.Voters = voters
	node.epochSettledAt = timing.Never
	node.indexVoters(voters)
	for slot := range node.holdings {
		own := &node.holdings[slot]
		if own.held {
			node.lose(slot, "the voters have changed")
			node.release(slot, "")
		}
		own.ballot = 0
		own.acceptedSentAt = make([]int64, len(node.voterNames))
	}
}

// indexVoters gives each voter of either set an index.
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

// ObserveEpoch notes at which epoch an instance is.
func (node *Node) ObserveEpoch(name string, epoch uint64) {
	if voter := slices.Index(node.voterNames, name); voter >= 0 {
		node.voterEpochs[voter] = epoch
	}
}

// settleEpoch notes since when a quorum has been at the own epoch.
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

// isSelf reports whether a voter is this instance.
func (node *Node) isSelf(voter int) bool { return node.voterNames[voter] == node.config.Self.Name }

// isQuorum reports whether the voters that count are a majority of every set.
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

// heldUntil is when the own lease on a slot ends, or 0 if no quorum has accepted it. What counts is the
// latest sending that a majority of every set accepted, or a later one.
func (node *Node) heldUntil(own *holding) int64 {
	sentAt := int64(math.MaxInt64)
	for _, set := range node.voterSets {
		var accepted []int64
		for _, voter := range set {
			if timing.Happened(own.acceptedSentAt[voter]) {
				accepted = append(accepted, own.acceptedSentAt[voter])
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

// HasQuorum reports whether a quorum of the voters, the own vote included, answered within the last lease.
func (node *Node) HasQuorum(now int64) bool {
	return node.isQuorum(func(voter int) bool {
		heardAt := node.voterHeardAt[voter]
		return node.isSelf(voter) || timing.Happened(heardAt) && now-heardAt <= node.config.LeaseDuration
	})
}

// Voters is the set in force.
func (node *Node) Voters() Voters { return node.config.Voters }
