package sharedconfig

import (
	"errors"
	"fmt"
	"os"
	"strconv"
	"testing"
)

func TestChangeBecomesActiveEverywhere(t *testing.T) {
	cluster := newCluster(7, 5, 3, plantedFault{})
	cluster.run(4 * second)
	if !cluster.allActive("a0") {
		t.Fatal("the initial content a0 is not active at every instance after 4 s")
	}
	cluster.mustPropose(t, cluster.instances[4], "a1") // compatible with a0: some version must always be active
	for range 100 {
		cluster.run(10 * ms)
		for _, instance := range cluster.instances {
			if _, _, ok := instance.node.Active(cluster.clock(instance)); !ok {
				t.Fatalf("%s has no active version during a compatible change", instance.name)
			}
		}
	}
	if cluster.run(second); !cluster.allActive("a1") {
		t.Error("a1 is not active at every instance after 2 s")
	}
	cluster.mustPropose(t, cluster.instances[0], "b1") // incompatible with a1: must wait until leases on a1 end
	if cluster.run(second); cluster.allActive("b1") {
		t.Error("b1 is active everywhere before leases on a1 can have ended")
	}
	if cluster.run(4 * second); !cluster.allActive("b1") || cluster.violation != "" {
		t.Errorf("b1 is not active at every instance after 5 s, or violation %q", cluster.violation)
	}
}

func TestInvalidContentIsRejected(t *testing.T) {
	cluster := newCluster(7, 5, 3, plantedFault{})
	cluster.run(4 * second)
	cluster.mustPropose(t, cluster.instances[1], "bad")
	cluster.run(second)
	if len(cluster.ended) != 1 || cluster.ended[0].Reason != errInvalidContent.Error() || !cluster.allActive("a0") {
		t.Errorf("proposals ended with %+v, want one rejected with %q, and a0 still active",
			cluster.ended, errInvalidContent)
	}
	tooLong := make([]byte, MaxContentSize+1)
	if err := cluster.propose(cluster.instances[0], tooLong); !errors.Is(err, ErrContentTooLong) {
		t.Errorf("content of %d bytes: error %v, want %v", len(tooLong), err, ErrContentTooLong)
	}
	cluster.mustPropose(t, cluster.instances[0], "a1")
	if err := cluster.propose(cluster.instances[0], []byte("a2")); !errors.Is(err, ErrProposalPending) {
		t.Errorf("second proposal while one is pending: error %v, want %v", err, ErrProposalPending)
	}
}

// If two instances propose at the same time, at least one of the contents must become active, and both proposals must
// end. Otherwise the two could block each other for ever.
func TestOneOfTwoProposalsWins(t *testing.T) {
	cluster := newCluster(7, 5, 3, plantedFault{})
	cluster.run(4 * second)
	cluster.mustPropose(t, cluster.instances[1], "b2")
	cluster.mustPropose(t, cluster.instances[2], "b3")
	cluster.run(8 * second)
	if !cluster.allActive("b2") && !cluster.allActive("b3") || len(cluster.ended) != 2 {
		t.Errorf("proposals ended with %v, want two ended and b2 or b3 active everywhere", cluster.ended)
	}
}

// A version number far ahead of the wall clock, which a faulty instance might send, must be ignored. Otherwise later
// versions would need even higher numbers, of which few would be left.
func TestNumberFarAheadIsIgnored(t *testing.T) {
	cluster := newCluster(7, 5, 3, plantedFault{})
	cluster.run(4 * second)
	const farFuture = 1 << 63
	instance := cluster.instances[0]
	commit := Message{Kind: Commit, Number: farFuture, Content: []byte("b9")}
	instance.node.Receive(cluster.clock(instance), "n01", commit)
	if instance.node.Newest().Number == farFuture {
		t.Errorf("version number %#x, far ahead of the wall clock, was accepted", uint64(farFuture))
	}
}

// A proposal that no quorum answers must fail after a few attempts. Until it has ended, its instance can't make
// another proposal.
func TestProposalWithoutQuorumEnds(t *testing.T) {
	cluster := newCluster(7, 5, 3, plantedFault{})
	cluster.run(4 * second)
	cluster.instances[4].side = 1
	cluster.mustPropose(t, cluster.instances[4], "a1")
	cluster.run(12 * second)
	if len(cluster.ended) != 1 || cluster.ended[0].Reason != "no majority of the voters answered" {
		t.Errorf("proposals ended with %+v, want one that failed without a majority", cluster.ended)
	}
}

// An instance that is cut off must have no active version once its leases have ended, because the others may then
// change to an incompatible one. When it is reachable again, or was paused and resumes, the newest version must become
// active.
func TestDisconnectedInstanceHasNoActiveVersion(t *testing.T) {
	cluster := newCluster(7, 5, 3, plantedFault{})
	cluster.run(4 * second)
	cutOff := cluster.instances[4]
	cutOff.side = 1
	cluster.run(2 * second)
	if _, _, ok := cutOff.node.Active(cluster.clock(cutOff)); ok {
		t.Errorf("%s still has an active version 2 s after it was cut off", cutOff.name)
	}
	cluster.mustPropose(t, cluster.instances[0], "b1")
	cluster.run(5 * second)
	cutOff.side = 0
	if cluster.run(3 * second); !cluster.allActive("b1") {
		t.Errorf("b1 is not active at every instance 3 s after %s was reconnected", cutOff.name)
	}
	// An instance that was paused for a minute must not use its old version, not even right after it resumes.
	cluster.instances[3].frozenUntil = cluster.now + 60*second
	cluster.mustPropose(t, cluster.instances[0], "c1")
	if cluster.run(65 * second); cluster.violation != "" || !cluster.allActive("c1") {
		t.Errorf("violation %q, want none, and c1 active everywhere", cluster.violation)
	}
}

// runWithRandomFaults simulates a cluster for duration ns, or until there is a violation. Proposals and faults are
// drawn from seed; the faults are crashes, pauses, network partitions, instances that receive nothing, lost messages,
// and restarts of all instances.
func runWithRandomFaults(seed uint64, count int, duration int64, fault plantedFault) *testCluster {
	cluster := newCluster(seed, count, min(count, 3+2*int(seed%2)), fault)
	for cluster.now < duration && cluster.violation == "" {
		cluster.run(int64(200+cluster.rng.IntN(1500)) * ms)
		cluster.injectRandomFault()
	}
	return cluster
}

// injectRandomFault starts or ends a random fault, or makes a random instance propose a random content.
func (cluster *testCluster) injectRandomFault() {
	instance := cluster.instances[cluster.rng.IntN(len(cluster.instances))]
	switch cluster.rng.IntN(9) {
	case 0, 1, 2:
		if !instance.down && instance.frozenUntil <= cluster.now {
			content := fmt.Appendf(nil, "%c%d", 'a'+rune(cluster.rng.IntN(3)), cluster.rng.IntN(1000))
			_ = cluster.propose(instance, content) // the only possible error is that a proposal is already pending
		}
	case 3:
		instance.down = true
	case 4:
		if instance.down || cluster.rng.IntN(2) == 0 {
			cluster.start(instance)
		}
	case 5:
		instance.frozenUntil = cluster.now + int64(cluster.rng.IntN(6000))*ms
	case 6:
		for _, other := range cluster.instances {
			other.side = cluster.rng.IntN(2)
		}
	case 7:
		instance.dropsIncoming = cluster.rng.IntN(2) == 0
		cluster.loss = []float64{0, 0.3}[cluster.rng.IntN(2)]
	case 8:
		for _, other := range cluster.instances {
			other.side, other.dropsIncoming = 0, false
		}
		if cluster.rng.IntN(6) == 0 {
			for _, other := range cluster.instances {
				cluster.start(other)
			}
		}
	}
}

// Under random faults, incompatible versions must never be active at the same time, a version must stay active for at
// most the duration of a lease after a later one was first active, and no version may have two contents. The
// environment variable TEALPATH_EXPLORE sets the number of runs.
func TestRandomFaultsCauseNoViolation(t *testing.T) {
	runs := 120
	if value, err := strconv.Atoi(os.Getenv("TEALPATH_EXPLORE")); err == nil {
		runs = value
	}
	versions, longest := 0, int64(0)
	for seed := range uint64(runs) {
		cluster := runWithRandomFaults(seed, 3+int(seed%4)*2, 60*second, plantedFault{})
		if cluster.violation != "" {
			t.Fatalf("run with seed %d: %s", seed, cluster.violation)
		}
		versions += len(cluster.contents)
		longest = max(longest, cluster.maxOverlap)
	}
	if bound := leaseDuration + 100*ms; longest > bound {
		t.Errorf("an earlier version was active for %d ms after a later one, want at most %d ms", longest/ms, bound/ms)
	}
	if versions < 3*runs {
		t.Errorf("only %d versions were active in %d runs, want at least %d for a significant result",
			versions, runs, 3*runs)
	}
	t.Logf("%d versions in %d runs; an earlier version was active for at most %d ms after a later one",
		versions, runs, longest/ms)
}

// If a fault is planted in the protocol, testCluster.check must find a violation. Otherwise
// TestRandomFaultsCauseNoViolation could pass although the protocol is broken.
func TestRandomFaultsFindPlantedFaults(t *testing.T) {
	for _, test := range []struct {
		name  string
		fault plantedFault
	}{
		{"clock that is set back", plantedFault{clockSetBack: true}},
		{"active once accepted", plantedFault{activeAtAccept: true}},
		{"reused numbers", plantedFault{reuseNumbers: true}},
	} {
		t.Run(test.name, func(t *testing.T) {
			const runs = 300
			for seed := range uint64(runs) {
				if violation := runWithRandomFaults(seed, 5, 60*second, test.fault).violation; violation != "" {
					t.Logf("found with seed %d: %s", seed, violation)
					return
				}
			}
			t.Errorf("no violation found in %d runs, but a fault was planted", runs)
		})
	}
}
