package membership

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

const (
	second   = int64(1e9)
	interval = second / 2
	step     = second / 20
)

// plantedFault is a fault of a table that the tests' checks must detect. The test cluster plants it by changing
// the table's input or state.
type plantedFault struct {
	cannotRefute     bool // a table receives no entries and reports about its own instance
	believesOneClaim bool // one peer's claim that a member is dead is enough
	ignoresOwnDelay  bool // a table does not notice that its ticks come late
}

// testCluster is a set of tables that exchange messages. Time advances in steps of 50 ms; a message takes one step.
type testCluster struct {
	t           *testing.T
	now         int64
	names       []string
	tables      map[string]*Table
	faults      map[string]plantedFault // by instance: fault planted at its latest start; zero: no fault
	down        map[string]bool
	pausedUntil map[string]int64
	cut         func(from, to string) bool // reports whether messages from one instance to another are lost
	loss        float64                    // probability that a message is lost
	rng         *rand.Rand
	inTransit   []message
	fault       plantedFault // fault that tables get when they are started
	twice       bool         // each message is delivered twice
	starts      uint64
	observe     func(name string, sends []Send, changes []Change) // called with a table's results; may be nil
}

// message is a message in transit, with the incarnation of its sender.
type message struct {
	from        string
	incarnation uint64
	send        Send
}

func noCut(string, string) bool { return false }

func newCluster(t *testing.T, count int) *testCluster {
	t.Helper()
	return newFaultyCluster(t, count, plantedFault{})
}

// newFaultyCluster starts count instances, each with the planted fault in its table.
func newFaultyCluster(t *testing.T, count int, fault plantedFault) *testCluster {
	t.Helper()
	cluster := &testCluster{
		t:           t,
		now:         1000 * second,
		tables:      map[string]*Table{},
		faults:      map[string]plantedFault{},
		down:        map[string]bool{},
		pausedUntil: map[string]int64{},
		cut:         noCut,
		rng:         rand.New(rand.NewPCG(7, uint64(count))),
		fault:       fault,
	}
	for i := range count {
		cluster.names = append(cluster.names, fmt.Sprintf("n%03d", i))
	}
	for _, name := range cluster.names {
		cluster.start(name, cluster.wallMS())
	}
	return cluster
}

func (cluster *testCluster) wallMS() uint64 { return uint64(cluster.now / 1e6) }

// start starts or restarts an instance with a new table. wallMS is the instance's wall clock, ms since 1970.
func (cluster *testCluster) start(name string, wallMS uint64) {
	var contacts []Contact
	for _, other := range cluster.names {
		contacts = append(contacts, Contact{other, other + ":1", 1})
	}
	cluster.starts++
	phase := cluster.rng.Int64N(interval)
	incarnation := cluster.rng.Uint64() | 1
	cluster.tables[name] = New(cluster.now, Config{
		Self:              Entry{Name: name, Incarnation: incarnation, Start: wallMS, Address: name + ":1", Weight: 1},
		Contacts:          contacts,
		HeartbeatInterval: interval,
		SilenceTimeout:    21 * second / 10,
		ReplacedTimeout:   5 * interval,
		Seed:              cluster.starts,
		NextHeartbeat:     func(now int64) int64 { return now + interval - (now+phase)%interval },
	})
	cluster.faults[name] = cluster.fault
	delete(cluster.down, name)
}

// run advances the time by duration. In each step it delivers messages and ticks the tables that are neither down nor
// paused.
func (cluster *testCluster) run(duration int64) {
	for end := cluster.now + duration; cluster.now < end; cluster.now += step {
		cluster.deliver()
		for _, name := range cluster.names {
			if !cluster.down[name] && cluster.pausedUntil[name] <= cluster.now {
				cluster.tick(name)
			}
		}
	}
}

func (cluster *testCluster) tick(name string) {
	table := cluster.tables[name]
	if table.Next() > cluster.now {
		return
	}
	if cluster.faults[name].ignoresOwnDelay {
		table.health.tickedAt = cluster.now
	}
	sends, changes := table.Tick(cluster.now)
	cluster.observed(name, sends, changes)
	cluster.send(name, sends)
}

// observed calls observe, if it is set, with what a table returned.
func (cluster *testCluster) observed(name string, sends []Send, changes []Change) {
	if cluster.observe != nil {
		cluster.observe(name, sends, changes)
	}
}

// deliver delivers the messages in transit. Messages to paused tables stay in transit.
func (cluster *testCluster) deliver() {
	messages := cluster.inTransit
	cluster.inTransit = nil
	for _, message := range messages {
		to := message.send.To
		table := cluster.tables[to]
		if cluster.down[to] || table == nil || cluster.cut(message.from, to) || cluster.rng.Float64() < cluster.loss {
			continue
		}
		if cluster.pausedUntil[to] > cluster.now {
			cluster.inTransit = append(cluster.inTransit, message)
			continue
		}
		table.ObserveIncarnation(cluster.now, message.from, message.incarnation)
		sends, changes := table.Receive(cluster.now, message.from, cluster.plantFault(to, message.send.Gossip))
		cluster.observed(to, sends, changes)
		cluster.send(to, sends)
	}
}

// plantFault plants the fault of a table in its state, and returns the gossip that the table receives in place of the
// given gossip.
func (cluster *testCluster) plantFault(to string, gossip Gossip) Gossip {
	fault := cluster.faults[to]
	if fault.cannotRefute {
		ofReceiver := func(entry Entry) bool { return entry.Name == to }
		aboutReceiver := func(report Report) bool { return report.Subject == to }
		gossip.Entries = slices.DeleteFunc(slices.Clone(gossip.Entries), ofReceiver)
		gossip.Reports = slices.DeleteFunc(slices.Clone(gossip.Reports), aboutReceiver)
	}
	if fault.believesOneClaim {
		for _, member := range cluster.tables[to].members.byName {
			member.deathClaims[to] = true // the table itself is the first of the two claimants needed
		}
	}
	return gossip
}

func (cluster *testCluster) send(from string, sends []Send) {
	for _, send := range sends {
		sent := message{from, cluster.tables[from].self.entry.Incarnation, send}
		cluster.inTransit = append(cluster.inTransit, sent)
		if cluster.twice {
			cluster.inTransit = append(cluster.inTransit, sent)
		}
	}
}

// believers returns how many instances believe a member to be in a state, and how many were asked: all others that are
// up and not in except.
func (cluster *testCluster) believers(name string, state State, except ...string) (believe, all int) {
	for _, other := range cluster.names {
		if other == name || cluster.down[other] || slices.Contains(except, other) {
			continue
		}
		all++
		if member, _ := cluster.tables[other].Member(name); member.State == state {
			believe++
		}
	}
	return believe, all
}

// isBelieved reports whether any other instance that is up and not in except believes a member to be in a state.
func (cluster *testCluster) isBelieved(name string, state State, except ...string) bool {
	believe, _ := cluster.believers(name, state, except...)
	return believe > 0
}

// checkAll fails the test unless all other instances that are up believe a member to be in a state.
func (cluster *testCluster) checkAll(name string, state State) {
	cluster.t.Helper()
	if believe, all := cluster.believers(name, state); believe != all {
		cluster.t.Errorf("%d of %d instances believe %s to be %s, want all", believe, all, name, state)
	}
}

// checkAllAlive fails the test unless all instances believe each other alive and publish the same view.
func (cluster *testCluster) checkAllAlive() {
	cluster.t.Helper()
	for _, name := range cluster.names {
		cluster.checkAll(name, Alive)
	}
	if name := cluster.differentView(); name != "" {
		cluster.t.Errorf("%s publishes another view than %s", name, cluster.names[0])
	}
}

// differentView returns the name of an instance whose published view differs from that of the first instance, or "" if
// there is none.
func (cluster *testCluster) differentView() string {
	_, first, _ := cluster.tables[cluster.names[0]].ViewInfo()
	for _, name := range cluster.names {
		if _, digest, _ := cluster.tables[name].ViewInfo(); digest != first {
			return name
		}
	}
	return ""
}
