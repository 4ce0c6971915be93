package lease

import (
	"fmt"
	"testing"
)

const ms = int64(1e6)

// world runs nodes in simulated time: each has a clock with a rate of its own, links may be cut or slow.
type world struct {
	t       *testing.T
	now     int64
	lease   int64
	names   []string
	nodes   map[string]*Node
	born    map[string]int64 // real time at which a clock read 0
	rate    map[string]float64
	frozen  map[string]bool
	cut     func(from, to string) bool
	delay   func(from, to string) int64
	mail    []letter
	wall    int64
	lives   uint64
	most    map[int]uint64 // highest number gained, by slot
	gained  map[int]int64
	overlap int
	back    int
	sent    int
}

type letter struct {
	at       int64
	from     Instance
	to       string
	message  Message
	sequence int
}

func newWorld(t *testing.T, count int) *world {
	w := &world{t: t, lease: 1500 * ms, nodes: map[string]*Node{}, born: map[string]int64{}, rate: map[string]float64{},
		frozen: map[string]bool{}, wall: 1e12, most: map[int]uint64{}, gained: map[int]int64{}}
	for i := range count {
		w.names = append(w.names, fmt.Sprint("n", i))
	}
	for i, name := range w.names {
		w.rate[name] = []float64{1, 1.01, 0.99}[i%3]
		w.start(name)
	}
	return w
}

func (w *world) clock(name string) int64 { return int64(float64(w.now-w.born[name]) * w.rate[name]) }

func (w *world) start(name string) {
	w.lives++
	w.born[name] = w.now
	n, err := New(0, Config{Self: Instance{name, w.lives}, Slots: 16, LeaseDuration: w.lease, RenewInterval: w.lease / 3, MaxClockDrift: 0.01,
		Voters: Voters{Epoch: 1, Current: w.names}, Seed: 7})
	if err != nil {
		w.t.Fatal(err)
	}
	w.nodes[name] = n
	w.members()
}

func (w *world) kill(name string) {
	delete(w.nodes, name)
	w.members()
}

// members tells all who is there, as a table of members would after its time; frozen ones stay in for a lease.
func (w *world) members() {
	var all []Candidate
	for _, name := range w.names {
		if w.nodes[name] != nil && !w.frozen[name] {
			all = append(all, Candidate{name, 1})
		}
	}
	for name, n := range w.nodes {
		n.SetCandidates(w.clock(name), all)
	}
}

func (w *world) run(span int64) {
	const step = 5 * ms
	for end := w.now + span; w.now < end; w.now += step {
		mail := w.mail
		w.mail = nil
		for _, l := range mail {
			n := w.nodes[l.to]
			switch {
			case l.at > w.now || w.frozen[l.to]:
				w.mail = append(w.mail, l)
			case n != nil:
				n.Receive(w.clock(l.to), l.from, l.message)
				w.post(l.to)
			}
		}
		for _, name := range w.names {
			if n := w.nodes[name]; n != nil && !w.frozen[name] {
				n.Tick(w.clock(name), w.wall+w.now/ms)
				w.post(name)
			}
		}
		for s := range 16 {
			owners := 0
			for name, n := range w.nodes {
				if _, _, ok := n.Holds(w.clock(name), s); ok {
					owners++
				}
			}
			if owners > 1 {
				w.overlap++
			}
		}
	}
}

func (w *world) post(name string) {
	for _, e := range w.nodes[name].TakeEffects() {
		switch e := e.(type) {
		case Send:
			w.sent++
			if w.cut != nil && w.cut(name, e.To) {
				continue
			}
			late := 2 * ms
			if w.delay != nil {
				late = w.delay(name, e.To)
			}
			w.mail = append(w.mail, letter{at: w.now + late, from: w.nodes[name].config.Self, to: e.To, message: e.Message})
		case Acquired:
			if e.Ballot <= w.most[e.Slot] {
				w.back++
			}
			w.most[e.Slot], w.gained[e.Slot] = e.Ballot, w.now
		}
	}
}

// owners gives the owner of each slot.
func (w *world) owners() map[int]string {
	out := map[int]string{}
	for name, n := range w.nodes {
		for s := range 16 {
			if _, _, ok := n.Holds(w.clock(name), s); ok {
				out[s] = name
			}
		}
	}
	return out
}

func (w *world) owned(name string) (slots []int) {
	for s, o := range w.owners() {
		if o == name {
			slots = append(slots, s)
		}
	}
	return slots
}

func (w *world) kept() {
	w.t.Helper()
	if w.overlap != 0 || w.back != 0 {
		w.t.Errorf("%d moments with two owners, %d numbers that went back", w.overlap, w.back)
	}
}

func TestStartTakesAllSlotsOnceTheSilenceIsOver(t *testing.T) {
	for _, count := range []int{1, 3, 5} {
		w := newWorld(t, count)
		w.run(w.lease)
		if got := len(w.owners()); got != 0 {
			t.Errorf("%d instances: %d slots owned within the silence of a start", count, got)
		}
		w.run(w.lease)
		if got := len(w.owners()); got != 16 {
			t.Errorf("%d instances: %d of 16 slots owned", count, got)
		}
		for _, name := range w.names {
			if n, fair := len(w.owned(name)), 16/count; n < fair-1 || n > fair+1 {
				t.Errorf("%d instances: %s owns %d slots", count, name, n)
			}
		}
		w.kept()
	}
}

func TestTakeoverWithinLeaseAndTwoRenewals(t *testing.T) {
	w := newWorld(t, 5)
	w.run(4 * w.lease)
	for round := range 10 {
		victim := w.names[round%5]
		lost := w.owned(victim)
		at := w.now
		w.kill(victim)
		w.run(w.lease + 2*w.lease/3)
		owners := w.owners()
		for _, s := range lost {
			if owners[s] == "" {
				t.Errorf("round %d: slot %d has no owner %d ms after the death", round, s, (w.now-at)/ms)
			}
		}
		w.start(victim)
		w.run(4 * w.lease)
		if got := len(w.owned(victim)); got < 2 || got > 4 {
			t.Errorf("round %d: %s has %d slots after its return", round, victim, got)
		}
	}
	w.kept()
}

func TestPlannedLeaveHandsOverAtOnce(t *testing.T) {
	w := newWorld(t, 3)
	w.run(4 * w.lease)
	n := w.nodes["n1"]
	n.ReleaseAll(w.clock("n1"), []Candidate{{"n0", 1}, {"n2", 1}})
	w.post("n1")
	w.frozen["n1"] = true // no longer a member
	w.members()
	w.frozen["n1"] = false
	w.run(w.lease / 3)
	if got := len(w.owned("n0")) + len(w.owned("n2")); got != 16 {
		t.Errorf("%d of 16 slots are owned by those who stay, one renewal after the leave", got)
	}
	w.kept()
}

// Splits in which the old owners live on in the minority and believe that they own.
func TestSplits(t *testing.T) {
	for _, tc := range []struct {
		name  string
		count int
		side  map[string]int
		acts  int // the side that has a majority; -1 none
	}{
		{"2|3", 5, map[string]int{"n0": 0, "n1": 0, "n2": 1, "n3": 1, "n4": 1}, 1},
		{"1|1|3", 5, map[string]int{"n0": 0, "n1": 2, "n2": 1, "n3": 1, "n4": 1}, 1},
		{"2|2", 4, map[string]int{"n0": 0, "n1": 0, "n2": 1, "n3": 1}, -1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			w := newWorld(t, tc.count)
			w.run(4 * w.lease)
			w.cut = func(from, to string) bool { return tc.side[from] != tc.side[to] }
			for name, n := range w.nodes { // each sees its own side only
				var side []Candidate
				for _, other := range w.names {
					if tc.side[other] == tc.side[name] {
						side = append(side, Candidate{other, 1})
					}
				}
				n.SetCandidates(w.clock(name), side)
			}
			w.run(3 * w.lease)
			owners := w.owners()
			for s, o := range owners {
				if tc.side[o] != tc.acts {
					t.Errorf("slot %d is owned by %s, on a side without a majority", s, o)
				}
			}
			if tc.acts >= 0 && len(owners) != 16 {
				t.Errorf("%d of 16 slots owned with a majority", len(owners))
			}
			if minority := w.nodes["n0"]; minority.HasQuorum(w.clock("n0")) {
				t.Error("the minority does not see that it is one")
			}
			w.cut = nil
			w.members()
			w.run(4 * w.lease)
			if got := len(w.owners()); got != 16 {
				t.Errorf("%d of 16 slots owned after the split", got)
			}
			w.kept()
		})
	}
}

func TestOneWayLoss(t *testing.T) {
	w := newWorld(t, 3)
	w.run(4 * w.lease)
	w.cut = func(from, to string) bool { return to == "n0" } // it sends but hears nothing
	w.run(3 * w.lease)
	if got := w.owned("n0"); len(got) != 0 {
		t.Errorf("one that hears nothing owns %v", got)
	}
	w.kept()
}

func TestDelayLongerThanALease(t *testing.T) {
	w := newWorld(t, 3)
	w.run(4 * w.lease)
	w.delay = func(from, to string) int64 {
		if from == "n0" || to == "n0" {
			return 4 * w.lease / 3
		}
		return 2 * ms
	}
	w.run(6 * w.lease)
	w.delay = nil
	w.run(4 * w.lease)
	if got := len(w.owners()); got != 16 {
		t.Errorf("%d of 16 slots owned once links are quick again", got)
	}
	w.kept()
}

func TestFrozenOwnerOwnsNothingWhenItWakes(t *testing.T) {
	w := newWorld(t, 3)
	w.run(4 * w.lease)
	had := w.owned("n0")
	w.frozen["n0"] = true
	w.run(3 * w.lease)
	n := w.nodes["n0"]
	for _, s := range had {
		if _, until, ok := n.Holds(w.clock("n0"), s); ok {
			t.Errorf("slot %d is owned at the first look after the freeze, until %d at %d", s, until, w.clock("n0"))
		}
	}
	w.frozen["n0"] = false
	w.members()
	w.run(4 * w.lease)
	if got := len(w.owners()); got != 16 {
		t.Errorf("%d of 16 slots owned", got)
	}
	w.kept()
}

// A majority restarts one after another within a lease: what they granted is forgotten, and nobody grants on.
func TestMajorityRestartsWithinALease(t *testing.T) {
	w := newWorld(t, 5)
	w.run(4 * w.lease)
	for _, name := range []string{"n1", "n2", "n3"} {
		w.start(name)
		w.run(w.lease / 5)
	}
	w.run(4 * w.lease)
	if got := len(w.owners()); got != 16 {
		t.Errorf("%d of 16 slots owned", got)
	}
	w.kept()
}

func TestAllRestartTogetherWithWallClocksSetBack(t *testing.T) {
	w := newWorld(t, 3)
	w.run(4 * w.lease)
	w.wall -= 3600e3 // also of those that go on: numbers grow from what is remembered
	w.start("n1")
	w.run(4 * w.lease)
	w.wall += 7200e3
	w.start("n2")
	w.run(4 * w.lease)
	for _, name := range w.names {
		w.start(name)
	}
	w.run(3 * w.lease)
	if got := len(w.owners()); got != 16 {
		t.Errorf("%d of 16 slots owned", got)
	}
	w.kept()
}

func TestVotersChangeByOne(t *testing.T) {
	w := newWorld(t, 4)
	old := Voters{Epoch: 1, Current: []string{"n0", "n1", "n2"}}
	next := Voters{Epoch: 2, Current: []string{"n0", "n1", "n2", "n3"}, Previous: old.Current}
	for name, n := range w.nodes {
		n.enter(old)
		w.nodes[name] = n
	}
	w.run(4 * w.lease)
	for _, bad := range []Voters{{Epoch: 3, Current: next.Current, Previous: next.Previous}, {Epoch: 2, Current: next.Current, Previous: next.Current},
		{Epoch: 2, Current: []string{"n0", "n4", "n5"}, Previous: old.Current}} {
		if w.nodes["n0"].UpdateVoters(w.clock("n0"), bad) == nil {
			t.Errorf("taken: %+v", bad)
		}
	}
	for _, name := range w.names {
		if err := w.nodes[name].UpdateVoters(w.clock(name), next); err != nil {
			t.Fatal(name, err)
		}
		w.run(w.lease / 2)
	}
	third := Voters{Epoch: 3, Current: []string{"n1", "n2", "n3"}, Previous: next.Current}
	if w.nodes["n0"].UpdateVoters(w.clock("n0"), third) == nil {
		t.Error("a second step was taken before the first was settled")
	}
	w.run(4 * w.lease)
	for _, name := range w.names {
		if err := w.nodes[name].UpdateVoters(w.clock(name), third); err != nil {
			t.Fatal(name, err)
		}
	}
	w.run(3 * w.lease)
	if got := len(w.owners()); got != 16 {
		t.Errorf("%d of 16 slots owned after two changes of the voters", got)
	}
	w.kept()
}

func TestPlanIsFairAndSteady(t *testing.T) {
	for _, tc := range []struct{ slots, members int }{{64, 1}, {64, 3}, {64, 5}, {64, 16}, {3, 16}, {1, 2}} {
		var all []Candidate
		total := 0.
		for i := range tc.members {
			all = append(all, Candidate{fmt.Sprintf("m%02d", i), float64(1 + i%3)})
			total += all[i].Weight
		}
		plan := Assign(tc.slots, all)
		load := make([]int, tc.members)
		for _, m := range plan {
			load[m]++
		}
		for i, m := range all {
			if fair := float64(tc.slots) * m.Weight / total; float64(load[i]) <= fair-1 || float64(load[i]) >= fair+1 {
				t.Errorf("%d slots, %d members: %s has %d, fair is %.2f", tc.slots, tc.members, m.Name, load[i], fair)
			}
		}
		if tc.members < 3 {
			continue
		}
		fewer, moved := Assign(tc.slots, all[1:]), 0
		for s, m := range plan {
			if m != 0 && all[m] != all[1:][fewer[s]] {
				moved++
			}
		}
		if moved > tc.slots/4 {
			t.Errorf("%d slots, %d members: %d slots moved between those who stay", tc.slots, tc.members, moved)
		}
	}
}

func TestCheck(t *testing.T) {
	good := Config{Self: Instance{"a", 1}, Slots: 64, LeaseDuration: 1500 * ms, RenewInterval: 500 * ms, MaxClockDrift: 0.01,
		Voters: Voters{Epoch: 1, Current: []string{"a", "b", "c"}}}
	if err := good.Check(); err != nil {
		t.Fatal(err)
	}
	for name, spoil := range map[string]func(*Config){
		"lease":  func(c *Config) { c.LeaseDuration = 1499 * ms },
		"none":   func(c *Config) { c.Voters.Current = nil },
		"twice":  func(c *Config) { c.Voters.Current = []string{"a", "a"} },
		"two":    func(c *Config) { c.Voters.Previous = []string{"a"} },
		"slots":  func(c *Config) { c.Slots = 0 },
		"drift":  func(c *Config) { c.MaxClockDrift = 0.5 },
		"nobody": func(c *Config) { c.Self.Name = "" },
	} {
		c := good
		if spoil(&c); c.Check() == nil {
			t.Errorf("%s: taken", name)
		}
	}
}
