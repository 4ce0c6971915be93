package membership

import (
	"fmt"
	"testing"
)

// A member that restarts with its wall clock set back to 1970 must be believed alive again and must not be taken for
// two instances under one name. Two instances that do run under one name must be detected by the first of them and by
// the contacts of the second.
func TestRestartsUnderOneName(t *testing.T) {
	cluster := newCluster(t, 12)
	cluster.run(4 * second)
	cluster.down["n003"] = true
	cluster.run(6 * second)
	cluster.start("n003", 1) // its wall clock is 1 ms after the Unix epoch
	cluster.run(5 * second)
	cluster.checkAllAlive()
	for _, name := range cluster.names {
		if cluster.tables[name].IsDuplicated(cluster.now, "n003") {
			t.Errorf("%s believes that two instances run as n003, but the first one was restarted", name)
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
			cluster.inTransit = append(cluster.inTransit, message{"n003", twinIncarnation, send})
		}
		cluster.run(step)
		for _, name := range cluster.names {
			twice[name] = twice[name] || cluster.tables[name].IsDuplicated(cluster.now, "n003")
		}
		seen = seen || cluster.tables["n003"].IsDuplicated(cluster.now, "n003")
	}
	if !twice["n001"] || !twice["n002"] || !seen {
		t.Errorf("duplicate of n003 detected by others: %v, by n003: %v; want n001, n002 and n003", twice, seen)
	}
}

// A faulty member that claims another's death, and forges reports of all its observers, must not make any instance
// believe it. With the planted fault believesOneClaim a single claim is enough, which shows that the test can detect a
// false belief.
func TestFalseReportsOfOneMember(t *testing.T) {
	for _, test := range []struct {
		name  string
		fault plantedFault
		dead  bool
	}{
		{"without a fault", plantedFault{}, false},
		{"one claim is believed", plantedFault{believesOneClaim: true}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			cluster := newFaultyCluster(t, 30, test.fault)
			cluster.run(4 * second)
			believedDead := false
			seq := uint64(1) << 50
			for range 100 {
				cluster.run(second / 10)
				forged := forgeReports(cluster.tables["n001"], "n003", &seq)
				for _, to := range cluster.names {
					if to != "n001" && to != "n003" {
						cluster.send("n001", []Send{{to, forged}})
					}
				}
				believedDead = believedDead || cluster.isBelieved("n003", Dead)
			}
			if believedDead != test.dead {
				t.Errorf("n003 believed dead: %v, want %v", believedDead, test.dead)
			}
		})
	}
}

// forgeReports returns gossip with an entry that claims a member's death, and with one report about it for each of its
// observers. It raises seq for each report.
func forgeReports(sender *Table, name string, seq *uint64) Gossip {
	subject, _ := sender.Member(name)
	forged := Gossip{Entries: []Entry{subject.Entry}}
	forged.Entries[0].Dead = true
	for _, observer := range sender.links.observersOf(name) {
		*seq++
		report := Report{name, subject.Incarnation, subject.Version, observer, *seq, Silent}
		forged.Reports = append(forged.Reports, report)
	}
	return forged
}

// A faulty instance must not get unusable entries and reports into the tables of others, nor make their memory grow
// without bound.
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
		t.Errorf("%d messages, entries and reports rejected, want 8", rejected)
	}
	for i := range MaxMembers + 200 {
		receive(Gossip{Entries: []Entry{{Name: fmt.Sprint("z", i), Incarnation: 1, Start: 1, Weight: 1}}})
	}
	if len(table.members.byName) > MaxMembers {
		t.Errorf("%d members kept, want at most %d", len(table.members.byName), MaxMembers)
	}
	for i := range uint64(200) {
		receive(Gossip{Entries: []Entry{{Name: "z1", Incarnation: i + 2, Start: i + 2, Weight: 1}}})
	}
	if kept := len(table.members.byName["z1"].incarnations); kept > maxIncarnations {
		t.Errorf("%d incarnations of one name kept, want at most %d", kept, maxIncarnations)
	}
	subject, _ := table.Member("n002")
	for i := range 100 {
		report := Report{"n002", subject.Incarnation, subject.Version, fmt.Sprint("o", i), 1, Silent}
		receive(Gossip{Reports: []Report{report}})
	}
	if kept := len(table.members.byName["n002"].reports); kept > maxReports {
		t.Errorf("%d reports of one member kept, want at most %d", kept, maxReports)
	}
}
