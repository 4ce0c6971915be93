package membership

import "testing"

// Many at once are few changes of the view handed on.
func TestManyChangesAtOnceAreFewViews(t *testing.T) {
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
		t.Errorf("%d views for one loss", after-before)
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

// One that keeps dying is held out of the view handed on for longer each time.
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
		t.Errorf("%d views for one that died six times", after-before)
	}
	if member, _ := cluster.tables["n009"].Member("n003"); member.State != Alive || !member.HeldOut {
		t.Errorf("%+v", member)
	}
	cluster.run(40 * second)
	if member, _ := cluster.tables["n009"].Member("n003"); member.HeldOut {
		t.Error("it is held out for good")
	}
	cluster.checkAllAlive()
}
