package cluster

import (
	"testing"

	"tealpath/internal/cluster/lease"
	"tealpath/internal/cluster/membership"
)

func TestThreeShareAndProbeOnce(t *testing.T) {
	cluster := newCluster(t).withTarget()
	cluster.run(t, 0, 6000*ms, "")
	held := 0
	for _, node := range cluster {
		held += countHeld(node, 6000*ms)
	}
	if held != testSlots {
		t.Fatalf("%d of %d slots are held", held, testSlots)
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
		t.Errorf("%d probes of the one target in 16 s, of which the start takes about 3", probes)
	}
	status := cluster["a"].Status(6000 * ms)
	if !status.Majority || len(status.Members) != 3 || len(status.Slots) != testSlots || status.Targets != 1 {
		t.Errorf("%+v", status)
	}
}

// Without a quorum nobody acts, and that is logged and visible.
func TestNoQuorumIsLoggedAndVisible(t *testing.T) {
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
		t.Errorf("it still holds %d slots", held)
	}
	status := node.Status(12000 * ms)
	explained := status.Reason != "" && status.Slots[0].Reason == "no majority of the voters answers"
	if !logged || status.Majority || !explained {
		t.Errorf("logged %v, %+v", logged, status)
	}
}

// Two under one name: neither's votes count, so that one voter can't be two.
func TestTwoUnderOneNameHaveNoVote(t *testing.T) {
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
		t.Fatal("the case is not one")
	}
	// With a dead and c duplicated, b has its own vote alone and must stop within a lease.
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
		t.Errorf("%d slots are held by votes of a name that two run under", held)
	}
}

func TestShutdownStopsBeforeItTells(t *testing.T) {
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
		t.Errorf("%d of %d slots were stopped", len(stopped), held)
	}
	if held == 0 || countHeld(node, 6000*ms) != 0 || !released || !left {
		t.Errorf("it held %d slots; released %v, left %v", held, released, left)
	}
}

// checkStopped checks that nothing is released before what is done under it is stopped.
func checkStopped(t *testing.T, items []lease.SlotBallot, stopped map[int]bool) {
	t.Helper()
	for _, item := range items {
		if !stopped[item.Slot] {
			t.Errorf("slot %d is released before what is done under it is stopped", item.Slot)
		}
	}
}
