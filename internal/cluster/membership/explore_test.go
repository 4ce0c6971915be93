package membership

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
)

// event is one thing that happens for a while to three members.
type event struct {
	name     string
	duration int64
	begin    func(cluster *testCluster)
}

// end takes back what events do to links; pauses end by themselves, and restarts stay.
func (event) end(cluster *testCluster) { cluster.cut, cluster.twice = noCut, false }

// allEvents are: nothing, each way lost, all ways to or from one, everything twice, a pause, a restart, one
// with the wall clock set back; each for a moment and for long enough to be believed dead.
func allEvents() []event {
	var events []event
	add := func(name string, begin func(cluster *testCluster)) {
		for _, duration := range []int64{second * 3 / 5, 4 * second} {
			events = append(events, event{fmt.Sprintf("%s %d ms", name, duration/1e6), duration, begin})
		}
	}
	cut := func(name string, cut func(from, to string) bool) {
		add(name, func(cluster *testCluster) { cluster.cut = cut })
	}
	add("nothing", func(*testCluster) {})
	add("twice", func(cluster *testCluster) { cluster.twice = true })
	for i := range 3 {
		name := fmt.Sprintf("n%03d", i)
		cut("deaf "+name, func(_, to string) bool { return to == name })
		cut("mute "+name, func(from, _ string) bool { return from == name })
		cut("cut off "+name, func(from, to string) bool { return from == name || to == name })
		add("paused "+name, func(cluster *testCluster) { cluster.pausedUntil[name] = cluster.now + 3*second })
		add("restarted "+name, func(cluster *testCluster) { cluster.start(name, cluster.wallMS()) })
		add("restarted with its clock set back "+name, func(cluster *testCluster) { cluster.start(name, 1) })
		for j := range 3 {
			if other := fmt.Sprintf("n%03d", j); name != other {
				cut("lost from "+name+" to "+other, func(from, to string) bool { return from == name && to == other })
			}
		}
	}
	return events
}

// course plays events and watches what each says of itself.
type course struct {
	*testCluster
	issued map[string]map[uint64]uint64 // by name and incarnation: the highest version that it has said of itself
}

// check returns what is wrong at this instant; empty is nothing.
func (course *course) check() string {
	for _, name := range course.names {
		self := course.tables[name].Self()
		if course.issued[name] == nil {
			course.issued[name] = map[uint64]uint64{}
		}
		if self.Version < course.issued[name][self.Incarnation] {
			return name + " went back"
		}
		course.issued[name][self.Incarnation] = self.Version
	}
	for _, name := range course.names {
		for _, member := range course.tables[name].Members() {
			if member.State == Alive && member.Version > course.issued[member.Name][member.Incarnation] {
				return fmt.Sprintf("%s believes in version %d of %s, which it never had",
					name, member.Version, member.Name)
			}
		}
	}
	return ""
}

// runChecked lets time go on until something is wrong.
func (course *course) runChecked(duration int64) (wrong string) {
	for end := course.now + duration; course.now < end && wrong == ""; {
		course.run(second / 5)
		wrong = course.check()
	}
	return wrong
}

// checkEnd returns what is wrong once all is over: then all believe in all, as they are now, and hand on the
// same view.
func (course *course) checkEnd() string {
	for _, name := range course.names {
		for _, member := range course.tables[name].Members() {
			self := course.tables[member.Name].Self()
			if member.State != Alive || member.Incarnation != self.Incarnation || member.Version != self.Version {
				return fmt.Sprintf("in the end %s believes %s %s, version %d of %d",
					name, member.Name, member.State, member.Version, self.Version)
			}
		}
	}
	if name := course.otherView(); name != "" {
		return name + " hands on another view in the end"
	}
	return ""
}

// explore plays a course of events and returns what it broke; empty is nothing.
func explore(t *testing.T, events []event, fault plantedFault) string {
	t.Helper()
	course := &course{newFaultyCluster(t, 3, fault), map[string]map[uint64]uint64{}}
	if wrong := course.runChecked(3 * second); wrong != "" {
		return wrong
	}
	for _, event := range events {
		event.begin(course.testCluster)
		if wrong := course.runChecked(event.duration); wrong != "" {
			return wrong
		}
		event.end(course.testCluster)
	}
	if wrong := course.runChecked(14 * second); wrong != "" {
		return wrong
	}
	return course.checkEnd()
}

// exploreCourses is how many courses are drawn; TEALPATH_EXPLORE asks for more.
func exploreCourses(usual int) int {
	if asked, err := strconv.Atoi(os.Getenv("TEALPATH_EXPLORE")); err == nil {
		return asked
	}
	return usual
}

// Every course of two events, and drawn ones of four; with TEALPATH_EXPLORE=N so many drawn ones, and every
// one of three for N above 1,000,000.
func TestDrawnCoursesEndInAgreement(t *testing.T) {
	const maxDrawn = 1_000_000
	all, drawn := allEvents(), exploreCourses(400)
	tried := 0
	try := func(events ...event) {
		tried++
		if wrong := explore(t, events, plantedFault{}); wrong != "" {
			names := ""
			for _, event := range events {
				names += event.name + "; "
			}
			t.Fatalf("%s: %s", names, wrong)
		}
	}
	for _, first := range all {
		for _, next := range all {
			if testing.Short() && tried > 200 {
				break
			}
			try(first, next)
			if drawn > maxDrawn {
				for _, third := range all {
					try(first, next, third)
				}
			}
		}
	}
	rng := rand.New(rand.NewPCG(7, 7))
	draw := func() event { return all[rng.IntN(len(all))] }
	for range min(drawn, maxDrawn) {
		try(draw(), draw(), draw(), draw())
	}
	t.Logf("%d courses", tried)
}

// A planted fault is found by courses of one event.
func TestCoursesFindAMemberThatCannotRefute(t *testing.T) {
	found := 0
	for _, one := range allEvents() {
		if explore(t, []event{one}, plantedFault{noRefuting: true}) != "" {
			found++
		}
	}
	if found == 0 {
		t.Error("one that can't refute is not found")
	}
	t.Logf("found in %d courses", found)
}
