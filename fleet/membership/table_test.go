package membership

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

const (
	second   = int64(1e9)
	interval = second / 2
)

// crowd is tables that tell each other, in steps of 50 ms; a message takes one step.
type crowd struct {
	t      *testing.T
	now    int64
	names  []string
	tables map[string]*Table
	down   map[string]bool
	paused map[string]int64
	cut    func(from, to string) bool
	loss   float64
	rng    *rand.Rand
	under  []sent
	fault  fault
	twice  bool
	starts uint64
}

type sent struct {
	from        string
	incarnation uint64
	Send
}

func newCrowd(t *testing.T, n int) *crowd {
	c := &crowd{t: t, now: 1000 * second, tables: map[string]*Table{}, down: map[string]bool{}, paused: map[string]int64{},
		cut: func(string, string) bool { return false }, rng: rand.New(rand.NewPCG(7, uint64(n)))}
	for i := range n {
		c.names = append(c.names, fmt.Sprintf("n%03d", i))
	}
	for _, name := range c.names {
		c.start(name, uint64(c.now/1e6))
	}
	return c
}

// start starts a table; wall is its wall clock, ms.
func (c *crowd) start(name string, wall uint64) {
	var contacts []Contact
	for _, n := range c.names {
		contacts = append(contacts, Contact{n, n + ":1", 1})
	}
	c.starts++
	phase := c.rng.Int64N(interval)
	c.tables[name] = New(c.now, Config{Self: Entry{Name: name, Incarnation: c.rng.Uint64() | 1, Start: wall, Address: name + ":1", Weight: 1},
		Contacts: contacts, HeartbeatInterval: interval, SilenceTimeout: 21 * second / 10, ReplacedTimeout: 5 * interval, Seed: c.starts, fault: c.fault,
		NextHeartbeat: func(now int64) int64 { return now + interval - (now+phase)%interval }})
	delete(c.down, name)
}

func (c *crowd) play(span int64) {
	for end := c.now + span; c.now < end; c.now += second / 20 {
		under := c.under
		c.under = nil
		for _, s := range under {
			if c.down[s.To] || c.tables[s.To] == nil || c.cut(s.from, s.To) || c.rng.Float64() < c.loss {
				continue
			}
			if c.paused[s.To] > c.now {
				c.under = append(c.under, s)
				continue
			}
			c.tables[s.To].ObserveIncarnation(c.now, s.from, s.incarnation)
			tell, _ := c.tables[s.To].Receive(c.now, s.from, s.Gossip)
			c.send(s.To, tell)
		}
		for _, name := range c.names {
			if t := c.tables[name]; !c.down[name] && c.paused[name] <= c.now && t.Next() <= c.now {
				tell, _ := t.Tick(c.now)
				c.send(name, tell)
			}
		}
	}
}

func (c *crowd) send(from string, tell []Send) {
	for _, t := range tell {
		s := sent{from, c.tables[from].self.Incarnation, t}
		if c.under = append(c.under, s); c.twice {
			c.under = append(c.under, s)
		}
	}
}

// believe tells how many of those that are up, but for some, believe a member to be in a state.
func (c *crowd) believe(name string, s State, but ...string) (n int) {
	for _, other := range c.names {
		if other == name || c.down[other] || slices.Contains(but, other) {
			continue
		}
		if v, _ := c.tables[other].Member(name); v.State == s {
			n++
		}
	}
	return n
}

// all wants every member to be believed to be in a state by all others that are up.
func (c *crowd) all(name string, s State, but ...string) {
	c.t.Helper()
	want := 0
	for _, other := range c.names {
		if other != name && !c.down[other] && !slices.Contains(but, other) {
			want++
		}
	}
	if got := c.believe(name, s, but...); got != want {
		c.t.Errorf("%d of %d believe %s %s", got, want, name, s)
	}
}

func (c *crowd) alive() {
	c.t.Helper()
	for _, name := range c.names {
		c.all(name, Alive)
	}
	var first uint64
	for i, name := range c.names {
		if _, digest, _ := c.tables[name].ViewInfo(); i == 0 {
			first = digest
		} else if digest != first {
			c.t.Errorf("%s hands on another view", name)
		}
	}
}

// Eight observers at most, each watched by those that it watches, alike at all; connected without any third of them that was
// drawn; few places change when one comes.
func TestRings(t *testing.T) {
	for _, n := range []int{1, 2, 3, 9, 10, 30, 300, 3000} {
		var names []string
		for i := range n {
			names = append(names, fmt.Sprintf("n%04d", i))
		}
		r := NewRings(names)
		near := map[string][]string{}
		for _, name := range names {
			near[name] = r.Neighbours(name)
			if len(near[name]) > MaxNeighbours || len(near[name]) < min(n-1, 4) || slices.Contains(near[name], name) {
				t.Fatalf("%d: %s is near %v", n, name, near[name])
			}
		}
		for _, name := range names {
			for _, o := range near[name] {
				if !slices.Contains(near[o], name) {
					t.Fatalf("%s watches %s alone", name, o)
				}
			}
		}
		for seed := range uint64(20) {
			rng := rand.New(rand.NewPCG(seed, 1))
			there := map[string]bool{}
			for _, name := range names {
				there[name] = rng.IntN(3) > 0
			}
			reached, from := map[string]bool{}, []string{}
			for _, name := range names {
				if there[name] {
					from, reached[name] = append(from, name), true
					break
				}
			}
			for len(from) > 0 {
				next := from[0]
				from = from[1:]
				for _, o := range near[next] {
					if there[o] && !reached[o] {
						reached[o], from = true, append(from, o)
					}
				}
			}
			lone := 0
			for _, name := range names {
				if there[name] && !reached[name] {
					lone++
				}
			}
			if n >= 30 && lone > 1 { // one in 6,600 has all eight in the third that is gone; it links anew once that is seen
				t.Errorf("%d members, a third gone: %d are apart", n, lone)
			}
		}
		if n < 30 {
			continue
		}
		more, moved := NewRings(append(slices.Clone(names), "x")), 0
		for _, name := range names {
			if !slices.Equal(more.Neighbours(name), near[name]) {
				moved++
			}
		}
		if moved > MaxNeighbours {
			t.Errorf("%d of %d have other neighbours for one that came", moved, n)
		}
	}
}

func TestKilled(t *testing.T) {
	for _, n := range []int{2, 3, 5, 30} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			c := newCrowd(t, n)
			c.play(4 * second)
			c.alive()
			c.down["n001"] = true
			c.play(1900 * second / 1000)
			c.all("n001", Alive)
			c.play(1100 * second / 1000)
			c.all("n001", Dead)
			c.start("n001", uint64(c.now/1e6))
			c.play(3 * second)
			c.alive()
		})
	}
}

// Pauses up to 1.5 s kill nobody; one that was paused for longer comes back, knows that it was away and holds it against
// nobody.
func TestPaused(t *testing.T) {
	for _, c := range []struct {
		name  string
		span  int64
		many  int
		fault fault
		dead  bool
	}{
		{"half a second", second / 2, 1, fault{}, false}, {"1.5 s", 3 * second / 2, 1, fault{}, false},
		{"5 s", 5 * second, 1, fault{}, true}, {"30 s", 30 * second, 1, fault{}, true},
		{"a tenth for 5 s", 5 * second, 3, fault{}, true}, {"half for 5 s", 5 * second, 15, fault{}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			x := newCrowd(t, 30)
			x.play(4 * second)
			paused := x.names[:c.many]
			for _, name := range paused {
				x.paused[name] = x.now + c.span
			}
			x.play(c.span)
			for _, name := range paused {
				if dead := x.believe(name, Dead, paused...) > 0; dead != c.dead {
					t.Errorf("%s: dead %v", name, dead)
				}
			}
			wrongly := 0
			for end := x.now + 5*second; x.now < end; {
				x.play(second / 10)
				for _, name := range x.names[c.many:] {
					wrongly += x.believe(name, Dead)
				}
			}
			if wrongly > 0 {
				t.Errorf("%d beliefs that one is dead which never slept", wrongly)
			}
			x.alive()
			if away := x.tables[paused[0]].Away(); c.span > second && away < c.span-2*interval {
				t.Errorf("it was away for %d ms by its own account", away/1e6)
			}
		})
	}
}

// One that hears nobody, and one that nobody hears, are believed dead by all others within 5 s; a way that works in one
// direction between two kills nobody, nor does a ring of such.
func TestOneSided(t *testing.T) {
	for _, c := range []struct {
		name string
		cut  func(from, to string) bool
		dead bool
	}{
		{"deaf", func(_, to string) bool { return to == "n003" }, true},
		{"mute", func(from, _ string) bool { return from == "n003" }, true},
		{"between two", func(from, to string) bool { return from == "n003" && to == "n004" }, false},
		{"a ring", func(from, to string) bool {
			var a, b int
			fmt.Sscanf(from+to, "n%03dn%03d", &a, &b)
			return b == (a+1)%30
		}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			x := newCrowd(t, 30)
			x.play(4 * second)
			x.cut = c.cut
			if x.play(5 * second); c.dead {
				x.all("n003", Dead)
				if x.tables["n003"].IsCutOff() != (c.name == "deaf") {
					t.Error("it does not know whether it is cut off")
				}
				x.play(10 * second)
				x.all("n003", Dead)
			} else {
				for range 20 {
					x.play(second)
					for _, name := range x.names {
						if x.believe(name, Dead) > 0 {
							t.Fatalf("%s is believed dead", name)
						}
					}
				}
			}
			x.cut = func(string, string) bool { return false }
			x.play(8 * second)
			x.alive()
		})
	}
}

// Each side of a split agrees within itself; after healing all agree within 5 s.
func TestSplit(t *testing.T) {
	c := newCrowd(t, 60)
	c.play(4 * second)
	side := func(name string) bool { return name < "n020" }
	c.cut = func(from, to string) bool { return side(from) != side(to) }
	c.play(12 * second)
	for _, name := range c.names {
		for _, other := range c.names {
			want := Alive
			if side(name) != side(other) {
				want = Dead
			}
			if v, _ := c.tables[name].Member(other); name != other && v.State != want {
				t.Fatalf("%s believes %s %s", name, other, v.State)
			}
		}
	}
	c.cut = func(string, string) bool { return false }
	c.play(5 * second)
	c.alive()
}

// Many at once are few changes of the view handed on.
func TestManyAtOnce(t *testing.T) {
	c := newCrowd(t, 120)
	c.play(4 * second)
	c.alive()
	before, _, _ := c.tables["n119"].ViewInfo()
	for _, name := range c.names[:40] {
		c.down[name] = true
	}
	c.play(6 * second)
	for _, name := range c.names[:40] {
		c.all(name, Dead)
	}
	if after, _, _ := c.tables["n119"].ViewInfo(); after-before > 3 {
		t.Errorf("%d views for one loss", after-before)
	}
	for _, name := range c.names[40:60] {
		c.send(name, c.tables[name].Leave(c.now))
	}
	c.play(2 * second)
	for _, name := range c.names[40:60] {
		c.down[name] = true
	}
	for _, name := range c.names[40:60] {
		c.all(name, Left)
	}
	for _, name := range c.names[:60] {
		c.start(name, uint64(c.now/1e6))
	}
	c.play(5 * second)
	c.alive()
}

// A fifth of all messages lost kills nobody; with two fifths who is believed dead is not so for long.
func TestLoss(t *testing.T) {
	for _, c := range []struct {
		loss float64
		most int
	}{{0.05, 0}, {0.2, 0}, {0.4, 3}} {
		x := newCrowd(t, 40)
		x.play(4 * second)
		x.loss = c.loss
		wrong := map[string]bool{}
		for range 120 {
			x.play(second / 2)
			for _, name := range x.names {
				if x.believe(name, Dead) > 0 {
					wrong[name] = true
				}
			}
		}
		if len(wrong) > c.most {
			t.Errorf("loss of %.2f: %d were believed dead", c.loss, len(wrong))
		}
		x.loss = 0
		x.play(6 * second)
		x.alive()
	}
}

// One that keeps dying is held out of the view handed on for longer each time.
func TestFlapping(t *testing.T) {
	c := newCrowd(t, 20)
	c.play(4 * second)
	from, _, _ := c.tables["n009"].ViewInfo()
	for range 6 {
		c.cut = func(from, _ string) bool { return from == "n003" }
		c.play(4 * second)
		c.cut = func(string, string) bool { return false }
		c.play(4 * second)
	}
	if to, _, _ := c.tables["n009"].ViewInfo(); to-from > 10 {
		t.Errorf("%d views for one that died six times", to-from)
	}
	if v, _ := c.tables["n009"].Member("n003"); v.State != Alive || !v.HeldOut {
		t.Errorf("%+v", v)
	}
	c.play(40 * second)
	if v, _ := c.tables["n009"].Member("n003"); v.HeldOut {
		t.Error("it is held out for good")
	}
	c.alive()
}

// Restarts under the same name: also where the wall clock was set back; and two that run at once are seen by all.
func TestSameName(t *testing.T) {
	c := newCrowd(t, 12)
	c.play(4 * second)
	c.down["n003"] = true
	c.play(6 * second)
	c.start("n003", 1) // its clock says 1970
	c.play(5 * second)
	c.alive()
	for _, name := range c.names {
		if c.tables[name].IsDuplicated(c.now, "n003") {
			t.Errorf("%s holds the one that was replaced for a second one", name)
		}
	}
	twin := New(c.now, Config{Self: Entry{Name: "n003", Incarnation: 77, Start: uint64(c.now / 1e6), Address: "n003:1", Weight: 1},
		HeartbeatInterval: interval, SilenceTimeout: 2 * second, ReplacedTimeout: 5 * interval, Seed: 5,
		Contacts: []Contact{{"n001", "n001:1", 1}, {"n002", "n002:1", 1}}})
	twice, seen := map[string]bool{}, false
	for range 60 {
		tell, _ := twin.Tick(c.now)
		for _, m := range tell {
			c.under = append(c.under, sent{"n003", 77, m})
		}
		c.play(second / 20)
		for _, name := range c.names {
			twice[name] = twice[name] || c.tables[name].IsDuplicated(c.now, "n003")
		}
		seen = seen || c.tables["n003"].IsDuplicated(c.now, "n003")
	}
	if !twice["n001"] || !twice["n002"] || !seen {
		t.Errorf("who hears both: %v; itself: %v", twice, seen)
	}
}

// One that lies: its reports and its word alone bury nobody, in its own name or in others'.
func TestLiar(t *testing.T) {
	for _, c := range []struct {
		name  string
		fault fault
		dead  bool
	}{{"as it is", fault{}, false}, {"where one is believed", fault{believeOne: true}, true}} {
		t.Run(c.name, func(t *testing.T) {
			x := &crowd{t: t}
			*x = *newCrowd(t, 30)
			if c.fault != (fault{}) {
				x.fault = c.fault
				for _, name := range x.names {
					x.start(name, uint64(x.now/1e6))
				}
			}
			x.play(4 * second)
			buried := false
			seq := uint64(1) << 50
			for range 100 {
				x.play(second / 10)
				v, _ := x.tables["n001"].Member("n003")
				lie := Gossip{Entries: []Entry{v.Entry}}
				lie.Entries[0].Dead = true
				for _, o := range x.tables["n001"].observers("n003") {
					seq++
					lie.Reports = append(lie.Reports, Report{"n003", v.Incarnation, v.Version, o, seq, Silent})
				}
				for _, to := range x.names {
					if to != "n001" && to != "n003" {
						x.send("n001", []Send{{to, lie}})
					}
				}
				buried = buried || x.believe("n003", Dead) > 0
			}
			if buried != c.dead {
				t.Errorf("believed dead: %v", buried)
			}
		})
	}
}

// Faults that are planted are found: one that can't refute stays dead, one that does not blame itself has others killed.
func TestPlantedFaults(t *testing.T) {
	x := newCrowd(t, 30)
	x.fault = fault{noRefuting: true}
	x.start("n003", uint64(x.now/1e6))
	x.play(4 * second)
	x.paused["n003"] = x.now + 5*second
	x.play(12 * second)
	if x.believe("n003", Dead) == 0 {
		t.Error("one that can't refute is alive again")
	}
	x = newCrowd(t, 30)
	x.fault = fault{blameOthers: true}
	for _, name := range x.names {
		x.start(name, uint64(x.now/1e6))
	}
	x.play(4 * second)
	for _, name := range x.names[:15] {
		x.paused[name] = x.now + 5*second
	}
	x.play(5 * second)
	reported := 0
	for range 10 {
		x.play(second / 20)
		for _, name := range x.names[15:] {
			for _, other := range x.names[:15] {
				v, _ := x.tables[other].Member(name)
				for _, r := range v.Reports {
					if r.Observer == other && r.Kind != Healthy {
						reported++
					}
				}
			}
		}
	}
	if reported == 0 {
		t.Error("who does not blame itself reports nobody")
	}
}

// What is unusable is refused, and memory is bounded.
func TestBounds(t *testing.T) {
	x := newCrowd(t, 3)
	x.play(2 * second)
	n := x.tables["n000"]
	long := string(make([]byte, nameMost+1))
	before := n.Rejected()
	n.Receive(x.now, "n001", Gossip{Entries: []Entry{{Name: long, Weight: 1}, {Name: "x", Weight: 0}, {Name: "", Weight: 1}, {Name: "y", Weight: 1e9}}})
	n.Receive(x.now, "n001", Gossip{Reports: []Report{{Subject: long}, {Subject: "n002", Kind: 9}}})
	n.Receive(x.now, "n001", Gossip{BucketDigests: make([]uint64, 3)})
	n.Receive(x.now, "n001", Gossip{Entries: make([]Entry, MaxPerMessage+3)})
	if got := n.Rejected() - before; got != 8 {
		t.Errorf("%d refused", got)
	}
	for i := range MaxMembers + 200 {
		n.Receive(x.now, "n001", Gossip{Entries: []Entry{{Name: fmt.Sprint("z", i), Incarnation: 1, Start: 1, Weight: 1}}})
	}
	if len(n.members) > MaxMembers {
		t.Errorf("%d members", len(n.members))
	}
	for i := range uint64(200) {
		n.Receive(x.now, "n001", Gossip{Entries: []Entry{{Name: "z1", Incarnation: i + 2, Start: i + 2, Weight: 1}}})
	}
	if got := len(n.members["z1"].lives); got > livesMost {
		t.Errorf("%d starts under a name", got)
	}
	m, _ := n.Member("n002")
	for i := range 100 {
		n.Receive(x.now, "n001", Gossip{Reports: []Report{{"n002", m.Incarnation, m.Version, fmt.Sprint("o", i), 1, Silent}}})
	}
	if got := len(n.members["n002"].reports); got > reportsMost {
		t.Errorf("%d reports", got)
	}
}
