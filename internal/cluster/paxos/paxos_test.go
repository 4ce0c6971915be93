package paxos

import "testing"

func TestMajority(t *testing.T) {
	for voters, want := range map[int]int{1: 1, 2: 2, 3: 2, 4: 3, 5: 3, 64: 33} {
		if got := Majority(voters); got != want {
			t.Errorf("Majority(%d) = %d, want %d", voters, got, want)
		}
	}
}

func TestNextBallotIsAboveHighestAndWallClock(t *testing.T) {
	const proposerID = 0xabcd
	for _, test := range []struct {
		name    string
		highest uint64
		wallMS  int64
		counter uint64
	}{
		{"first", 0, 0, 1},
		{"wall clock ahead", 7 << ProposerIDBits, 1000, 1000},
		{"wall clock behind", 2000<<ProposerIDBits | 5, 1000, 2001},
		{"wall clock before 1970", 7 << ProposerIDBits, -1, 8},
	} {
		t.Run(test.name, func(t *testing.T) {
			ballot := NextBallot(test.highest, test.wallMS, proposerID)
			if Counter(ballot) != test.counter || ProposerID(ballot) != proposerID || ballot <= test.highest {
				t.Errorf("ballot %#x after %#x, want a higher one with counter %d and proposer ID %#x",
					ballot, test.highest, test.counter, proposerID)
			}
		})
	}
}

func TestLatestMajority(t *testing.T) {
	for _, test := range []struct {
		name     string
		instants []int64
		voters   int
		latest   int64
		ok       bool
	}{
		{"no instants", nil, 3, 0, false},
		{"too few", []int64{9}, 3, 0, false},
		{"two of three", []int64{9, 4}, 3, 4, true},
		{"three of three", []int64{9, 4, 7}, 3, 7, true},
		{"half of four", []int64{1, 2}, 4, 0, false},
		{"four of four", []int64{4, 3, 2, 1}, 4, 2, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			latest, ok := LatestMajority(test.instants, test.voters)
			if latest != test.latest || ok != test.ok {
				t.Errorf("LatestMajority = %d, %v, want %d, %v", latest, ok, test.latest, test.ok)
			}
		})
	}
}
