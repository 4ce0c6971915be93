package membership

import (
	"fmt"
	"testing"
)

// A killed member must be believed dead by all others after 3 s, but not yet after 1.9 s, because it might only be
// slow for a moment. After a restart all must believe it alive again.
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

// A pause of up to 1.5 s must not make others believe a member dead; one of 5 s or longer must. After the pause the
// member must be believed alive again and know how long it was away. Members that were not paused must not be believed
// dead by any member, not even by those that were paused and may take their own pause for the silence of others.
func TestPausedMembers(t *testing.T) {
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
					t.Errorf("%s, paused for %d ms: believed dead %v, want %v", name, test.duration/1e6, dead, test.dead)
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
				t.Errorf("%d times an instance believed a member dead that was never paused", wrongly)
			}
			cluster.checkAllAlive()
			if away := cluster.tables[paused[0]].Away(); test.duration > second && away < test.duration-2*interval {
				t.Errorf("%s was away for %d ms by its own account, want about %d",
					paused[0], away/1e6, test.duration/1e6)
			}
		})
	}
}

// ringNext returns the name whose number follows that of name; the first name follows the last of count names.
func ringNext(t *testing.T, name string, count int) string {
	t.Helper()
	var number int
	if _, err := fmt.Sscanf(name, "n%03d", &number); err != nil {
		t.Fatal(err)
	}
	return fmt.Sprintf("n%03d", (number+1)%count)
}

// checkNobodyDead fails the test if an instance believes another one dead.
func (cluster *testCluster) checkNobodyDead() {
	cluster.t.Helper()
	for _, name := range cluster.names {
		if cluster.isBelieved(name, Dead) {
			cluster.t.Fatalf("some instance believes %s dead", name)
		}
	}
}

// A member that receives no messages, or whose messages are all lost, must be believed dead by all others within 5 s,
// because it cannot work with them. If single links lose messages in one direction, between two members or around a
// ring, no member must be believed dead.
func TestOneWayCuts(t *testing.T) {
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
				if cutOff := cluster.tables["n003"].IsCutOff(); cutOff != (test.name == "deaf") {
					t.Errorf("n003 considers itself cut off: %v, want %v", cutOff, test.name == "deaf")
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

// During a network split, each side must believe its own members alive and the others dead. Once the split is over,
// all instances must believe each other alive again within 5 s.
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
				t.Fatalf("%s believes %s to be %s, want %s", name, other, member.State, want)
			}
		}
	}
	cluster.cut = noCut
	cluster.run(5 * second)
	cluster.checkAllAlive()
}

// If a fifth of all messages is lost, no member must be believed dead. If two fifths are lost, some members may be,
// but all must be believed alive again once no more messages are lost.
func TestLostMessages(t *testing.T) {
	for _, test := range []struct {
		loss    float64
		maxDead int // most members that may be believed dead while messages are lost
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
		if len(wrong) > test.maxDead {
			t.Errorf("loss of %.2f: %d members were believed dead, want at most %d", test.loss, len(wrong), test.maxDead)
		}
		cluster.loss = 0
		cluster.run(6 * second)
		cluster.checkAllAlive()
	}
}

// A member that cannot refute reports must stay dead after a pause. Otherwise the other tests, in which paused members
// are believed alive again, would not notice that refutation is broken.
func TestMemberThatCannotRefuteStaysDead(t *testing.T) {
	cluster := newCluster(t, 30)
	cluster.fault = plantedFault{cannotRefute: true}
	cluster.start("n003", cluster.wallMS())
	cluster.run(4 * second)
	cluster.pausedUntil["n003"] = cluster.now + 5*second
	cluster.run(12 * second)
	if !cluster.isBelieved("n003", Dead) {
		t.Error("n003 cannot refute, but is believed alive again")
	}
}

// A member that was paused must not report others as silent, because the silence was its own. With the planted fault
// that hides its delay it does report them, so the test can tell the difference.
func TestLateMemberReportsNobody(t *testing.T) {
	for _, test := range []struct {
		name    string
		fault   plantedFault
		reports bool
	}{
		{"without a fault", plantedFault{}, false},
		{"ignoring their own delay", plantedFault{ignoresOwnDelay: true}, true},
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
				t.Errorf("%d reports by paused members, want some: %v", reported, test.reports)
			}
		})
	}
}

// countReports returns how many of the observers' own reports say that one of the subjects is silent or deaf.
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
