package membership

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
)

// event is a fault or restart in a cluster of three members.
type event struct {
	name     string
	duration int64
	begin    func(cluster *testCluster)
}

// end ends an event's effect on links. Pauses end by themselves.
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

// scenario runs a sequence of events and checks the versions that instances publish of themselves.
type scenario struct {
	*testCluster
	issued map[string]map[uint64]uint64 // by name and incarnation: the version in the instance's own entry
}

// check checks the present state and returns the first error, or an empty string.
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

// runChecked advances time until the duration is over or check finds an error, which it returns.
func (scenario *scenario) runChecked(duration int64) (failure string) {
	for end := scenario.now + duration; scenario.now < end && failure == ""; {
		scenario.run(second / 5)
		failure = scenario.check()
	}
	return failure
}

// checkEnd checks that all instances agree at the end: all know all others as alive, in their present incarnation
// and version, and publish the same view. It returns the first error, or an empty string.
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

// explore runs events one after another in a new cluster and returns the first error, or an empty string.
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

// randomScenarios returns the number of random scenarios: TEALPATH_EXPLORE if it is set, else a default.
func randomScenarios(byDefault int) int {
	if asked, err := strconv.Atoi(os.Getenv("TEALPATH_EXPLORE")); err == nil {
		return asked
	}
	return byDefault
}

// The test runs each scenario of two events, and random ones of four events. TEALPATH_EXPLORE=N sets the number of
// random scenarios to N. With an N above 1,000,000, the test also runs each scenario of three events, and 1,000,000
// random ones.
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

// Scenarios of one event are enough to detect members that cannot refute.
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
