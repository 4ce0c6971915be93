package lease

import (
	"math/rand/v2"
	"testing"

	"tealpath/internal/cluster/paxos"
	"tealpath/internal/cluster/recordtest"
)

// recordedDigest is the SHA-256 of the lines that TestRecordedSequence records, in order.
const recordedDigest = "c4a42ae832d79c19aaf411ba9949f1e92a91dddd59c37c5263674d0cd0a28020"

// TestRecordedSequence simulates 300 s of five nodes with random faults. Each effect goes into one digest, so that
// the test detects a refactoring that changes any effect or the order of the effects.
func TestRecordedSequence(t *testing.T) {
	const nodes, rounds = 5, 100
	cluster := newCluster(t, nodes)
	recorder := recordtest.New(t)
	record := recorder.Record
	cluster.observe = func(name string, effect Effect) { record("%d %s %T %v", cluster.now, name, effect, effect) }
	faults := rand.New(rand.NewPCG(48, nodes))
	for range rounds {
		cluster.injectRandomFault(faults)
		cluster.run(2 * cluster.leaseDuration)
		// Messages to frozen nodes are kept, and each step scans all of them. Resuming the nodes bounds their number.
		clear(cluster.frozen)
		cluster.updateCandidates()
		for _, name := range cluster.names {
			if node := cluster.nodes[name]; node != nil {
				now := cluster.clock(name)
				record("%s %v next %d highest %d quorum %v",
					name, node.Slots(now), node.Next(), node.HighestBallot(), node.HasQuorum(now))
			}
		}
	}
	cluster.checkSafety()
	recorder.Check(recordedDigest)
}

// injectRandomFault starts or ends a random fault of a random node or link; some draws change nothing.
func (cluster *testCluster) injectRandomFault(faults *rand.Rand) {
	name := cluster.names[faults.IntN(len(cluster.names))]
	other := cluster.names[faults.IntN(len(cluster.names))]
	slot := faults.IntN(clusterSlots)
	switch faults.IntN(12) {
	case 0:
		cluster.kill(name)
	case 1, 2, 3:
		if cluster.nodes[name] == nil {
			cluster.start(name)
		}
	case 4:
		cluster.frozen[name] = true
		cluster.updateCandidates()
	case 5:
		cluster.cut = func(from, to string) bool { return from == name && to == other }
	case 6:
		cluster.cut = func(_, to string) bool { return to == name }
	case 7:
		cluster.cut = nil
	case 8:
		cluster.delay = func(from, _ string) int64 {
			if from == name {
				return 400 * ms
			}
			return 2 * ms
		}
	case 9:
		cluster.delay = nil
	case 10:
		if node := cluster.nodes[name]; node != nil {
			node.Reacquire(cluster.clock(name), slot, node.HighestBallot()+1<<paxos.ProposerIDBits)
			cluster.send(name)
		}
	case 11:
		if node := cluster.nodes[name]; node != nil {
			node.ReleaseAll([]Candidate{{other, 1}})
			cluster.send(name)
			cluster.kill(name)
		}
	}
}
