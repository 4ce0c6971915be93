package heartbeatgossip

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

const interval = int64(500e6)

func newTable(name string, incarnation uint64, contacts ...string) *Table {
	config := Config{
		Self:            Entry{Name: name, Incarnation: incarnation, Address: name + ":1", Weight: 1, Epoch: 1},
		Interval:        interval,
		ReplacedTimeout: 3 * interval,
		Seed:            3,
	}
	for _, contact := range contacts {
		config.Contacts = append(config.Contacts, Contact{Name: contact, Address: contact + ":1", Weight: 1})
	}
	return New(0, config)
}

// exchange calls Tick on all tables from one time to another, and delivers their messages at once.
func exchange(tables map[string]*Table, from, to int64) {
	for now := from; now < to; now += interval / 10 {
		for _, table := range tables {
			messages, _ := table.Tick(now)
			for _, message := range messages {
				if receiver := tables[message.To]; receiver != nil {
					receiver.Receive(now, message.Entries)
				}
			}
		}
	}
}

func states(table *Table) string {
	text := ""
	for _, member := range table.Members() {
		text += fmt.Sprint(member.Name, " ", member.State, " ")
	}
	return text
}

func TestInstanceJoinsThroughOneContact(t *testing.T) {
	tables := map[string]*Table{
		"a": newTable("a", 1, "b", "c"),
		"b": newTable("b", 2, "a", "c"),
		"c": newTable("c", 3, "a", "b"),
		"d": newTable("d", 4, "c"), // no instance has d as a contact, and d has only c
	}
	exchange(tables, 0, 10*interval)
	for name, table := range tables {
		if got := len(table.Alive()); got != 4 {
			t.Errorf("%s knows %d live instances, want 4: %s", name, got, states(table))
		}
	}
	if d, _ := tables["a"].Member("d"); d.Address != "d:1" {
		t.Errorf("a knows d with the address %q, want d:1: %+v", d.Address, d)
	}
	delete(tables, "d")
	exchange(tables, 10*interval, 16*interval)
	if d, _ := tables["a"].Member("d"); d.State != Dead {
		t.Errorf("d is %v six intervals after its death, want %v", d.State, Dead)
	}
	exchange(tables, 16*interval, 90*interval)
	if _, known := tables["a"].Member("d"); known {
		t.Error("d is not forgotten 80 intervals after its death")
	}
}

func TestMemberHeardThroughAnotherIsAlive(t *testing.T) {
	a, b, c := newTable("a", 1, "b"), newTable("b", 2, "a", "c"), newTable("c", 3, "b")
	exchange(map[string]*Table{"a": a, "b": b, "c": c}, 0, 12*interval)
	if got := len(a.Alive()); got != 3 {
		t.Errorf("a, whose only contact is b, knows %d live instances, want 3: %s", got, states(a))
	}
}

func TestRestartUnderTheSameName(t *testing.T) {
	tables := map[string]*Table{"a": newTable("a", 1, "b"), "b": newTable("b", 2, "a")}
	exchange(tables, 0, 5*interval)
	tables["b"] = newTable("b", 9, "a")
	exchange(tables, 5*interval, 6*interval)
	if b, _ := tables["a"].Member("b"); b.Incarnation != 9 || b.State != Alive {
		t.Errorf("a knows b as %+v, want the incarnation 9 alive", b)
	}
	if !tables["a"].HasDuplicate(6*interval, "b") {
		t.Error("the former incarnation does not count as a duplicate, one interval after the restart")
	}
	if tables["a"].HasDuplicate(10*interval, "b") {
		t.Error("the former incarnation still counts as a duplicate, five intervals after the restart")
	}
}

func TestTwoInstancesUnderOneNameAreDetected(t *testing.T) {
	a, b1, b2 := newTable("a", 1, "b"), newTable("b", 2, "a"), newTable("b", 3, "a")
	for now := int64(0); now < 40*interval; now += interval / 5 {
		for _, b := range []*Table{b1, b2} {
			messages, _ := b.Tick(now)
			for _, message := range messages {
				a.Receive(now, message.Entries)
			}
		}
		messages, _ := a.Tick(now)
		for _, message := range messages {
			b1.Receive(now, message.Entries)
		}
	}
	if !a.HasDuplicate(40*interval, "b") || !b1.HasDuplicate(40*interval, "b") {
		t.Error("two live instances under one name are not detected")
	}
	if a.HasDuplicate(40*interval, "a") {
		t.Error("a counts its own name as a duplicate")
	}
}

func TestLeavingIsAnnounced(t *testing.T) {
	a, b := newTable("a", 1, "b"), newTable("b", 2, "a")
	exchange(map[string]*Table{"a": a, "b": b}, 0, 3*interval)
	for _, message := range b.Leave(3 * interval) {
		a.Receive(3*interval, message.Entries)
	}
	if b, _ := a.Member("b"); b.State != Left {
		t.Errorf("b is %v after it announced that it leaves, want %v", b.State, Left)
	}
	if got := len(b.Alive()); got != 1 {
		t.Errorf("b knows %d live instances after it left, want 1, which is a", got)
	}
}

func TestEntriesOfPeersAreLimited(t *testing.T) {
	a := newTable("a", 1, "b")
	for i := range 10 * MaxMembers {
		a.Receive(1, []Entry{
			{Name: fmt.Sprint("x", i), Incarnation: 1, Heartbeat: 1, Weight: 1},
			{Name: "b", Incarnation: uint64(i), Heartbeat: 1, Weight: 5, Address: "elsewhere:1"},
		})
	}
	a.Receive(1, []Entry{{Name: "", Weight: 1}, {Name: "y", Weight: -1}, {Name: "z", Weight: 1e9}})
	if n := len(a.Members()); n > MaxMembers {
		t.Errorf("%d members, want at most %d", n, MaxMembers)
	}
	if b, _ := a.Member("b"); b.Address != "b:1" || b.Weight != 1 {
		t.Errorf("a peer changed the address or the weight of a configured member: %+v", b)
	}
	if a.Rejected() == 0 {
		t.Error("no entry was rejected")
	}
}

func TestHeartbeatsAreLinearInMembers(t *testing.T) {
	for _, count := range []int{3, 16} {
		var names []string
		for i := range count {
			names = append(names, fmt.Sprintf("m%02d", i))
		}
		tables := map[string]*Table{}
		for i, name := range names {
			tables[name] = newTable(name, uint64(i+1), names...)
		}
		sent := 0
		for now := int64(0); now < 10*interval; now += interval {
			for _, table := range tables {
				messages, _ := table.Tick(now)
				sent += len(messages)
			}
		}
		if most := count * 3 * 10; sent > most {
			t.Errorf("%d members sent %d heartbeats in 10 intervals, want at most %d", count, sent, most)
		}
	}
}

// delayedMessage is a heartbeat message that has not arrived yet.
type delayedMessage struct {
	arrivesAt int64
	Message
}

// deliver delivers the messages that have arrived by now, and returns the others.
func deliver(tables map[string]*Table, now int64, inTransit []delayedMessage) (later []delayedMessage) {
	for _, message := range inTransit {
		if message.arrivesAt > now {
			later = append(later, message)
		} else {
			tables[message.To].Receive(now, message.Entries)
		}
	}
	return later
}

// Entries of former incarnations stop circulating, even if messages are late and many instances restart with an empty
// table.
func TestEntriesOfFormerIncarnationsExpire(t *testing.T) {
	var names []string
	for i := range 16 {
		names = append(names, fmt.Sprintf("m%02d", i))
	}
	tables := map[string]*Table{}
	incarnations := uint64(0)
	start := func(name string) {
		incarnations++
		tables[name] = newTable(name, incarnations, names...)
	}
	for _, name := range names {
		start(name)
	}
	var inTransit []delayedMessage
	random := rand.New(rand.NewPCG(1, 1))
	const end = 150 * interval
	for now := int64(0); now < end; now += interval / 10 {
		if n := now / interval; now%interval == 0 && n >= 10 && n < 42 {
			start(names[n%16])
		}
		inTransit = deliver(tables, now, inTransit)
		for _, name := range names {
			messages, _ := tables[name].Tick(now)
			for _, message := range messages {
				inTransit = append(inTransit, delayedMessage{now + random.Int64N(4*interval), message})
			}
		}
	}
	for _, name := range names {
		for _, other := range names {
			if tables[name].HasDuplicate(end, other) {
				t.Errorf("%s counts %s as a duplicate, 108 intervals after the last restart", name, other)
			}
		}
	}
}
