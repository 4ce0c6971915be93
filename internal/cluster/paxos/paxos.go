// Package paxos has what the protocols of a cluster share: ballots and majorities, as in Lamport, "Paxos Made
// Simple" (2001), and the end of a lease that a majority has granted, as in PaxosLease (Trencséni, Gazsó and
// Reinhardt, 2012).
//
//   - A voter is an instance whose answer counts (an acceptor in Lamport's paper).
//   - A quorum is a set of voters any two of which share a voter: here a majority.
//   - A ballot is the number of an attempt. A voter that has promised a ballot takes part in none below it.
//   - An epoch, or term, numbers the sets of voters.
package paxos

import "slices"

// MarkBits is how many low bits of a ballot are a mark of its proposer, so that no two proposers draw the
// same ballot.
const MarkBits = 16

// MaxWallAheadMS is how far the counter of a ballot may lie ahead of the own wall clock, ms. Heeding a ballot
// of a far future would use all ballots up; wall clocks are off by far less than a year.
const MaxWallAheadMS = 365 * 24 * 3600 * 1000

// NextBallot returns a ballot above the highest one known. The wall clock, ms since 1970, lifts it over those
// that all may have forgotten; mark is the proposer's, below 1<<MarkBits.
func NextBallot(highest uint64, wallMS int64, mark uint64) uint64 {
	counter := max(Counter(highest)+1, uint64(max(wallMS, 0)))
	return counter<<MarkBits | mark
}

// Counter is a ballot without its proposer's mark.
func Counter(ballot uint64) uint64 { return ballot >> MarkBits }

// Mark is the part of a hash that marks a proposer's ballots.
func Mark(hash uint64) uint64 { return hash & (1<<MarkBits - 1) }

// Majority is the least number that is more than half of a number of voters.
func Majority(voters int) int { return voters/2 + 1 }

// LatestMajority returns the latest instant that a majority of the voters has reached or passed; ok is false
// if too few have an instant. at has one instant for each voter that has one; it is sorted.
func LatestMajority(at []int64, voters int) (latest int64, ok bool) {
	majority := Majority(voters)
	if len(at) < majority {
		return 0, false
	}
	slices.Sort(at)
	return at[len(at)-majority], true
}
