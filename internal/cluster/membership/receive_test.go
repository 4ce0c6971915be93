package membership

import (
	"fmt"
	"testing"
)

// Restarts under the same name: also where the wall clock was set back; and two that run at once are seen by all.
func TestRestartsUnderOneName(t *testing.T) {
	cluster := newCluster(t, 12)
	cluster.run(4 * second)
	cluster.down["n003"] = true
	cluster.run(6 * second)
	cluster.start("n003", 1) // its clock says 1970
	cluster.run(5 * second)
	cluster.checkAllAlive()
	for _, name := range cluster.names {
		if cluster.tables[name].IsDuplicated(cluster.now, "n003") {
			t.Errorf("%s holds the one that was replaced for a second one", name)
		}
	}
	const twinIncarnation = 77
	twin := New(cluster.now, Config{
		Self: Entry{
			Name:        "n003",
			Incarnation: twinIncarnation,
			Start:       cluster.wallMS(),
			Address:     "n003:1",
			Weight:      1,
		},
		HeartbeatInterval: interval,
		SilenceTimeout:    2 * second,
		ReplacedTimeout:   5 * interval,
		Seed:              5,
		Contacts:          []Contact{{"n001", "n001:1", 1}, {"n002", "n002:1", 1}},
	})
	twice, seen := map[string]bool{}, false
	for range 60 {
		sends, _ := twin.Tick(cluster.now)
		for _, send := range sends {
			cluster.inTransit = append(cluster.inTransit, letter{"n003", twinIncarnation, send})
		}
		cluster.run(step)
		for _, name := range cluster.names {
			twice[name] = twice[name] || cluster.tables[name].IsDuplicated(cluster.now, "n003")
		}
		seen = seen || cluster.tables["n003"].IsDuplicated(cluster.now, "n003")
	}
	if !twice["n001"] || !twice["n002"] || !seen {
		t.Errorf("who hears both: %v; itself: %v", twice, seen)
	}
}

// One that lies: its reports and its word alone bury nobody, in its own name or in others'.
func TestLiar(t *testing.T) {
	for _, test := range []struct {
		name  string
		fault plantedFault
		dead  bool
	}{
		{"as it is", plantedFault{}, false},
		{"where one is believed", plantedFault{believeOne: true}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			cluster := newFaultyCluster(t, 30, test.fault)
			cluster.run(4 * second)
			buried := false
			seq := uint64(1) << 50
			for range 100 {
				cluster.run(second / 10)
				lie := lieAbout(cluster.tables["n001"], "n003", &seq)
				for _, to := range cluster.names {
					if to != "n001" && to != "n003" {
						cluster.send("n001", []Send{{to, lie}})
					}
				}
				buried = buried || cluster.isBelieved("n003", Dead)
			}
			if buried != test.dead {
				t.Errorf("believed dead: %v", buried)
			}
		})
	}
}

// lieAbout says that a member is dead, and that each of its observers reports it.
func lieAbout(liar *Table, name string, seq *uint64) Gossip {
	subject, _ := liar.Member(name)
	lie := Gossip{Entries: []Entry{subject.Entry}}
	lie.Entries[0].Dead = true
	for _, observer := range liar.links.observersOf(name) {
		*seq++
		lie.Reports = append(lie.Reports, Report{name, subject.Incarnation, subject.Version, observer, *seq, Silent})
	}
	return lie
}

// What is unusable is refused, and memory is bounded.
func TestUnusableInputIsRejectedAndMemoryBounded(t *testing.T) {
	cluster := newCluster(t, 3)
	cluster.run(2 * second)
	table := cluster.tables["n000"]
	receive := func(gossip Gossip) { table.Receive(cluster.now, "n001", gossip) }
	long := string(make([]byte, maxNameSize+1))
	before := table.Rejected()
	receive(Gossip{Entries: []Entry{
		{Name: long, Weight: 1}, {Name: "x", Weight: 0}, {Name: "", Weight: 1}, {Name: "y", Weight: 1e9},
	}})
	receive(Gossip{Reports: []Report{{Subject: long}, {Subject: "n002", Kind: 9}}})
	receive(Gossip{BucketDigests: make([]uint64, 3)})
	receive(Gossip{Entries: make([]Entry, MaxPerMessage+3)})
	if rejected := table.Rejected() - before; rejected != 8 {
		t.Errorf("%d rejected", rejected)
	}
	for i := range MaxMembers + 200 {
		receive(Gossip{Entries: []Entry{{Name: fmt.Sprint("z", i), Incarnation: 1, Start: 1, Weight: 1}}})
	}
	if len(table.members.byName) > MaxMembers {
		t.Errorf("%d members", len(table.members.byName))
	}
	for i := range uint64(200) {
		receive(Gossip{Entries: []Entry{{Name: "z1", Incarnation: i + 2, Start: i + 2, Weight: 1}}})
	}
	if kept := len(table.members.byName["z1"].incarnations); kept > maxIncarnations {
		t.Errorf("%d starts under a name", kept)
	}
	subject, _ := table.Member("n002")
	for i := range 100 {
		report := Report{"n002", subject.Incarnation, subject.Version, fmt.Sprint("o", i), 1, Silent}
		receive(Gossip{Reports: []Report{report}})
	}
	if kept := len(table.members.byName["n002"].reports); kept > maxReports {
		t.Errorf("%d reports", kept)
	}
}
