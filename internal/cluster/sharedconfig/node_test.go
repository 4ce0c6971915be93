package sharedconfig

import (
	"errors"
	"fmt"
	"os"
	"strconv"
	"testing"
)

func TestChangeIsActiveEverywhere(t *testing.T) {
	cluster := newCluster(7, 5, 3, plantedFault{})
	cluster.run(4 * second)
	if !cluster.allActive("a0") {
		t.Fatal("the file's content is not acted on")
	}
	cluster.mustPropose(t, cluster.instances[4], "a1") // compatible with the one before: no gap
	for range 100 {
		cluster.run(10 * ms)
		for _, instance := range cluster.instances {
			if _, _, ok := instance.node.Active(cluster.clock(instance)); !ok {
				t.Fatal("a gap")
			}
		}
	}
	if cluster.run(second); !cluster.allActive("a1") {
		t.Error("not in force after 2 s")
	}
	cluster.mustPropose(t, cluster.instances[0], "b1") // incompatible: in force once no lease is left
	if cluster.run(second); cluster.allActive("b1") {
		t.Error("it is in force before leases on the other can have ended")
	}
	if cluster.run(4 * second); !cluster.allActive("b1") || cluster.broken != "" {
		t.Errorf("not in force after 5 s; %s", cluster.broken)
	}
}

func TestBadContentIsRejected(t *testing.T) {
	cluster := newCluster(7, 5, 3, plantedFault{})
	cluster.run(4 * second)
	cluster.mustPropose(t, cluster.instances[1], "bad")
	cluster.run(second)
	if len(cluster.ended) != 1 || cluster.ended[0].Reason != errBad.Error() || !cluster.allActive("a0") {
		t.Errorf("%+v", cluster.ended)
	}
	tooLong := make([]byte, MaxContentSize+1)
	if err := cluster.propose(cluster.instances[0], tooLong); !errors.Is(err, ErrContentTooLong) {
		t.Errorf("too much content: error %v", err)
	}
	cluster.mustPropose(t, cluster.instances[0], "a1")
	if err := cluster.propose(cluster.instances[0], []byte("a2")); !errors.Is(err, ErrProposalPending) {
		t.Errorf("two proposals at once: error %v", err)
	}
}

// Of two proposals at once one content is in force in the end, and both proposers are told.
func TestOneOfTwoProposalsWins(t *testing.T) {
	cluster := newCluster(7, 5, 3, plantedFault{})
	cluster.run(4 * second)
	cluster.mustPropose(t, cluster.instances[1], "b2")
	cluster.mustPropose(t, cluster.instances[2], "b3")
	cluster.run(8 * second)
	if !cluster.allActive("b2") && !cluster.allActive("b3") || len(cluster.ended) != 2 {
		t.Errorf("%v", cluster.ended)
	}
}

// A number of a far future, as a faulty instance would tell it, is not heeded: all later ones would come
// before it.
func TestNumberOfAFarFutureIsIgnored(t *testing.T) {
	cluster := newCluster(7, 5, 3, plantedFault{})
	cluster.run(4 * second)
	const farFuture = 1 << 63
	instance := cluster.instances[0]
	commit := Message{Kind: Commit, Number: farFuture, Content: []byte("b9")}
	instance.node.Receive(cluster.clock(instance), "n01", commit)
	if instance.node.Newest().Number == farFuture {
		t.Error("a number of a far future is taken")
	}
}

// A proposal that no quorum answers is made again a few times, and then given up.
func TestProposalWithoutQuorumEnds(t *testing.T) {
	cluster := newCluster(7, 5, 3, plantedFault{})
	cluster.run(4 * second)
	cluster.instances[4].side = 1
	cluster.mustPropose(t, cluster.instances[4], "a1")
	cluster.run(12 * second)
	if len(cluster.ended) != 1 || cluster.ended[0].Reason != "no majority of the voters answered" {
		t.Errorf("%+v", cluster.ended)
	}
}

// One that is cut off has nothing to act on once its lease is over; it comes to the newest when it is back.
func TestInstanceThatIsCutOffStopsActing(t *testing.T) {
	cluster := newCluster(7, 5, 3, plantedFault{})
	cluster.run(4 * second)
	cutOff := cluster.instances[4]
	cutOff.side = 1
	cluster.run(2 * second)
	if _, _, ok := cutOff.node.Active(cluster.clock(cutOff)); ok {
		t.Error("it acts on")
	}
	cluster.mustPropose(t, cluster.instances[0], "b1")
	cluster.run(5 * second)
	cutOff.side = 0
	if cluster.run(3 * second); !cluster.allActive("b1") {
		t.Error("it does not come to the newest")
	}
	// A frozen one wakes long after: it acts on nothing old, from the first instant.
	cluster.instances[3].frozenUntil = cluster.now + 60*second
	cluster.mustPropose(t, cluster.instances[0], "c1")
	if cluster.run(65 * second); cluster.broken != "" || !cluster.allActive("c1") {
		t.Error(cluster.broken)
	}
}

// runTroubled plays a course drawn by seed until something is broken: proposals beside crashes, pauses,
// splits, deaf ones, lost messages and restarts of all.
func runTroubled(seed uint64, count int, duration int64, fault plantedFault) *testCluster {
	cluster := newCluster(seed, count, min(count, 3+2*int(seed%2)), fault)
	for cluster.now < duration && cluster.broken == "" {
		cluster.run(int64(200+cluster.rng.IntN(1500)) * ms)
		cluster.drawTrouble()
	}
	return cluster
}

func (cluster *testCluster) drawTrouble() {
	instance := cluster.instances[cluster.rng.IntN(len(cluster.instances))]
	switch cluster.rng.IntN(9) {
	case 0, 1, 2:
		if !instance.down && instance.frozenUntil <= cluster.now {
			content := fmt.Appendf(nil, "%c%d", 'a'+rune(cluster.rng.IntN(3)), cluster.rng.IntN(1000))
			_ = cluster.propose(instance, content) // it may have one pending
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
		instance.deaf = cluster.rng.IntN(2) == 0
		cluster.loss = []float64{0, 0.3}[cluster.rng.IntN(2)]
	case 8:
		for _, other := range cluster.instances {
			other.side, other.deaf = 0, false
		}
		if cluster.rng.IntN(6) == 0 {
			for _, other := range cluster.instances {
				cluster.start(other)
			}
		}
	}
}

// Under drawn troubles no two incompatible versions are ever acted on at once, and no others for longer than
// a lease after the later one first was; no number has two contents. TEALPATH_EXPLORE=N plays so many
// courses.
func TestTroubled(t *testing.T) {
	courses := 120
	if asked, err := strconv.Atoi(os.Getenv("TEALPATH_EXPLORE")); err == nil {
		courses = asked
	}
	versions, longest := 0, int64(0)
	for seed := range uint64(courses) {
		cluster := runTroubled(seed, 3+int(seed%4)*2, 60*second, plantedFault{})
		if cluster.broken != "" {
			t.Fatalf("course %d: %s", seed, cluster.broken)
		}
		versions += len(cluster.contents)
		longest = max(longest, cluster.apart)
	}
	if bound := leaseDuration + 100*ms; longest > bound {
		t.Errorf("two versions for %d ms, at most %d", longest/ms, bound/ms)
	}
	if versions < 3*courses {
		t.Errorf("%d versions in %d courses: nothing is shown", versions, courses)
	}
	t.Logf("%d versions in %d courses; two acted on for %d ms at most", versions, courses, longest/ms)
}

// The check of drawn troubles finds faults that are planted.
func TestTroubledFindsPlantedFaults(t *testing.T) {
	for _, test := range []struct {
		name  string
		fault plantedFault
	}{
		{"a lease by wall time", plantedFault{clockSetBack: true}},
		{"in force once accepted", plantedFault{activeAtAccept: true}},
		{"a number used again", plantedFault{numberAgain: true}},
	} {
		t.Run(test.name, func(t *testing.T) {
			const courses = 300
			for seed := range uint64(courses) {
				if broken := runTroubled(seed, 5, 60*second, test.fault).broken; broken != "" {
					t.Logf("found in course %d: %s", seed, broken)
					return
				}
			}
			t.Errorf("not found in %d courses", courses)
		})
	}
}
