package lease

import (
	"fmt"
	"testing"
)

const (
	ms           = int64(1e6)
	clusterSlots = 16
)

// testCluster runs nodes in simulated time. Each node has a clock with its own rate; links can be cut or delayed.
type testCluster struct {
	t                 *testing.T
	now               int64
	leaseDuration     int64
	names             []string
	nodes             map[string]*Node
	startedAt         map[string]int64            // by node: simulated time, ns, at which its clock read 0
	rate              map[string]float64          // by node: ns that its clock advances in 1 ns of simulated time
	frozen            map[string]bool             // nodes that are paused: they neither tick nor receive messages
	cut               func(from, to string) bool  // reports whether a link drops messages; nil: no link does
	delay             func(from, to string) int64 // returns the delay of a link's messages, ns; nil: 2 ms on all links
	inTransit         []inFlightMessage
	wallMS            int64                            // wall clock at simulated time 0, ms since 1970
	starts            uint64                           // number of node starts; used as incarnations
	highestBallots    map[int]uint64                   // by slot: ballot when last acquired; missing: never
	overlaps          int                              // slots with two or more holders, summed over all steps
	ballotRegressions int                              // Acquired effects whose ballot is not above the slot's last
	observe           func(name string, effect Effect) // called for each effect of a node; may be nil
}

// inFlightMessage is a message that has been sent and not yet delivered.
type inFlightMessage struct {
	at      int64 // simulated time at which the message arrives, ns
	from    Instance
	to      string
	message Message
}

// newCluster starts count nodes, all of them voters, whose clock rates are off by up to 1%.
func newCluster(t *testing.T, count int) *testCluster {
	t.Helper()
	cluster := &testCluster{
		t: t, leaseDuration: 1500 * ms, wallMS: 1e12,
		nodes: map[string]*Node{}, startedAt: map[string]int64{}, rate: map[string]float64{},
		frozen: map[string]bool{}, highestBallots: map[int]uint64{},
	}
	for i := range count {
		cluster.names = append(cluster.names, fmt.Sprint("n", i))
	}
	for i, name := range cluster.names {
		cluster.rate[name] = []float64{1, 1.01, 0.99}[i%3]
		cluster.start(name)
	}
	return cluster
}

// clock returns what a node's clock reads now, in ns since the node's latest start.
func (cluster *testCluster) clock(name string) int64 {
	return int64(float64(cluster.now-cluster.startedAt[name]) * cluster.rate[name])
}

// start starts a node, or restarts it without its state.
func (cluster *testCluster) start(name string) {
	cluster.t.Helper()
	cluster.starts++
	cluster.startedAt[name] = cluster.now
	node, err := New(0, Config{
		Self: Instance{name, cluster.starts}, Slots: clusterSlots,
		LeaseDuration: cluster.leaseDuration, RenewInterval: cluster.leaseDuration / 3, MaxClockDrift: 0.01,
		Voters: Voters{Epoch: 1, Current: cluster.names}, Seed: 7,
	})
	if err != nil {
		cluster.t.Fatal(err)
	}
	cluster.nodes[name] = node
	cluster.updateCandidates()
}

func (cluster *testCluster) kill(name string) {
	delete(cluster.nodes, name)
	cluster.updateCandidates()
}

// updateCandidates tells every node which nodes are running. Frozen nodes count as dead, as they would in the
// membership protocol after its detection time.
func (cluster *testCluster) updateCandidates() {
	var candidates []Candidate
	for _, name := range cluster.names {
		if cluster.nodes[name] != nil && !cluster.frozen[name] {
			candidates = append(candidates, Candidate{name, 1})
		}
	}
	for name, node := range cluster.nodes {
		node.SetCandidates(cluster.clock(name), candidates)
	}
}

// run advances the simulated time by duration, in steps of 5 ms. In each step it delivers messages and ticks all nodes
// that are not paused.
func (cluster *testCluster) run(duration int64) {
	const step = 5 * ms
	for end := cluster.now + duration; cluster.now < end; cluster.now += step {
		cluster.deliver()
		for _, name := range cluster.names {
			if node := cluster.nodes[name]; node != nil && !cluster.frozen[name] {
				node.Tick(cluster.clock(name), cluster.wallMS+cluster.now/ms)
				cluster.send(name)
			}
		}
		cluster.countOverlaps()
	}
}

// deliver delivers the messages that have arrived. Messages to frozen nodes are kept.
func (cluster *testCluster) deliver() {
	messages := cluster.inTransit
	cluster.inTransit = nil
	for _, inFlight := range messages {
		node := cluster.nodes[inFlight.to]
		switch {
		case inFlight.at > cluster.now || cluster.frozen[inFlight.to]:
			cluster.inTransit = append(cluster.inTransit, inFlight)
		case node != nil:
			node.Receive(cluster.clock(inFlight.to), inFlight.from, inFlight.message)
			cluster.send(inFlight.to)
		}
	}
}

// countOverlaps adds to overlaps the number of slots that have two or more holders now.
func (cluster *testCluster) countOverlaps() {
	for slot := range clusterSlots {
		holders := 0
		for name, node := range cluster.nodes {
			if _, _, ok := node.Holds(cluster.clock(name), slot); ok {
				holders++
			}
		}
		if holders > 1 {
			cluster.overlaps++
		}
	}
}

// send takes the effects of a node and puts its messages in transit. It counts in ballotRegressions each Acquired
// effect whose ballot is not above that of the slot's previous one.
func (cluster *testCluster) send(name string) {
	for _, effect := range cluster.nodes[name].TakeEffects() {
		if cluster.observe != nil {
			cluster.observe(name, effect)
		}
		switch effect := effect.(type) {
		case Send:
			if cluster.cut != nil && cluster.cut(name, effect.To) {
				continue
			}
			delay := 2 * ms
			if cluster.delay != nil {
				delay = cluster.delay(name, effect.To)
			}
			cluster.inTransit = append(cluster.inTransit, inFlightMessage{
				at: cluster.now + delay, from: cluster.nodes[name].config.Self, to: effect.To, message: effect.Message,
			})
		case Acquired:
			if effect.Ballot <= cluster.highestBallots[effect.Slot] {
				cluster.ballotRegressions++
			}
			cluster.highestBallots[effect.Slot] = effect.Ballot
		}
	}
}

// holders returns the holder of each slot, by slot. Slots without a holder are missing.
func (cluster *testCluster) holders() map[int]string {
	holders := map[int]string{}
	for name, node := range cluster.nodes {
		for slot := range clusterSlots {
			if _, _, ok := node.Holds(cluster.clock(name), slot); ok {
				holders[slot] = name
			}
		}
	}
	return holders
}

// heldBy returns the slots that a node holds.
func (cluster *testCluster) heldBy(name string) (slots []int) {
	for slot, holder := range cluster.holders() {
		if holder == name {
			slots = append(slots, slot)
		}
	}
	return slots
}

// checkAllHeld fails the test if a slot has no holder now. when completes the error message.
func (cluster *testCluster) checkAllHeld(when string) {
	cluster.t.Helper()
	if held := len(cluster.holders()); held != clusterSlots {
		cluster.t.Errorf("%d of %d slots have a holder %s, want all", held, clusterSlots, when)
	}
}

// checkSafety fails the test if a slot had two holders at any step so far, or if the ballots under which a slot was
// acquired did not grow.
func (cluster *testCluster) checkSafety() {
	cluster.t.Helper()
	if cluster.overlaps != 0 || cluster.ballotRegressions != 0 {
		cluster.t.Errorf("%d times a slot had two holders, %d ballots did not grow, want none of either",
			cluster.overlaps, cluster.ballotRegressions)
	}
}
