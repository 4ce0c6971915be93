package membership

import "testing"

// Each change of the published view may move leases. The loss of a third of the members must therefore change the view
// at most three times rather than once per member.
func TestSimultaneousChangesMakeFewViews(t *testing.T) {
	cluster := newCluster(t, 120)
	cluster.run(4 * second)
	cluster.checkAllAlive()
	before, _, _ := cluster.tables["n119"].ViewInfo()
	for _, name := range cluster.names[:40] {
		cluster.down[name] = true
	}
	cluster.run(6 * second)
	for _, name := range cluster.names[:40] {
		cluster.checkAll(name, Dead)
	}
	if after, _, _ := cluster.tables["n119"].ViewInfo(); after-before > 3 {
		t.Errorf("the view changed %d times for one loss of 40 members, want at most 3", after-before)
	}
	for _, name := range cluster.names[40:60] {
		cluster.send(name, cluster.tables[name].Leave(cluster.now))
	}
	cluster.run(2 * second)
	for _, name := range cluster.names[40:60] {
		cluster.down[name] = true
	}
	for _, name := range cluster.names[40:60] {
		cluster.checkAll(name, Left)
	}
	for _, name := range cluster.names[:60] {
		cluster.start(name, cluster.wallMS())
	}
	cluster.run(5 * second)
	cluster.checkAllAlive()
}

// If a member that keeps failing returned to the published view each time it is alive, leases would move to it and
// back again. It must be held out until it has been alive for long enough.
func TestFlappingMemberIsHeldOutOfTheView(t *testing.T) {
	cluster := newCluster(t, 20)
	cluster.run(4 * second)
	before, _, _ := cluster.tables["n009"].ViewInfo()
	for range 6 {
		cluster.cut = func(from, _ string) bool { return from == "n003" }
		cluster.run(4 * second)
		cluster.cut = noCut
		cluster.run(4 * second)
	}
	if after, _, _ := cluster.tables["n009"].ViewInfo(); after-before > 10 {
		t.Errorf("the view changed %d times for a member that failed six times, want at most 10", after-before)
	}
	if member, _ := cluster.tables["n009"].Member("n003"); member.State != Alive || !member.HeldOut {
		t.Errorf("n003 is %+v, want it alive and held out", member)
	}
	cluster.run(40 * second)
	if member, _ := cluster.tables["n009"].Member("n003"); member.HeldOut {
		t.Error("n003 is still held out 40 s after its last failure")
	}
	cluster.checkAllAlive()
}
