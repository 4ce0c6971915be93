package cluster

import (
	"testing"

	"tealpath/internal/cluster/lease"
	"tealpath/internal/cluster/membership"
	"tealpath/internal/cluster/probe"
)

const (
	ms        = int64(1e6)
	testSlots = 8
)

// clusterNames are the instances of the test cluster. All of them are voters.
var clusterNames = []string{"a", "b", "c"}

func newNode(t testing.TB, name string, incarnation uint64) *Node {
	t.Helper()
	cold := probe.ColdLimit{Share: 0.16, Factor: 2.5, Window: 1500 * ms, WarmUpDuration: 17000 * ms}
	var contacts []membership.Contact
	for _, contact := range clusterNames {
		contacts = append(contacts, membership.Contact{Name: contact, Address: contact + ":1", Weight: 1})
	}
	node, err := New(0, Config{
		Self: lease.Instance{Name: name, Incarnation: incarnation}, Address: name + ":1", Weight: 1, Seed: 1,
		Contacts: contacts,
		Lease: lease.Config{
			Slots: testSlots, LeaseDuration: 1500 * ms, RenewInterval: 500 * ms, MaxClockDrift: 0.01,
			Voters: lease.Voters{Epoch: 1, Current: clusterNames},
		},
		Probe: &probe.Config{
			Period:   1000 * ms,
			Timeout:  500 * ms,
			ColdPart: 0.05,
			Cost:     0.001,
			Cache:    cold,
			Parent:   cold,
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	return node
}

// testCluster holds the running nodes by name. A message between them arrives at the time at which it is sent.
type testCluster map[string]*Node

func newCluster(t testing.TB) testCluster {
	t.Helper()
	cluster := testCluster{}
	for i, name := range clusterNames {
		cluster[name] = newNode(t, name, uint64(1+i))
	}
	return cluster
}

// withTarget gives every node a target list with one target, named t, and returns the cluster.
func (cluster testCluster) withTarget() testCluster {
	for _, node := range cluster {
		node.Handle(0, TargetsUpdated{Targets: []probe.Target{{Name: "t", Address: "x", Capacity: 4}}})
	}
	return cluster
}

// run advances the time from one instant to another in steps of 10 ms. It returns the effects of the node named
// follow, or nothing if no node has that name.
func (cluster testCluster) run(t testing.TB, from, to int64, follow string) []Effect {
	t.Helper()
	var followed []Effect
	for now := from; now < to; now += 10 * ms {
		for _, name := range clusterNames {
			if cluster[name] != nil {
				followed = append(followed, cluster.tick(t, now, name, follow)...)
			}
		}
	}
	return followed
}

// tick fires one node's timer at now. It delivers the node's messages, those that it sends in answer to replies
// included, until it sends no more. It returns the node's effects if the node's name is follow, and nothing otherwise.
func (cluster testCluster) tick(t testing.TB, now int64, name, follow string) []Effect {
	t.Helper()
	var followed []Effect
	waiting := append([]Effect(nil), cluster[name].Handle(now, TimerFired{WallMS: 1e12 + now/ms})...)
	for len(waiting) > 0 {
		effect := waiting[0]
		waiting = waiting[1:]
		if name == follow {
			followed = append(followed, effect)
		}
		if send, ok := effect.(Send); ok && cluster[send.To] != nil {
			waiting = append(waiting, cluster.exchange(t, now, name, send)...)
		}
	}
	return followed
}

// exchange delivers the message of a Send effect and, if the receiver replies at once, its replies to the sender. It
// returns the sender's effects on the replies.
func (cluster testCluster) exchange(t testing.TB, now int64, from string, send Send) []Effect {
	t.Helper()
	raw, err := send.Message.Encode()
	if err != nil {
		t.Fatal(err)
	}
	message, err := Decode(raw)
	if err != nil {
		t.Fatal(err)
	}
	var effects []Effect
	sender, receiver := cluster[from], cluster[send.To]
	for _, reply := range receiver.Handle(now, MessageReceived{From: sender.config.Self, Message: message}) {
		if back, ok := reply.(Send); ok && back.To == from {
			received := MessageReceived{From: receiver.config.Self, Message: back.Message}
			effects = append(effects, sender.Handle(now, received)...)
		}
	}
	return effects
}

// countHeld returns the number of slots whose lease a node holds at the time now.
func countHeld(node *Node, now int64) int {
	count := 0
	for slot := range testSlots {
		if _, _, ok := node.Holds(now, slot); ok {
			count++
		}
	}
	return count
}
