package lease

import (
	"testing"

	"tealpath/internal/cluster/paxos"
)

// reasons counts the slots of a node's status by holder and, where no holder is known, by the reason that the status
// gives.
func reasons(node *Node, now int64) map[string]int {
	count := map[string]int{}
	for _, status := range node.Slots(now) {
		if status.Holder != "" {
			count[status.Holder]++
		} else {
			count[status.Reason]++
		}
	}
	return count
}

func TestSlotsReportHolderOrReason(t *testing.T) {
	cluster := newCluster(t, 3)
	silent := "voters that have just started grant nothing for 1530 ms"
	if got := reasons(cluster.nodes["n0"], 0); got[silent] != clusterSlots {
		t.Errorf("at the start: %v, want %d slots with the reason %q", got, clusterSlots, silent)
	}
	cluster.run(4 * cluster.leaseDuration)
	for _, name := range cluster.names {
		node, now := cluster.nodes[name], cluster.clock(name)
		for slot, holder := range cluster.holders() {
			status := node.Slots(now)[slot]
			if status.Holder != holder || status.Own != (holder == name) ||
				status.Ballot != cluster.highestBallots[slot] {
				t.Errorf("slot %d on %s: status %+v, want holder %s", slot, name, status, holder)
			}
			if status.Planned != holder || status.Until <= now {
				t.Errorf("slot %d on %s: status %+v, want it planned for %s and leased beyond %d",
					slot, name, status, holder, now)
			}
		}
	}
	cluster.cut = func(from, to string) bool { return from == "n0" || to == "n0" }
	cluster.run(3 * cluster.leaseDuration)
	got := reasons(cluster.nodes["n0"], cluster.clock("n0"))
	if got["no majority of the voters answers"] != clusterSlots {
		t.Errorf("n0 without connections: %v, want %d slots without a majority", got, clusterSlots)
	}
}

// A node that is not a voter grants no leases, so it must learn the holders of slots from the voters that reject its
// requests. Otherwise its status would not show them.
func TestSlotsOfNodeThatIsNotAVoter(t *testing.T) {
	cluster := newCluster(t, 4)
	for _, node := range cluster.nodes {
		node.enterEpoch(Voters{Epoch: 1, Current: []string{"n0", "n1", "n2"}})
	}
	cluster.run(4 * cluster.leaseDuration)
	got := reasons(cluster.nodes["n3"], cluster.clock("n3"))
	if got["n3"] != len(cluster.heldBy("n3")) || got["n3"] == 0 {
		t.Errorf("n3 reports %v, but it holds %d slots, want the same number above 0", got, len(cluster.heldBy("n3")))
	}
	waiting := 0
	for _, name := range []string{"n0", "n1", "n2"} {
		waiting += got["waiting for "+name+" to request it"] + got[name]
	}
	if waiting+got["n3"]+got["this instance is requesting it"] != clusterSlots {
		t.Errorf("some slots have neither a known holder nor an expected reason: %v", got)
	}
}

// A ballot far ahead of the wall clock must be ignored, because it would use up the ballots above it. Reacquire must
// request the slot under a ballot above the one that was seen.
func TestBallotFarAheadIsIgnored(t *testing.T) {
	cluster := newCluster(t, 1)
	cluster.run(4 * cluster.leaseDuration)
	node, now := cluster.nodes["n0"], cluster.clock("n0")
	highest := node.HighestBallot()
	node.ObserveBallot(1 << 63)
	if node.HighestBallot() != highest {
		t.Errorf("the highest ballot is %x after a ballot far ahead, want %x", node.HighestBallot(), highest)
	}
	seen := highest + 1<<paxos.ProposerIDBits
	node.Reacquire(now, 3, seen)
	if ballot, _, ok := node.Holds(now, 3); !ok || ballot <= seen {
		t.Errorf("after Reacquire: held %v under ballot %x, want a ballot above %x", ok, ballot, seen)
	}
	node.Reacquire(now, 3, highest)
	if ballot, _, _ := node.Holds(now, 3); ballot <= seen {
		t.Errorf("Reacquire for a lower ballot changed the ballot to %x, want one above %x", ballot, seen)
	}
}
