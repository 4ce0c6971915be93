package sharedconfig

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

const (
	ms            = int64(1e6)
	second        = 1000 * ms
	leaseDuration = 1500 * ms
	drift         = 0.01
	wallStartMS   = int64(1e12)
	hour          = 3600 * second
)

// plantedFault is a fault that the checker must find. Faults are planted by what a node is told and by its state.
type plantedFault struct {
	clockSetBack   bool // the clock of the last instance is set back by an hour, ten seconds into a course
	activeAtAccept bool // a voter has a version in force once it has accepted it
	numberAgain    bool // neither the wall clock nor the start is in numbers
}

// errBad is what incompatible says of the content "bad".
var errBad = errors.New("line 1: it would break a rule")

// incompatible judges contents such as "a3": those of other letters exclude each other, "bad" can't be.
func incompatible(current, proposed []byte) (bool, error) {
	if string(proposed) == "bad" {
		return true, errBad
	}
	return len(current) == 0 || len(proposed) == 0 || current[0] != proposed[0], nil
}

type testInstance struct {
	name        string
	node        *Node
	rate        float64
	startedAt   int64
	down        bool
	frozenUntil int64
	side        int
	deaf        bool
	setBack     int64 // by which its clock was set back
}

// letter is a message under way; it is lost if its sender has started anew.
type letter struct {
	at          int64
	from, to    *testInstance
	fromStarted int64
	message     Message
}

// testCluster is nodes in simulated time, with clocks of their own and a check of what is acted on.
type testCluster struct {
	rng       *rand.Rand
	now       int64
	instances []*testInstance
	voters    []string
	fault     plantedFault
	loss      float64
	inTransit []letter
	starts    uint64
	broken    string            // what must never be, and was
	apart     int64             // for how long two compatible versions were acted on after the later one first was
	firstAt   map[uint64]int64  // when a version was first acted on
	contents  map[uint64]string // of versions that were acted on
	proposed  map[uint64][]byte // by number; kept for planted faults
	ended     []ProposalEnded
	observe   func(name string, effect Effect) // of each effect; nil: nobody looks
}

func newCluster(seed uint64, count, voters int, fault plantedFault) *testCluster {
	cluster := &testCluster{
		rng: rand.New(rand.NewPCG(seed, uint64(count))), fault: fault,
		firstAt: map[uint64]int64{}, contents: map[uint64]string{}, proposed: map[uint64][]byte{},
	}
	for i := range count {
		instance := &testInstance{name: fmt.Sprintf("n%02d", i), rate: 1 + drift*(2*cluster.rng.Float64()-1)}
		cluster.instances = append(cluster.instances, instance)
		if i < voters {
			cluster.voters = append(cluster.voters, instance.name)
		}
	}
	for _, instance := range cluster.instances {
		cluster.start(instance)
	}
	return cluster
}

func (cluster *testCluster) start(instance *testInstance) {
	cluster.starts++
	instance.startedAt, instance.down, instance.frozenUntil, instance.setBack = cluster.now, false, 0, 0
	incarnation := cluster.starts
	if cluster.fault.numberAgain {
		incarnation = 0
	}
	instance.node = New(0, Config{
		Self: instance.name, Voters: cluster.voters,
		LeaseDuration: leaseDuration, RenewInterval: 500 * ms, MaxClockDrift: drift,
		Incompatible: incompatible, Initial: []byte("a0"), Incarnation: incarnation,
	})
}

func (cluster *testCluster) clock(instance *testInstance) int64 {
	return int64(float64(cluster.now-instance.startedAt)*instance.rate) - instance.setBack
}

func (cluster *testCluster) wallMS() int64 {
	if cluster.fault.numberAgain {
		return 0
	}
	return wallStartMS + cluster.now/ms
}

// propose has an instance propose a content.
func (cluster *testCluster) propose(instance *testInstance, content []byte) error {
	err := instance.node.Propose(cluster.clock(instance), cluster.wallMS(), content)
	cluster.send(instance)
	return err
}

// mustPropose is propose where it has to be taken.
func (cluster *testCluster) mustPropose(t *testing.T, instance *testInstance, content string) {
	t.Helper()
	if err := cluster.propose(instance, []byte(content)); err != nil {
		t.Fatal(err)
	}
}

// send carries out an instance's effects.
func (cluster *testCluster) send(instance *testInstance) {
	cluster.plantActiveAtAccept(instance)
	for _, effect := range instance.node.TakeEffects() {
		if cluster.observe != nil {
			cluster.observe(instance.name, effect)
		}
		switch effect := effect.(type) {
		case Send:
			if effect.Message.Kind == Propose {
				cluster.proposed[effect.Message.Number] = effect.Message.Content
			}
			to := slices.IndexFunc(cluster.instances, func(other *testInstance) bool { return other.name == effect.To })
			if to >= 0 && cluster.rng.Float64() >= cluster.loss {
				cluster.inTransit = append(cluster.inTransit, letter{
					at: cluster.now + 2*ms + cluster.rng.Int64N(20*ms), from: instance, to: cluster.instances[to],
					fromStarted: instance.startedAt, message: effect.Message,
				})
			}
		case ProposalEnded:
			cluster.ended = append(cluster.ended, effect)
		}
	}
}

// plantActiveAtAccept has a voter go to a version that it has accepted.
func (cluster *testCluster) plantActiveAtAccept(instance *testInstance) {
	node := instance.node
	accepted := node.voter.accepted
	if !cluster.fault.activeAtAccept || accepted <= node.newest || cluster.proposed[accepted] == nil {
		return
	}
	node.contents[accepted], node.newest = cluster.proposed[accepted], accepted
	node.voter.current, node.voter.next = accepted, accepted
}

// step lets a little time go on.
func (cluster *testCluster) step() {
	cluster.now += 10 * ms
	if last := cluster.instances[len(cluster.instances)-1]; cluster.fault.clockSetBack && cluster.now == 10*second {
		last.setBack = hour
	}
	cluster.deliver()
	for _, instance := range cluster.instances {
		if instance.down || instance.frozenUntil > cluster.now {
			continue
		}
		if now := cluster.clock(instance); instance.node.Next(now) <= now {
			instance.node.Tick(now, cluster.wallMS())
			cluster.send(instance)
		}
	}
	cluster.check()
}

// deliver hands over the messages that have arrived; those to frozen instances wait.
func (cluster *testCluster) deliver() {
	var later []letter
	letters := cluster.inTransit
	cluster.inTransit = nil
	for _, letter := range letters {
		to := letter.to
		switch {
		case letter.at > cluster.now || to.frozenUntil > cluster.now:
			later = append(later, letter)
		case to.down || to.deaf || to.side != letter.from.side || letter.from.startedAt != letter.fromStarted:
		default:
			to.node.Receive(cluster.clock(to), letter.from.name, letter.message)
			cluster.send(to)
		}
	}
	cluster.inTransit = append(later, cluster.inTransit...)
}

// check looks at what is acted on at this instant by all that run. Frozen ones are left out: what they do
// next they do by the clock that they read then.
func (cluster *testCluster) check() {
	active := map[uint64][]byte{}
	for _, instance := range cluster.instances {
		if instance.down || instance.frozenUntil > cluster.now {
			continue
		}
		version, _, ok := instance.node.Active(cluster.clock(instance))
		if !ok {
			continue
		}
		active[version.Number] = version.Content
		if _, been := cluster.firstAt[version.Number]; !been {
			cluster.firstAt[version.Number] = cluster.now
		}
		if before, been := cluster.contents[version.Number]; been && before != string(version.Content) {
			cluster.broken = fmt.Sprintf("version %d is %q and %q", version.Number, before, version.Content)
		}
		cluster.contents[version.Number] = string(version.Content)
	}
	for earlier, before := range active {
		for later, after := range active {
			if earlier >= later {
				continue
			}
			if exclusive, _ := incompatible(before, after); exclusive {
				cluster.broken = fmt.Sprintf("%q and %q are acted on at once", before, after)
			}
			cluster.apart = max(cluster.apart, cluster.now-cluster.firstAt[later])
		}
	}
}

// run lets time go on until something is broken.
func (cluster *testCluster) run(duration int64) {
	for end := cluster.now + duration; cluster.now < end && cluster.broken == ""; {
		cluster.step()
	}
}

// allActive reports whether every instance that runs acts on some content.
func (cluster *testCluster) allActive(content string) bool {
	return !slices.ContainsFunc(cluster.instances, func(instance *testInstance) bool {
		version, _, ok := instance.node.Active(cluster.clock(instance))
		return !instance.down && (!ok || string(version.Content) != content)
	})
}
