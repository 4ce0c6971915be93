// Package paxos implements what the protocols of a cluster have in common: ballots and majorities, as in Lamport,
// "Paxos Made Simple" (2001), and the end of a lease granted by a majority, as in PaxosLease (Trencséni, Gazsó and
// Reinhardt, 2012).
//
//   - A voter is an instance that takes part in votes (an acceptor in Lamport's paper).
//   - A quorum is a set of voters that shares at least one voter with every other quorum; here it is a majority.
//   - A ballot is the number of one attempt to win the votes of a quorum. A voter that has promised a ballot rejects
//     all lower ballots.
//   - An epoch, or term, is the number of a set of voters.
package paxos

import "slices"

// ProposerIDBits is the number of low bits of a ballot that hold the ID of its proposer. They keep two proposers
// from using the same ballot.
const ProposerIDBits = 16

// MaxWallAheadMS is the number of ms by which the counter of a ballot may be ahead of the local wall clock; it is one
// year. A ballot that is much farther ahead would use up the ballots above it, and wall clocks differ by far less
// than a year.
const MaxWallAheadMS = 365 * 24 * 3600 * 1000

// NextBallot returns a ballot above the highest one known. Its counter is at least the wall clock, wallMS in ms since
// 1970, so that it is above ballots that no instance remembers after a restart. proposerID must be below
// 1<<ProposerIDBits.
func NextBallot(highest uint64, wallMS int64, proposerID uint64) uint64 {
	counter := max(Counter(highest)+1, uint64(max(wallMS, 0)))
	return counter<<ProposerIDBits | proposerID
}

// Counter returns a ballot without its proposer's ID.
func Counter(ballot uint64) uint64 { return ballot >> ProposerIDBits }

// ProposerID returns the low ProposerIDBits bits of a hash that identifies a proposer.
func ProposerID(hash uint64) uint64 { return hash & (1<<ProposerIDBits - 1) }

// Majority returns the smallest number of voters that is more than half of all voters.
func Majority(voters int) int { return voters/2 + 1 }

// LatestMajority returns the latest instant for which a majority of the voters have that instant or a later one.
// instants has at most one instant per voter, and is sorted by the call. ok is false if fewer than a majority of the
// voters have an instant.
func LatestMajority(instants []int64, voters int) (latest int64, ok bool) {
	majority := Majority(voters)
	if len(instants) < majority {
		return 0, false
	}
	slices.Sort(instants)
	return instants[len(instants)-majority], true
}
