package cluster

import (
	"testing"

	"tealpath/internal/cluster/lease"
)

func TestResultsUnderOldBallotsAreDropped(t *testing.T) {
	node := newNode(t, "a", 1)
	from := lease.Instance{Name: "b", Incarnation: 2}
	for _, test := range []struct {
		ballot uint64
		taken  int
	}{{7, 1}, {8, 1}, {7, 0}, {8, 1}} {
		taken := 0
		result := ProbeResult{Target: "t", Ballot: test.ballot, Healthy: true}
		message := Message{ProbeResults: []ProbeResult{result}}
		for _, effect := range node.Handle(1, MessageReceived{From: from, Message: message}) {
			if _, ok := effect.(TargetProbed); ok {
				taken++
			}
		}
		if taken != test.taken {
			t.Errorf("ballot %d: result taken %d times, want %d", test.ballot, taken, test.taken)
		}
	}
	if status := node.Status(1); status.StaleResults != 1 {
		t.Errorf("%d stale results counted, want 1", status.StaleResults)
	}
}

// After all voters of a quorum have restarted with their wall clocks set back, a lease may be held under a ballot
// below one already seen for a target in its slot. All instances would drop the holder's probe results for ever if it
// did not acquire the lease again under a higher ballot.
func TestHolderWithLowBallotReacquiresLease(t *testing.T) {
	const ahead = 1 << 20
	cluster := newCluster(t).withTarget()
	cluster.run(t, 0, 6000*ms, "")
	slot := lease.SlotOf("t", testSlots)
	for _, node := range cluster {
		ballot, _, ok := node.Holds(6000*ms, slot)
		if !ok {
			continue
		}
		node.results.newest["t"] = resultOrder{ballot: ballot + ahead}
		node.Handle(6000*ms, ProbeEnded{ProbeResult{Target: "t", Ballot: ballot, Healthy: true}})
		cluster.run(t, 6000*ms, 8000*ms, "")
		for _, other := range cluster {
			if again, _, ok := other.Holds(8000*ms, slot); ok && again > ballot+ahead {
				return
			}
		}
	}
	t.Errorf("slot %d is not held under a ballot above the one seen for its target", slot)
}
