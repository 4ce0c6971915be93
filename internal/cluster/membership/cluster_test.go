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

// plantedFault is a fault that the checks must find, planted by what a table is told and by its state.
type plantedFault struct {
	noRefuting  bool // a table hears nothing of its own instance
	believeOne  bool // one neighbour's word that a member is dead is enough
	blameOthers bool // a table does not see that it was late itself
}

// testCluster is tables that tell each other, in steps of 50 ms; a message takes one step.
type testCluster struct {
	t           *testing.T
	now         int64
	names       []string
	tables      map[string]*Table
	faults      map[string]plantedFault // of tables started while fault was set
	down        map[string]bool
	pausedUntil map[string]int64
	cut         func(from, to string) bool
	loss        float64
	rng         *rand.Rand
	inTransit   []letter
	fault       plantedFault // of tables that are started
	twice       bool         // each message comes twice
	starts      uint64
	observe     func(name string, sends []Send, changes []Change) // of each step of a table; nil: nobody looks
}

// letter is a message under way.
type letter struct {
	from        string
	incarnation uint64
	send        Send
}

func noCut(string, string) bool { return false }

func newCluster(t *testing.T, count int) *testCluster {
	t.Helper()
	return newFaultyCluster(t, count, plantedFault{})
}

// newFaultyCluster is a cluster in which each table has a planted fault.
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

// start starts a table with a wall clock, ms.
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

// run lets time go on in steps.
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
	if cluster.faults[name].blameOthers {
		table.health.tickedAt = cluster.now
	}
	sends, changes := table.Tick(cluster.now)
	cluster.observed(name, sends, changes)
	cluster.send(name, sends)
}

// observed shows what a table did to whoever looks.
func (cluster *testCluster) observed(name string, sends []Send, changes []Change) {
	if cluster.observe != nil {
		cluster.observe(name, sends, changes)
	}
}

// deliver hands over what is under way; messages to paused tables wait.
func (cluster *testCluster) deliver() {
	letters := cluster.inTransit
	cluster.inTransit = nil
	for _, letter := range letters {
		to := letter.send.To
		table := cluster.tables[to]
		if cluster.down[to] || table == nil || cluster.cut(letter.from, to) || cluster.rng.Float64() < cluster.loss {
			continue
		}
		if cluster.pausedUntil[to] > cluster.now {
			cluster.inTransit = append(cluster.inTransit, letter)
			continue
		}
		table.ObserveIncarnation(cluster.now, letter.from, letter.incarnation)
		sends, changes := table.Receive(cluster.now, letter.from, cluster.plant(to, letter.send.Gossip))
		cluster.observed(to, sends, changes)
		cluster.send(to, sends)
	}
}

// plant plants faults into what a table is about to be told.
func (cluster *testCluster) plant(to string, gossip Gossip) Gossip {
	fault := cluster.faults[to]
	if fault.noRefuting {
		ofReceiver := func(entry Entry) bool { return entry.Name == to }
		aboutReceiver := func(report Report) bool { return report.Subject == to }
		gossip.Entries = slices.DeleteFunc(slices.Clone(gossip.Entries), ofReceiver)
		gossip.Reports = slices.DeleteFunc(slices.Clone(gossip.Reports), aboutReceiver)
	}
	if fault.believeOne {
		for _, member := range cluster.tables[to].members.byName {
			member.deathClaims[to] = true // as if this instance believed it as well
		}
	}
	return gossip
}

func (cluster *testCluster) send(from string, sends []Send) {
	for _, send := range sends {
		sent := letter{from, cluster.tables[from].self.entry.Incarnation, send}
		cluster.inTransit = append(cluster.inTransit, sent)
		if cluster.twice {
			cluster.inTransit = append(cluster.inTransit, sent)
		}
	}
}

// believers counts those that are up, but for some, and believe a member to be in a state, and all that could.
func (cluster *testCluster) believers(name string, state State, but ...string) (believe, all int) {
	for _, other := range cluster.names {
		if other == name || cluster.down[other] || slices.Contains(but, other) {
			continue
		}
		all++
		if member, _ := cluster.tables[other].Member(name); member.State == state {
			believe++
		}
	}
	return believe, all
}

// isBelieved reports whether anybody that is up, but for some, believes a member to be in a state.
func (cluster *testCluster) isBelieved(name string, state State, but ...string) bool {
	believe, _ := cluster.believers(name, state, but...)
	return believe > 0
}

// checkAll wants a member to be believed to be in a state by all others that are up.
func (cluster *testCluster) checkAll(name string, state State) {
	cluster.t.Helper()
	if believe, all := cluster.believers(name, state); believe != all {
		cluster.t.Errorf("%d of %d believe %s %s", believe, all, name, state)
	}
}

// checkAllAlive wants all to believe all alive, and to hand on the same view.
func (cluster *testCluster) checkAllAlive() {
	cluster.t.Helper()
	for _, name := range cluster.names {
		cluster.checkAll(name, Alive)
	}
	if name := cluster.otherView(); name != "" {
		cluster.t.Errorf("%s hands on another view", name)
	}
}

// otherView is one that hands on another view than the first; empty is none.
func (cluster *testCluster) otherView() string {
	_, first, _ := cluster.tables[cluster.names[0]].ViewInfo()
	for _, name := range cluster.names {
		if _, digest, _ := cluster.tables[name].ViewInfo(); digest != first {
			return name
		}
	}
	return ""
}
