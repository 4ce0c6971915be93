package membership

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
)

// event is a fault or a restart in a cluster of three members.
type event struct {
	name     string
	duration int64
	begin    func(cluster *testCluster)
}

// end ends the loss or duplication of messages by an event. A pause ends by itself.
func (event) end(cluster *testCluster) { cluster.cut, cluster.twice = noCut, false }

// allEvents returns these events: no fault; the loss of all messages from one member to another, to one member, from
// one member, or both to and from one member; each message delivered twice; a pause; a restart, with the wall clock
// right or set back.
// Each has a short variant and one that lasts long enough for members to be believed dead.
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
	add("no fault", func(*testCluster) {})
	add("each message twice", func(cluster *testCluster) { cluster.twice = true })
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

// scenario is a cluster in which events run one after another, with the versions that its instances have published of
// their own entries.
type scenario struct {
	*testCluster
	issued map[string]map[uint64]uint64 // by name and incarnation: highest version in the instance's own entry
}

// check returns an error text if an instance has lowered its own version, or if another knows a version that the
// instance has not published. It returns "" if there is no error.
func (scenario *scenario) check() string {
	for _, name := range scenario.names {
		self := scenario.tables[name].Self()
		if scenario.issued[name] == nil {
			scenario.issued[name] = map[uint64]uint64{}
		}
		if self.Version < scenario.issued[name][self.Incarnation] {
			return fmt.Sprintf("%s lowered its version from %d to %d",
				name, scenario.issued[name][self.Incarnation], self.Version)
		}
		scenario.issued[name][self.Incarnation] = self.Version
	}
	for _, name := range scenario.names {
		for _, member := range scenario.tables[name].Members() {
			if member.State == Alive && member.Version > scenario.issued[member.Name][member.Incarnation] {
				return fmt.Sprintf("%s knows version %d of %s, which has published none above %d", name,
					member.Version, member.Name, scenario.issued[member.Name][member.Incarnation])
			}
		}
	}
	return ""
}

// runChecked advances the time in steps of 0.2 s until duration has passed or check finds an error. It returns the
// error, or "".
func (scenario *scenario) runChecked(duration int64) (failure string) {
	for end := scenario.now + duration; scenario.now < end && failure == ""; {
		scenario.run(second / 5)
		failure = scenario.check()
	}
	return failure
}

// checkEnd returns an error unless each instance knows all others as alive, in their present incarnation and version,
// and all publish the same view. It returns "" if there is no error.
func (scenario *scenario) checkEnd() string {
	for _, name := range scenario.names {
		for _, member := range scenario.tables[name].Members() {
			self := scenario.tables[member.Name].Self()
			if member.State != Alive || member.Incarnation != self.Incarnation || member.Version != self.Version {
				return fmt.Sprintf(
					"at the end %s believes %s to be %s, version %d of incarnation %d; want alive, %d of %d",
					name, member.Name, member.State, member.Version, member.Incarnation,
					self.Version, self.Incarnation)
			}
		}
	}
	if name := scenario.differentView(); name != "" {
		return fmt.Sprintf("at the end %s publishes another view than %s", name, scenario.names[0])
	}
	return ""
}

// explore runs the events one after another in a new cluster, waits 14 s for agreement, and returns the first error,
// or "" if there is none.
func explore(t *testing.T, events []event, fault plantedFault) string {
	t.Helper()
	scenario := &scenario{newFaultyCluster(t, 3, fault), map[string]map[uint64]uint64{}}
	if failure := scenario.runChecked(3 * second); failure != "" {
		return failure
	}
	for _, event := range events {
		event.begin(scenario.testCluster)
		if failure := scenario.runChecked(event.duration); failure != "" {
			return failure
		}
		event.end(scenario.testCluster)
	}
	if failure := scenario.runChecked(14 * second); failure != "" {
		return failure
	}
	return scenario.checkEnd()
}

// randomScenarios returns the number of random scenarios to run: the value of the environment variable
// TEALPATH_EXPLORE, or byDefault if that is not a number.
func randomScenarios(byDefault int) int {
	if asked, err := strconv.Atoi(os.Getenv("TEALPATH_EXPLORE")); err == nil {
		return asked
	}
	return byDefault
}

// Whatever faults follow each other, all instances must agree in the end. The test runs every scenario of two events,
// and random ones of four events. TEALPATH_EXPLORE=N sets the number of random ones to N. With an N above 1,000,000,
// the test also runs every scenario of three events, and 1,000,000 random ones.
func TestScenariosEndInAgreement(t *testing.T) {
	const maxRandom = 1_000_000
	all, random := allEvents(), randomScenarios(400)
	tried := 0
	try := func(events ...event) {
		tried++
		if failure := explore(t, events, plantedFault{}); failure != "" {
			names := ""
			for _, event := range events {
				names += event.name + "; "
			}
			t.Fatalf("after the events %s: %s", names, failure)
		}
	}
	for _, first := range all {
		for _, next := range all {
			if testing.Short() && tried > 200 {
				break
			}
			try(first, next)
			if random > maxRandom {
				for _, third := range all {
					try(first, next, third)
				}
			}
		}
	}
	rng := rand.New(rand.NewPCG(7, 7))
	draw := func() event { return all[rng.IntN(len(all))] }
	for range min(random, maxRandom) {
		try(draw(), draw(), draw(), draw())
	}
	t.Logf("%d scenarios", tried)
}

// If members cannot refute reports, some scenario of one event must end in an error. Otherwise
// TestScenariosEndInAgreement would not notice that refutation is broken.
func TestScenariosDetectMembersThatCannotRefute(t *testing.T) {
	found := 0
	for _, one := range allEvents() {
		if explore(t, []event{one}, plantedFault{cannotRefute: true}) != "" {
			found++
		}
	}
	if found == 0 {
		t.Error("no scenario detects that members cannot refute")
	}
	t.Logf("detected in %d scenarios", found)
}
