package lease

import (
	"testing"

	"tealpath/internal/cluster/paxos"
)

// reasons counts the slots by the reason why nobody holds them; slots with a holder count under its name.
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

func TestSlotsNameHolderAndReason(t *testing.T) {
	cluster := newCluster(t, 3)
	silent := "voters that have just started grant nothing for 1530 ms"
	if got := reasons(cluster.nodes["n0"], 0); got[silent] != clusterSlots {
		t.Errorf("at the start: %v", got)
	}
	cluster.run(4 * cluster.leaseDuration)
	for _, name := range cluster.names {
		node, now := cluster.nodes[name], cluster.clock(name)
		for slot, holder := range cluster.holders() {
			status := node.Slots(now)[slot]
			if status.Holder != holder || status.Own != (holder == name) || status.Ballot != cluster.highest[slot] {
				t.Errorf("slot %d at %s: %+v, held by %s", slot, name, status, holder)
			}
			if status.Planned != holder || status.Until <= now {
				t.Errorf("slot %d at %s: %+v at %d", slot, name, status, now)
			}
		}
	}
	cluster.cut = func(from, to string) bool { return from == "n0" || to == "n0" }
	cluster.run(3 * cluster.leaseDuration)
	got := reasons(cluster.nodes["n0"], cluster.clock("n0"))
	if got["no majority of the voters answers"] != clusterSlots {
		t.Errorf("cut off: %v", got)
	}
}

// One that is no voter knows the holders for which it was rejected.
func TestSlotsOfAnInstanceThatIsNoVoter(t *testing.T) {
	cluster := newCluster(t, 4)
	for _, node := range cluster.nodes {
		node.enterEpoch(Voters{Epoch: 1, Current: []string{"n0", "n1", "n2"}})
	}
	cluster.run(4 * cluster.leaseDuration)
	got := reasons(cluster.nodes["n3"], cluster.clock("n3"))
	if got["n3"] != len(cluster.heldBy("n3")) || got["n3"] == 0 {
		t.Errorf("%v, but it holds %d slots", got, len(cluster.heldBy("n3")))
	}
	waiting := 0
	for _, name := range []string{"n0", "n1", "n2"} {
		waiting += got["it waits for "+name+" to ask for it"] + got[name]
	}
	if waiting+got["n3"]+got["it is being asked for"] != clusterSlots {
		t.Errorf("slots that are said to be something else: %v", got)
	}
}

// A ballot of a far future would leave none above it, and Reacquire asks above one that was seen.
func TestBallotOfAFarFutureIsIgnored(t *testing.T) {
	cluster := newCluster(t, 1)
	cluster.run(4 * cluster.leaseDuration)
	node, now := cluster.nodes["n0"], cluster.clock("n0")
	highest := node.HighestBallot()
	node.ObserveBallot(1 << 63)
	if node.HighestBallot() != highest {
		t.Errorf("ballot %x of a far future was believed", node.HighestBallot())
	}
	seen := highest + 1<<paxos.MarkBits
	node.Reacquire(now, 3, seen)
	if ballot, _, ok := node.Holds(now, 3); !ok || ballot <= seen {
		t.Errorf("held %v under ballot %x, %x was seen", ok, ballot, seen)
	}
	node.Reacquire(now, 3, highest)
	if ballot, _, _ := node.Holds(now, 3); ballot <= seen {
		t.Errorf("acquired anew under ballot %x for one below it", ballot)
	}
}
