package lease

import (
	"fmt"
	"testing"
)

const (
	ms           = int64(1e6)
	clusterSlots = 16
)

// testCluster runs nodes in simulated time: each has a clock with a rate of its own, links may be cut or slow.
type testCluster struct {
	t             *testing.T
	now           int64
	leaseDuration int64
	names         []string
	nodes         map[string]*Node
	startedAt     map[string]int64 // real time at which a clock read 0
	rate          map[string]float64
	frozen        map[string]bool
	cut           func(from, to string) bool
	delay         func(from, to string) int64
	inTransit     []letter
	wallMS        int64
	starts        uint64
	highest       map[int]uint64                   // ballot under which a slot was held
	overlaps      int                              // moments at which a slot had two holders
	ballotsBack   int                              // acquired under a ballot that had not grown
	observe       func(name string, effect Effect) // of each effect; nil: nobody looks
}

// letter is a message under way.
type letter struct {
	at      int64
	from    Instance
	to      string
	message Message
}

func newCluster(t *testing.T, count int) *testCluster {
	t.Helper()
	cluster := &testCluster{
		t: t, leaseDuration: 1500 * ms, wallMS: 1e12,
		nodes: map[string]*Node{}, startedAt: map[string]int64{}, rate: map[string]float64{},
		frozen: map[string]bool{}, highest: map[int]uint64{},
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

func (cluster *testCluster) clock(name string) int64 {
	return int64(float64(cluster.now-cluster.startedAt[name]) * cluster.rate[name])
}

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

// updateCandidates tells all who is there, as membership would after its time, but for those that are frozen.
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

// run lets time go on in small steps.
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

// deliver hands over the messages that have arrived; those to frozen nodes wait.
func (cluster *testCluster) deliver() {
	letters := cluster.inTransit
	cluster.inTransit = nil
	for _, letter := range letters {
		node := cluster.nodes[letter.to]
		switch {
		case letter.at > cluster.now || cluster.frozen[letter.to]:
			cluster.inTransit = append(cluster.inTransit, letter)
		case node != nil:
			node.Receive(cluster.clock(letter.to), letter.from, letter.message)
			cluster.send(letter.to)
		}
	}
}

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

// send carries out a node's effects.
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
			cluster.inTransit = append(cluster.inTransit, letter{
				at: cluster.now + delay, from: cluster.nodes[name].config.Self, to: effect.To, message: effect.Message,
			})
		case Acquired:
			if effect.Ballot <= cluster.highest[effect.Slot] {
				cluster.ballotsBack++
			}
			cluster.highest[effect.Slot] = effect.Ballot
		}
	}
}

// holders gives the holder of each slot that has one.
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

// heldBy gives the slots that a node holds.
func (cluster *testCluster) heldBy(name string) (slots []int) {
	for slot, holder := range cluster.holders() {
		if holder == name {
			slots = append(slots, slot)
		}
	}
	return slots
}

// checkAllHeld checks that each slot has a holder.
func (cluster *testCluster) checkAllHeld(when string) {
	cluster.t.Helper()
	if held := len(cluster.holders()); held != clusterSlots {
		cluster.t.Errorf("%d of %d slots held %s", held, clusterSlots, when)
	}
}

// checkSafety checks what must never happen.
func (cluster *testCluster) checkSafety() {
	cluster.t.Helper()
	if cluster.overlaps != 0 || cluster.ballotsBack != 0 {
		cluster.t.Errorf("%d moments with two holders, %d ballots that went back",
			cluster.overlaps, cluster.ballotsBack)
	}
}
