package lease

import (
	"errors"
	"fmt"
	"testing"
)

func TestNodesAcquireAllSlotsAfterRestartSilence(t *testing.T) {
	for _, count := range []int{1, 3, 5} {
		cluster := newCluster(t, count)
		cluster.run(cluster.leaseDuration)
		if got := len(cluster.holders()); got != 0 {
			t.Errorf("%d instances: %d slots have a holder during the restart silence, want 0", count, got)
		}
		cluster.run(cluster.leaseDuration)
		cluster.checkAllHeld(fmt.Sprintf("with %d instances", count))
		for _, name := range cluster.names {
			if held, fair := len(cluster.heldBy(name)), clusterSlots/count; held < fair-1 || held > fair+1 {
				t.Errorf("%d instances: %s holds %d slots, want within 1 of %d", count, name, held, fair)
			}
		}
		cluster.checkSafety()
	}
}

func TestTakeoverWithinLeaseAndTwoRenewals(t *testing.T) {
	cluster := newCluster(t, 5)
	cluster.run(4 * cluster.leaseDuration)
	for round := range 10 {
		victim := cluster.names[round%5]
		lost := cluster.heldBy(victim)
		at := cluster.now
		cluster.kill(victim)
		cluster.run(cluster.leaseDuration + 2*cluster.leaseDuration/3)
		holders := cluster.holders()
		for _, slot := range lost {
			if holders[slot] == "" {
				t.Errorf("round %d: slot %d has no holder %d ms after %s was killed",
					round, slot, (cluster.now-at)/ms, victim)
			}
		}
		cluster.start(victim)
		cluster.run(4 * cluster.leaseDuration)
		if got := len(cluster.heldBy(victim)); got < 2 || got > 4 {
			t.Errorf("round %d: %s holds %d slots after its restart, want 2 to 4", round, victim, got)
		}
	}
	cluster.checkSafety()
}

func TestReleaseAllTransfersAtOnce(t *testing.T) {
	cluster := newCluster(t, 3)
	cluster.run(4 * cluster.leaseDuration)
	cluster.nodes["n1"].ReleaseAll([]Candidate{{"n0", 1}, {"n2", 1}})
	cluster.send("n1")
	cluster.frozen["n1"] = true // the cluster counts a paused node as dead, so n1 is not among the candidates
	cluster.updateCandidates()
	cluster.frozen["n1"] = false
	cluster.run(cluster.leaseDuration / 3)
	if got := len(cluster.heldBy("n0")) + len(cluster.heldBy("n2")); got != clusterSlots {
		t.Errorf("the remaining nodes hold %d of 16 slots one renewal interval after ReleaseAll, want all", got)
	}
	cluster.checkSafety()
}

// After a network partition, holders in a minority must lose their leases before the majority acquires the slots.
func TestOnlyThePartitionWithAMajorityHolds(t *testing.T) {
	for _, test := range []struct {
		name     string
		count    int
		side     map[string]int
		majority int // side that has a majority of the voters; -1: neither has
	}{
		{"2|3", 5, map[string]int{"n0": 0, "n1": 0, "n2": 1, "n3": 1, "n4": 1}, 1},
		{"1|1|3", 5, map[string]int{"n0": 0, "n1": 2, "n2": 1, "n3": 1, "n4": 1}, 1},
		{"2|2", 4, map[string]int{"n0": 0, "n1": 0, "n2": 1, "n3": 1}, -1},
	} {
		t.Run(test.name, func(t *testing.T) {
			cluster := newCluster(t, test.count)
			cluster.run(4 * cluster.leaseDuration)
			cluster.cut = func(from, to string) bool { return test.side[from] != test.side[to] }
			for name, node := range cluster.nodes { // each node sees only the nodes on its side
				var side []Candidate
				for _, other := range cluster.names {
					if test.side[other] == test.side[name] {
						side = append(side, Candidate{other, 1})
					}
				}
				node.SetCandidates(cluster.clock(name), side)
			}
			cluster.run(3 * cluster.leaseDuration)
			holders := cluster.holders()
			for slot, holder := range holders {
				if test.side[holder] != test.majority {
					t.Errorf("slot %d is held by %s on side %d, which has no majority", slot, holder, test.side[holder])
				}
			}
			if test.majority >= 0 && len(holders) != clusterSlots {
				t.Errorf("the side with a majority holds %d of 16 slots, want all", len(holders))
			}
			if minority := cluster.nodes["n0"]; minority.HasQuorum(cluster.clock("n0")) {
				t.Error("HasQuorum is true on n0, which is on a side without a majority")
			}
			cluster.cut = nil
			cluster.updateCandidates()
			cluster.run(4 * cluster.leaseDuration)
			cluster.checkAllHeld("after the partition has healed")
			cluster.checkSafety()
		})
	}
}

func TestHolderThatReceivesNothingLosesItsLeases(t *testing.T) {
	cluster := newCluster(t, 3)
	cluster.run(4 * cluster.leaseDuration)
	cluster.cut = func(from, to string) bool { return to == "n0" } // n0 sends but receives nothing
	cluster.run(3 * cluster.leaseDuration)
	if got := cluster.heldBy("n0"); len(got) != 0 {
		t.Errorf("n0, which receives nothing, holds slots %v, want none", got)
	}
	cluster.checkSafety()
}

func TestDelayLongerThanALeaseIsSafe(t *testing.T) {
	cluster := newCluster(t, 3)
	cluster.run(4 * cluster.leaseDuration)
	cluster.delay = func(from, to string) int64 {
		if from == "n0" || to == "n0" {
			return 4 * cluster.leaseDuration / 3
		}
		return 2 * ms
	}
	cluster.run(6 * cluster.leaseDuration)
	cluster.delay = nil
	cluster.run(4 * cluster.leaseDuration)
	cluster.checkAllHeld("after the delay has ended")
	cluster.checkSafety()
}

func TestPausedHolderHoldsNothingWhenItResumes(t *testing.T) {
	cluster := newCluster(t, 3)
	cluster.run(4 * cluster.leaseDuration)
	before := cluster.heldBy("n0")
	cluster.frozen["n0"] = true
	cluster.run(3 * cluster.leaseDuration)
	node := cluster.nodes["n0"]
	for _, slot := range before {
		if _, until, ok := node.Holds(cluster.clock("n0"), slot); ok {
			t.Errorf("slot %d is held when n0 resumes: its lease ends at %d ns, its clock reads %d ns",
				slot, until, cluster.clock("n0"))
		}
	}
	cluster.frozen["n0"] = false
	cluster.updateCandidates()
	cluster.run(4 * cluster.leaseDuration)
	cluster.checkAllHeld("in the end")
	cluster.checkSafety()
}

// A majority of the voters restarts, one after another within one lease duration. They no longer know what they
// granted, so they must not grant a lease to a second holder.
func TestMajorityThatRestartsWithinALeaseIsSafe(t *testing.T) {
	cluster := newCluster(t, 5)
	cluster.run(4 * cluster.leaseDuration)
	for _, name := range []string{"n1", "n2", "n3"} {
		cluster.start(name)
		cluster.run(cluster.leaseDuration / 5)
	}
	cluster.run(4 * cluster.leaseDuration)
	cluster.checkAllHeld("in the end")
	cluster.checkSafety()
}

func TestWallClocksSetBackAreSafe(t *testing.T) {
	cluster := newCluster(t, 3)
	cluster.run(4 * cluster.leaseDuration)
	cluster.wallMS -= 3600e3 // wall clock of all nodes; ballots must still grow
	cluster.start("n1")
	cluster.run(4 * cluster.leaseDuration)
	cluster.wallMS += 7200e3
	cluster.start("n2")
	cluster.run(4 * cluster.leaseDuration)
	for _, name := range cluster.names {
		cluster.start(name)
	}
	cluster.run(3 * cluster.leaseDuration)
	cluster.checkAllHeld("in the end")
	cluster.checkSafety()
}

func TestVotersChangeByOneAtATime(t *testing.T) {
	cluster := newCluster(t, 4)
	old := Voters{Epoch: 1, Current: []string{"n0", "n1", "n2"}}
	next := Voters{Epoch: 2, Current: []string{"n0", "n1", "n2", "n3"}, Previous: old.Current}
	for _, node := range cluster.nodes {
		node.enterEpoch(old)
	}
	cluster.run(4 * cluster.leaseDuration)
	for _, invalid := range []Voters{
		{Epoch: 3, Current: next.Current, Previous: next.Previous},
		{Epoch: 2, Current: next.Current, Previous: next.Current},
		{Epoch: 2, Current: []string{"n0", "n4", "n5"}, Previous: old.Current},
	} {
		var configError *ConfigError
		err := cluster.nodes["n0"].UpdateVoters(cluster.clock("n0"), invalid)
		if !errors.As(err, &configError) || configError.Setting != "voters" {
			t.Errorf("UpdateVoters(%+v) = %v, want a *ConfigError for voters", invalid, err)
		}
	}
	for _, name := range cluster.names {
		if err := cluster.nodes[name].UpdateVoters(cluster.clock(name), next); err != nil {
			t.Fatalf("UpdateVoters on %s: %v", name, err)
		}
		cluster.run(cluster.leaseDuration / 2)
	}
	third := Voters{Epoch: 3, Current: []string{"n1", "n2", "n3"}, Previous: next.Current}
	var unsettled *EpochUnsettledError
	err := cluster.nodes["n0"].UpdateVoters(cluster.clock("n0"), third)
	if !errors.As(err, &unsettled) || unsettled.Epoch != 2 {
		t.Errorf("UpdateVoters before epoch 2 is settled: error %v, want *EpochUnsettledError for epoch 2", err)
	}
	cluster.run(4 * cluster.leaseDuration)
	for _, name := range cluster.names {
		if err := cluster.nodes[name].UpdateVoters(cluster.clock(name), third); err != nil {
			t.Fatalf("UpdateVoters on %s: %v", name, err)
		}
	}
	cluster.run(3 * cluster.leaseDuration)
	cluster.checkAllHeld("after two changes of the voters")
	cluster.checkSafety()
}
