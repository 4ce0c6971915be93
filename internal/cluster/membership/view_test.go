package membership

import "testing"

// When many members change at once, the published view changes only a few times.
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

// A member that keeps failing is held out of the published view for longer each time.
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
