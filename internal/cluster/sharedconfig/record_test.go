package sharedconfig

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"tealpath/internal/cluster/recordtest"
)

// recordedDigest is the SHA-256 of the lines that TestRecordedSequence records, in order.
const recordedDigest = "c3c7c24f93956e7c28eef4327b2b9a73e9f6f2f5ee748ad56fce7b49a113e7ca"

// TestRecordedSequence simulates 300 s of seven instances, five of them voters, with random faults and proposals. Each
// effect goes into one digest, so that the test detects a refactoring that changes any effect or the order of the
// effects.
func TestRecordedSequence(t *testing.T) {
	const instances, voters, seconds = 7, 5, 300
	cluster := newCluster(48, instances, voters, plantedFault{})
	recorder := recordtest.New(t)
	record := recorder.Record
	cluster.observe = func(name string, effect Effect) { record("%d %s %T %v", cluster.now, name, effect, effect) }
	faults := rand.New(rand.NewPCG(48, instances))
	for round := range seconds {
		if err := cluster.injectRecordedFault(faults, round); err != nil {
			record("refused: %v", err)
		}
		cluster.run(second)
		for _, instance := range cluster.instances {
			now := cluster.clock(instance)
			version, until, ok := instance.node.Active(now)
			record("%s %v %d %v newest %v next %d", instance.name, version, until, ok, instance.node.Newest(),
				instance.node.Next(now))
		}
	}
	if cluster.violation != "" {
		t.Error(cluster.violation)
	}
	recorder.Check(recordedDigest)
}

// injectRecordedFault starts or ends a random fault, proposes a content, or does nothing, as drawn from faults. It
// returns the error of the proposal, if any.
func (cluster *testCluster) injectRecordedFault(faults *rand.Rand, round int) error {
	instance := cluster.instances[faults.IntN(len(cluster.instances))]
	duration := faults.Int64N(5 * second)
	content := fmt.Sprint(string(rune('a'+faults.IntN(2))), round)
	switch faults.IntN(12) {
	case 0, 1, 2, 3:
		if !instance.down {
			return cluster.propose(instance, []byte(content))
		}
	case 4:
		instance.down = true
	case 5, 6:
		cluster.start(instance)
	case 7:
		instance.frozenUntil = cluster.now + duration
	case 8:
		instance.side = 1 - instance.side
	case 9:
		instance.dropsIncoming = !instance.dropsIncoming
	case 10:
		cluster.loss = faults.Float64() / 2
	case 11:
		cluster.loss = 0
		for _, other := range cluster.instances {
			other.side, other.dropsIncoming = 0, false
		}
	}
	return nil
}
