package counters

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

const interval = int64(500e6)

func table(name string, incarnation uint64, contacts ...string) *Table {
	c := Config{Self: Entry{Name: name, Incarnation: incarnation, Address: name + ":1", Weight: 1, Epoch: 1},
		Interval: interval, Silence: 3 * interval, Seed: 3}
	for _, other := range contacts {
		c.Contacts = append(c.Contacts, Contact{Name: other, Address: other + ":1", Weight: 1})
	}
	return New(0, c)
}

// play runs tables against each other from one time to another; deaf ones hear nothing.
func play(tables map[string]*Table, from, to int64, deaf map[string]bool) {
	for now := from; now < to; now += interval / 10 {
		for _, t := range tables {
			tell, _ := t.Tick(now)
			for _, b := range tell {
				if other := tables[b.To]; other != nil && !deaf[b.To] {
					other.Heard(now, b.Entries)
				}
			}
		}
	}
}

func states(t *Table) string {
	out := ""
	for _, m := range t.All() {
		out += fmt.Sprint(m.Name, " ", m.State, " ")
	}
	return out
}

func TestJoinsThroughAnyKnownInstance(t *testing.T) {
	tables := map[string]*Table{"a": table("a", 1, "b", "c"), "b": table("b", 2, "a", "c"), "c": table("c", 3, "a", "b"),
		"d": table("d", 4, "c")} // d is in nobody's file and knows c alone
	play(tables, 0, 10*interval, nil)
	for name, other := range tables {
		if got := len(other.Alive()); got != 4 {
			t.Errorf("%s knows %s", name, states(other))
		}
	}
	if v, _ := tables["a"].View("d"); v.Address != "d:1" {
		t.Errorf("where d is was not passed on: %+v", v)
	}
	delete(tables, "d")
	play(tables, 10*interval, 16*interval, nil)
	if v, _ := tables["a"].View("d"); v.State != Dead {
		t.Errorf("d is %v six intervals after its death", v.State)
	}
	play(tables, 16*interval, 90*interval, nil)
	if _, known := tables["a"].View("d"); known {
		t.Error("d is never forgotten")
	}
}

func TestWhoIsHeardByOneOnlyLives(t *testing.T) {
	a, b, c := table("a", 1, "b"), table("b", 2, "a", "c"), table("c", 3, "b")
	play(map[string]*Table{"a": a, "b": b, "c": c}, 0, 12*interval, nil)
	if got := len(a.Alive()); got != 3 {
		t.Errorf("a, linked to b alone, knows %s", states(a))
	}
}

func TestRestartUnderTheSameName(t *testing.T) {
	tables := map[string]*Table{"a": table("a", 1, "b"), "b": table("b", 2, "a")}
	play(tables, 0, 5*interval, nil)
	tables["b"] = table("b", 9, "a")
	play(tables, 5*interval, 6*interval, nil)
	if v, _ := tables["a"].View("b"); v.Incarnation != 9 || v.State != Alive {
		t.Errorf("a sees %+v", v)
	}
	if !tables["a"].Doubled(6*interval, "b") {
		t.Error("the start before may be there still")
	}
	if tables["a"].Doubled(10*interval, "b") {
		t.Error("the start before is not forgotten")
	}
}

func TestTwoUnderOneNameAreSeen(t *testing.T) {
	a, b1, b2 := table("a", 1, "b"), table("b", 2, "a"), table("b", 3, "a")
	for now := int64(0); now < 40*interval; now += interval / 5 {
		for _, b := range []*Table{b1, b2} {
			tell, _ := b.Tick(now)
			for _, x := range tell {
				a.Heard(now, x.Entries)
			}
		}
		tell, _ := a.Tick(now)
		for _, x := range tell {
			b1.Heard(now, x.Entries)
		}
	}
	if !a.Doubled(40*interval, "b") || !b1.Doubled(40*interval, "b") {
		t.Error("two live instances under one name are not seen")
	}
	if a.Doubled(40*interval, "a") {
		t.Error("the own name is taken for doubled")
	}
}

func TestLeavingIsTold(t *testing.T) {
	a, b := table("a", 1, "b"), table("b", 2, "a")
	play(map[string]*Table{"a": a, "b": b}, 0, 3*interval, nil)
	for _, x := range b.Leave(3 * interval) {
		a.Heard(3*interval, x.Entries)
	}
	if v, _ := a.View("b"); v.State != Left {
		t.Errorf("b is %v", v.State)
	}
	if got := len(b.Alive()); got != 1 {
		t.Errorf("b still counts itself: %d", got)
	}
}

func TestWhatPeersTellIsBounded(t *testing.T) {
	a := table("a", 1, "b")
	for i := range 10 * EntriesMost {
		a.Heard(1, []Entry{{Name: fmt.Sprint("x", i), Incarnation: 1, Beat: 1, Weight: 1},
			{Name: "b", Incarnation: uint64(i), Beat: 1, Weight: 5, Address: "elsewhere:1"}})
	}
	a.Heard(1, []Entry{{Name: "", Weight: 1}, {Name: "y", Weight: -1}, {Name: "z", Weight: 1e9}})
	if n := len(a.All()); n > EntriesMost {
		t.Errorf("%d members", n)
	}
	if v, _ := a.View("b"); v.Address != "b:1" || v.Weight != 1 {
		t.Errorf("a peer moved a configured member: %+v", v)
	}
	if a.Refused() == 0 {
		t.Error("nothing was refused")
	}
}

func TestBeatsGrowWithMembersNotTheirSquare(t *testing.T) {
	for _, count := range []int{3, 16} {
		var names []string
		for i := range count {
			names = append(names, fmt.Sprintf("m%02d", i))
		}
		tables := map[string]*Table{}
		for i, name := range names {
			tables[name] = table(name, uint64(i+1), names...)
		}
		beats := 0
		for now := int64(0); now < 10*interval; now += interval {
			for _, x := range tables {
				tell, _ := x.Tick(now)
				beats += len(tell)
			}
		}
		if most := count * 3 * 10; beats > most {
			t.Errorf("%d members sent %d beats in 10 intervals, %d at most", count, beats, most)
		}
	}
}

// Word of former starts must die out, also where it is late on its way and many forget and hear anew: it went round
// without end, and every name that had been restarted counted as doubled from then on.
func TestWordOfFormerStartsDiesOut(t *testing.T) {
	var names []string
	for i := range 16 {
		names = append(names, fmt.Sprintf("m%02d", i))
	}
	tables := map[string]*Table{}
	lives := uint64(0)
	start := func(name string) { lives++; tables[name] = table(name, lives, names...) }
	for _, name := range names {
		start(name)
	}
	type letter struct {
		at      int64
		to      string
		entries []Entry
	}
	var mail []letter
	rng := rand.New(rand.NewPCG(1, 1))
	const end = 150 * interval
	for now := int64(0); now < end; now += interval / 10 {
		if n := now / interval; now%interval == 0 && n >= 10 && n < 42 {
			start(names[n%16])
		}
		later := mail[:0:0]
		for _, l := range mail {
			if l.at > now {
				later = append(later, l)
			} else {
				tables[l.to].Heard(now, l.entries)
			}
		}
		mail = later
		for _, name := range names {
			tell, _ := tables[name].Tick(now)
			for _, b := range tell {
				mail = append(mail, letter{now + rng.Int64N(4*interval), b.To, b.Entries})
			}
		}
	}
	for _, name := range names {
		for _, of := range names {
			if tables[name].Doubled(end, of) {
				t.Errorf("%s takes %s for doubled, 108 intervals after the last restart", name, of)
			}
		}
	}
}
