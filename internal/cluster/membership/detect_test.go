package membership

import (
	"fmt"
	"testing"
)

func TestKilledMemberIsBelievedDeadInTime(t *testing.T) {
	for _, count := range []int{2, 3, 5, 30} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			cluster := newCluster(t, count)
			cluster.run(4 * second)
			cluster.checkAllAlive()
			cluster.down["n001"] = true
			cluster.run(19 * second / 10)
			cluster.checkAll("n001", Alive)
			cluster.run(11 * second / 10)
			cluster.checkAll("n001", Dead)
			cluster.start("n001", cluster.wallMS())
			cluster.run(3 * second)
			cluster.checkAllAlive()
		})
	}
}

// Pauses up to 1.5 s kill nobody; one that was paused for longer comes back, knows that it was away and holds
// it against nobody.
func TestPauseBelowTheSilenceTimeoutKillsNobody(t *testing.T) {
	for _, test := range []struct {
		name     string
		duration int64
		count    int
		dead     bool
	}{
		{"half a second", second / 2, 1, false},
		{"1.5 s", 3 * second / 2, 1, false},
		{"5 s", 5 * second, 1, true},
		{"30 s", 30 * second, 1, true},
		{"a tenth for 5 s", 5 * second, 3, true},
		{"half for 5 s", 5 * second, 15, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			cluster := newCluster(t, 30)
			cluster.run(4 * second)
			paused := cluster.names[:test.count]
			for _, name := range paused {
				cluster.pausedUntil[name] = cluster.now + test.duration
			}
			cluster.run(test.duration)
			for _, name := range paused {
				if dead := cluster.isBelieved(name, Dead, paused...); dead != test.dead {
					t.Errorf("%s: dead %v", name, dead)
				}
			}
			wrongly := 0
			for end := cluster.now + 5*second; cluster.now < end; {
				cluster.run(second / 10)
				for _, name := range cluster.names[test.count:] {
					believe, _ := cluster.believers(name, Dead)
					wrongly += believe
				}
			}
			if wrongly > 0 {
				t.Errorf("%d beliefs that one is dead which never slept", wrongly)
			}
			cluster.checkAllAlive()
			if away := cluster.tables[paused[0]].Away(); test.duration > second && away < test.duration-2*interval {
				t.Errorf("it was away for %d ms by its own account", away/1e6)
			}
		})
	}
}

// ringNext is the name after another in a ring of so many.
func ringNext(t *testing.T, name string, count int) string {
	t.Helper()
	var number int
	if _, err := fmt.Sscanf(name, "n%03d", &number); err != nil {
		t.Fatal(err)
	}
	return fmt.Sprintf("n%03d", (number+1)%count)
}

// checkNobodyDead wants nobody to be believed dead by anybody.
func (cluster *testCluster) checkNobodyDead() {
	cluster.t.Helper()
	for _, name := range cluster.names {
		if cluster.isBelieved(name, Dead) {
			cluster.t.Fatalf("%s is believed dead", name)
		}
	}
}

// One that hears nobody, and one that nobody hears, are believed dead by all others within 5 s; a link that
// works in one direction between two kills nobody, nor does a ring of such.
func TestOneSidedCutIsJudgedAlike(t *testing.T) {
	for _, test := range []struct {
		name string
		cut  func(from, to string) bool
		dead bool
	}{
		{"deaf", func(_, to string) bool { return to == "n003" }, true},
		{"mute", func(from, _ string) bool { return from == "n003" }, true},
		{"between two", func(from, to string) bool { return from == "n003" && to == "n004" }, false},
		{"a ring", func(from, to string) bool {
			return ringNext(t, from, 30) == to
		}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			cluster := newCluster(t, 30)
			cluster.run(4 * second)
			cluster.cut = test.cut
			cluster.run(5 * second)
			if test.dead {
				cluster.checkAll("n003", Dead)
				if cluster.tables["n003"].IsCutOff() != (test.name == "deaf") {
					t.Error("it does not know whether it is cut off")
				}
				cluster.run(10 * second)
				cluster.checkAll("n003", Dead)
			} else {
				for range 20 {
					cluster.run(second)
					cluster.checkNobodyDead()
				}
			}
			cluster.cut = noCut
			cluster.run(8 * second)
			cluster.checkAllAlive()
		})
	}
}

// Each side of a split agrees within itself; after healing all agree within 5 s.
func TestSplit(t *testing.T) {
	cluster := newCluster(t, 60)
	cluster.run(4 * second)
	side := func(name string) bool { return name < "n020" }
	cluster.cut = func(from, to string) bool { return side(from) != side(to) }
	cluster.run(12 * second)
	for _, name := range cluster.names {
		for _, other := range cluster.names {
			want := Alive
			if side(name) != side(other) {
				want = Dead
			}
			member, _ := cluster.tables[name].Member(other)
			if name != other && member.State != want {
				t.Fatalf("%s believes %s %s", name, other, member.State)
			}
		}
	}
	cluster.cut = noCut
	cluster.run(5 * second)
	cluster.checkAllAlive()
}

// A fifth of all messages lost kills nobody; with two fifths who is believed dead is not so for long.
func TestLostMessagesKillNobodyForLong(t *testing.T) {
	for _, test := range []struct {
		loss float64
		most int
	}{{0.05, 0}, {0.2, 0}, {0.4, 3}} {
		cluster := newCluster(t, 40)
		cluster.run(4 * second)
		cluster.loss = test.loss
		wrong := map[string]bool{}
		for range 120 {
			cluster.run(second / 2)
			for _, name := range cluster.names {
				if cluster.isBelieved(name, Dead) {
					wrong[name] = true
				}
			}
		}
		if len(wrong) > test.most {
			t.Errorf("loss of %.2f: %d were believed dead", test.loss, len(wrong))
		}
		cluster.loss = 0
		cluster.run(6 * second)
		cluster.checkAllAlive()
	}
}

// One that can't refute stays dead: the checks see that.
func TestMemberThatCannotRefuteStaysDead(t *testing.T) {
	cluster := newCluster(t, 30)
	cluster.fault = plantedFault{noRefuting: true}
	cluster.start("n003", cluster.wallMS())
	cluster.run(4 * second)
	cluster.pausedUntil["n003"] = cluster.now + 5*second
	cluster.run(12 * second)
	if !cluster.isBelieved("n003", Dead) {
		t.Error("one that can't refute is alive again")
	}
}

// Those that do not blame themselves for a pause report others, those that do report nobody.
func TestLateMemberReportsNobody(t *testing.T) {
	for _, test := range []struct {
		name    string
		fault   plantedFault
		reports bool
	}{
		{"as it is", plantedFault{}, false},
		{"where others are blamed", plantedFault{blameOthers: true}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			cluster := newFaultyCluster(t, 30, test.fault)
			cluster.run(4 * second)
			paused, awake := cluster.names[:15], cluster.names[15:]
			for _, name := range paused {
				cluster.pausedUntil[name] = cluster.now + 5*second
			}
			cluster.run(5 * second)
			reported := 0
			for range 10 {
				cluster.run(step)
				reported += cluster.countReports(paused, awake)
			}
			if (reported > 0) != test.reports {
				t.Errorf("%d reports by those that were paused", reported)
			}
		})
	}
}

// countReports counts the reports by some of others, as the observers themselves keep them.
func (cluster *testCluster) countReports(observers, subjects []string) int {
	count := 0
	for _, observer := range observers {
		for _, subject := range subjects {
			member, _ := cluster.tables[observer].Member(subject)
			for _, report := range member.Reports {
				if report.Observer == observer && report.Kind != Healthy {
					count++
				}
			}
		}
	}
	return count
}
