package cluster

import (
	"testing"

	"tealpath/internal/cluster/lease"
	"tealpath/internal/cluster/membership"
)

// Three instances must hold all leases between them. A target must be probed once in a period by the lease holder, not
// by each instance.
func TestInstancesShareLeasesAndProbes(t *testing.T) {
	cluster := newCluster(t).withTarget()
	cluster.run(t, 0, 6000*ms, "")
	held := 0
	for _, node := range cluster {
		held += countHeld(node, 6000*ms)
	}
	if held != testSlots {
		t.Fatalf("the instances hold %d slots, want %d", held, testSlots)
	}
	probes := 0
	for _, name := range clusterNames {
		for _, effect := range newCluster(t).withTarget().run(t, 0, 16000*ms, name) {
			if _, ok := effect.(SendProbe); ok {
				probes++
			}
		}
	}
	if probes < 11 || probes > 14 {
		t.Errorf("%d probes of the target in 16 s, want 11 to 14: one a second after about 3 s of startup", probes)
	}
	status := cluster["a"].Status(6000 * ms)
	if !status.Majority || len(status.Members) != 3 || len(status.Slots) != testSlots || status.Targets != 1 {
		t.Errorf("status %+v, want a majority, 3 members, %d slots and 1 target", status, testSlots)
	}
}

// An instance without a quorum must stop acting under its leases, because others may acquire them. It must also tell
// operators the reason, in the log and in its status.
func TestQuorumLossIsLoggedAndInStatus(t *testing.T) {
	cluster := newCluster(t)
	cluster.run(t, 0, 6000*ms, "")
	node := cluster["a"]
	logged := false
	for _, effect := range (testCluster{"a": node}).run(t, 6000*ms, 12000*ms, "a") {
		if line, ok := effect.(Log); ok && line.Event == (QuorumLost{MissingVoters: "[b dead c dead]"}) {
			logged = true
		}
	}
	if held := countHeld(node, 12000*ms); held != 0 {
		t.Errorf("without a quorum the instance holds %d slots, want 0", held)
	}
	status := node.Status(12000 * ms)
	explained := status.Reason != "" && status.Slots[0].Reason == "no majority of the voters answers"
	if !logged || status.Majority || !explained {
		t.Errorf("quorum loss logged: %v, want true; status %+v, want no majority, with reasons", logged, status)
	}
}

// While two instances run under one name, neither's votes may count. Otherwise one voter could vote for two holders.
func TestDuplicateNamesHaveNoVote(t *testing.T) {
	cluster := newCluster(t)
	cluster.run(t, 0, 4000*ms, "")
	node := cluster["b"]
	instance := func(incarnation uint64) lease.Instance { return lease.Instance{Name: "c", Incarnation: incarnation} }
	heartbeat := func(incarnation, number uint64) {
		entry := membership.Entry{Name: "c", Incarnation: incarnation, Start: number, Version: number, Weight: 1}
		gossip := membership.Gossip{Heartbeat: number, Entries: []membership.Entry{entry}}
		node.Handle(4000*ms, MessageReceived{From: instance(incarnation), Message: Message{Gossip: &gossip}})
	}
	accept := func(now int64, incarnation uint64, items []lease.SlotBallot) {
		message := lease.Message{Kind: lease.Accept, Epoch: 1, SentAt: now, Items: items}
		node.Handle(max(now, 4000*ms), MessageReceived{From: instance(incarnation), Message: Message{Lease: &message}})
	}
	heartbeat(99, 1)
	held := countHeld(node, 4000*ms)
	accept(3999*ms, 99, nil)
	if !node.members.IsDuplicated(4000*ms, "c") || held == 0 {
		t.Fatalf("b holds %d slots and takes c for duplicated: %v, want some and true",
			held, node.members.IsDuplicated(4000*ms, "c"))
	}
	// Without messages from a and with c duplicated, b has only its own vote. Its leases must end.
	for now := 4000 * ms; now < 6000*ms; now += 20 * ms {
		node.Handle(now, TimerFired{WallMS: now / ms})
		heartbeat(3, uint64(1000+now/ms))
		heartbeat(99, uint64(1000+now/ms))
		var items []lease.SlotBallot
		for slot := range testSlots {
			if ballot, _, ok := node.Holds(now, slot); ok {
				items = append(items, lease.SlotBallot{Slot: slot, Ballot: ballot})
			}
		}
		if len(items) > 0 {
			accept(now, 3, items)
		}
	}
	if held := countHeld(node, 6000*ms); held != 0 {
		t.Errorf("b holds %d slots by votes of a duplicated name, want 0", held)
	}
}

// Another instance may acquire a slot as soon as it is released. If the work in the slot were stopped only after that,
// two instances could do it at the same time.
func TestShutdownStopsTasksBeforeRelease(t *testing.T) {
	cluster := newCluster(t)
	cluster.run(t, 0, 6000*ms, "")
	node := cluster["a"]
	held := countHeld(node, 6000*ms)
	var released, left bool
	stopped := map[int]bool{}
	for _, effect := range node.Handle(6000*ms, ShutdownStarted{}) {
		switch effect := effect.(type) {
		case LeaseChanged:
			stopped[effect.Slot] = stopped[effect.Slot] || effect.Ballot == 0
		case Send:
			if message := effect.Message.Lease; message != nil {
				released = released || message.Kind == lease.Release
				checkStopped(t, message.Items, stopped)
			}
			gossip := effect.Message.Gossip
			left = left || gossip != nil && len(gossip.Entries) > 0 && gossip.Entries[0].Leaving
		}
	}
	if len(stopped) != held {
		t.Errorf("work stopped in %d slots, want all %d", len(stopped), held)
	}
	if held == 0 || countHeld(node, 6000*ms) != 0 || !released || !left {
		t.Errorf("held %d slots before the shutdown, want some, and none after it; released %v, left %v, want true",
			held, released, left)
	}
}

// checkStopped fails the test if items, which are released, contain a slot that is not in stopped. stopped has the
// slots whose work had ended before the release.
func checkStopped(t *testing.T, items []lease.SlotBallot, stopped map[int]bool) {
	t.Helper()
	for _, item := range items {
		if !stopped[item.Slot] {
			t.Errorf("slot %d is released before the work in it is stopped", item.Slot)
		}
	}
}
