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

// plantedFault selects deliberate faults of the nodes' inputs or state, which the tests must find. Zero selects none.
type plantedFault struct {
	clockSetBack   bool // after ten seconds the clock of the last instance is set back by an hour
	activeAtAccept bool // a voter treats a version as committed as soon as it has accepted it
	// Version numbers depend on neither the wall clock nor the incarnation, so a restarted node may use one again.
	reuseNumbers bool
}

// errInvalidContent is the error that incompatible returns for the content "bad".
var errInvalidContent = errors.New(`content "bad" is invalid`)

// incompatible implements IncompatibleFunc for test contents such as "a3": two contents are incompatible if their
// first letters differ, and "bad" is invalid.
func incompatible(current, proposed []byte) (bool, error) {
	if string(proposed) == "bad" {
		return true, errInvalidContent
	}
	return len(current) == 0 || len(proposed) == 0 || current[0] != proposed[0], nil
}

// testInstance is one instance of a testCluster, with its node, its clock and its present faults.
type testInstance struct {
	name          string
	node          *Node
	rate          float64 // ns that its clock advances in 1 ns of simulated time
	startedAt     int64   // simulated time of its latest start, ns
	down          bool    // stopped: it neither ticks nor receives, and messages to it are lost
	frozenUntil   int64   // simulated time, ns, until which it is paused: it does not tick, and messages to it wait
	side          int     // side of a network partition: messages between different sides are lost
	dropsIncoming bool
	setBack       int64 // time by which its clock was set back since its latest start, ns
}

// inFlightMessage is a message that has not been delivered yet. It is lost if its sender restarts before that.
type inFlightMessage struct {
	at          int64 // earliest simulated time of delivery, ns
	from, to    *testInstance
	fromStarted int64 // value of from.startedAt when the message was sent
	message     Message
}

// testCluster runs instances in simulated time, each with its own clock, and checks that no incompatible versions are
// active at the same time.
type testCluster struct {
	rng       *rand.Rand
	now       int64
	instances []*testInstance
	voters    []string
	fault     plantedFault
	loss      float64 // probability that a message is lost when it is sent
	inTransit []inFlightMessage
	starts    uint64 // number of starts so far, used as incarnations
	violation string // the latest violation that check found; empty: none
	// Longest time, ns, for which an earlier version was still active after a later one was first active.
	maxOverlap int64
	firstAt    map[uint64]int64  // by version number: simulated time, ns, at which it was first active
	contents   map[uint64]string // by version number: content with which it was last active
	proposed   map[uint64][]byte // by version number: proposed content; used by plantActiveAtAccept
	ended      []ProposalEnded
	observe    func(name string, effect Effect) // called for each effect of an instance; may be nil
}

// newCluster starts count instances, each with a random clock rate within the maximum drift. The first instances, as
// many as voters says, are voters.
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

// start starts an instance or restarts it, in both cases without any state.
func (cluster *testCluster) start(instance *testInstance) {
	cluster.starts++
	instance.startedAt, instance.down, instance.frozenUntil, instance.setBack = cluster.now, false, 0, 0
	incarnation := cluster.starts
	if cluster.fault.reuseNumbers {
		incarnation = 0
	}
	instance.node = New(0, Config{
		Self: instance.name, Voters: cluster.voters,
		LeaseDuration: leaseDuration, RenewInterval: 500 * ms, MaxClockDrift: drift,
		Incompatible: incompatible, Initial: []byte("a0"), Incarnation: incarnation,
	})
}

// clock returns what an instance's clock reads now, in ns.
func (cluster *testCluster) clock(instance *testInstance) int64 {
	return int64(float64(cluster.now-instance.startedAt)*instance.rate) - instance.setBack
}

// wallMS returns the wall clock of all instances in ms since 1970, or 0 if the fault reuseNumbers is planted.
func (cluster *testCluster) wallMS() int64 {
	if cluster.fault.reuseNumbers {
		return 0
	}
	return wallStartMS + cluster.now/ms
}

// propose makes an instance propose this content as the next version. It returns the error of Node.Propose.
func (cluster *testCluster) propose(instance *testInstance, content []byte) error {
	err := instance.node.Propose(cluster.clock(instance), cluster.wallMS(), content)
	cluster.send(instance)
	return err
}

// mustPropose is like propose, but it stops the test if Node.Propose returns an error.
func (cluster *testCluster) mustPropose(t *testing.T, instance *testInstance, content string) {
	t.Helper()
	if err := cluster.propose(instance, []byte(content)); err != nil {
		t.Fatal(err)
	}
}

// send takes the effects of an instance: it puts messages in transit, unless they are lost, and keeps the outcomes of
// proposals.
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
				cluster.inTransit = append(cluster.inTransit, inFlightMessage{
					at: cluster.now + 2*ms + cluster.rng.Int64N(20*ms), from: instance, to: cluster.instances[to],
					fromStarted: instance.startedAt, message: effect.Message,
				})
			}
		case ProposalEnded:
			cluster.ended = append(cluster.ended, effect)
		}
	}
}

// plantActiveAtAccept makes a voter treat the version that it accepted last as committed, if the fault activeAtAccept
// is planted.
func (cluster *testCluster) plantActiveAtAccept(instance *testInstance) {
	node := instance.node
	accepted := node.voter.accepted
	if !cluster.fault.activeAtAccept || accepted <= node.newest || cluster.proposed[accepted] == nil {
		return
	}
	node.contents[accepted], node.newest = cluster.proposed[accepted], accepted
	node.voter.current, node.voter.next = accepted, accepted
}

// step advances the simulated time by 10 ms, delivers messages, ticks the running instances that are due, and calls
// check.
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

// deliver delivers the messages that have arrived. Messages to frozen instances are kept.
func (cluster *testCluster) deliver() {
	var later []inFlightMessage
	messages := cluster.inTransit
	cluster.inTransit = nil
	for _, inFlight := range messages {
		to := inFlight.to
		switch {
		case inFlight.at > cluster.now || to.frozenUntil > cluster.now:
			later = append(later, inFlight)
		case to.down || to.dropsIncoming || to.side != inFlight.from.side ||
			inFlight.from.startedAt != inFlight.fromStarted: // the message is lost
		default:
			to.node.Receive(cluster.clock(to), inFlight.from.name, inFlight.message)
			cluster.send(to)
		}
	}
	cluster.inTransit = append(later, cluster.inTransit...)
}

// check records a violation if incompatible versions are active now at running instances, or if a version has had two
// contents. Paused instances are left out, because they read their clock again before they next act.
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
		if _, seen := cluster.firstAt[version.Number]; !seen {
			cluster.firstAt[version.Number] = cluster.now
		}
		if before, seen := cluster.contents[version.Number]; seen && before != string(version.Content) {
			cluster.violation = fmt.Sprintf("version %d has the contents %q and %q",
				version.Number, before, version.Content)
		}
		cluster.contents[version.Number] = string(version.Content)
	}
	for earlier, before := range active {
		for later, after := range active {
			if earlier >= later {
				continue
			}
			if isIncompatible, _ := incompatible(before, after); isIncompatible {
				cluster.violation = fmt.Sprintf("incompatible versions are active at once: %d (%q) and %d (%q)",
					earlier, before, later, after)
			}
			cluster.maxOverlap = max(cluster.maxOverlap, cluster.now-cluster.firstAt[later])
		}
	}
}

// run advances the simulated time by duration in steps. It stops early if there is a violation.
func (cluster *testCluster) run(duration int64) {
	for end := cluster.now + duration; cluster.now < end && cluster.violation == ""; {
		cluster.step()
	}
}

// allActive reports whether a version with this content is active at each running instance.
func (cluster *testCluster) allActive(content string) bool {
	return !slices.ContainsFunc(cluster.instances, func(instance *testInstance) bool {
		version, _, ok := instance.node.Active(cluster.clock(instance))
		return !instance.down && (!ok || string(version.Content) != content)
	})
}
