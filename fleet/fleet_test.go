package fleet

import (
	"bytes"
	"testing"

	"tealpath/fleet/lease"
	"tealpath/fleet/membership"
	"tealpath/fleet/probe"
)

const ms = int64(1e6)

func node(t testing.TB, name string, incarnation uint64) *Node {
	t.Helper()
	cold := probe.Cold{Share: 0.16, Factor: 2.5, Window: 1500 * ms, Span: 17000 * ms}
	n, err := New(0, Config{Self: lease.Instance{Name: name, Incarnation: incarnation}, Address: name + ":1", Weight: 1, Seed: 1,
		Contacts: []membership.Contact{{Name: "a", Address: "a:1", Weight: 1}, {Name: "b", Address: "b:1", Weight: 1},
			{Name: "c", Address: "c:1", Weight: 1}},
		Lease: lease.Config{Slots: 8, LeaseDuration: 1500 * ms, RenewInterval: 500 * ms, MaxClockDrift: 0.01,
			Voters: lease.Voters{Epoch: 1, Current: []string{"a", "b", "c"}}},
		Probe: &probe.Config{Period: 1000 * ms, Within: 500 * ms, Part: 0.05, Cost: 0.001, Cache: cold, Parent: cold}})
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// play runs nodes against each other with messages that come at once, and gives what one of them wants done.
func play(nodes map[string]*Node, from, to int64, follow string) (out []Effect) {
	for now := from; now < to; now += 10 * ms {
		for _, name := range []string{"a", "b", "c"} {
			n := nodes[name]
			if n == nil {
				continue
			}
			waiting := append([]Effect(nil), n.Handle(now, TimerFired{WallMS: 1e12 + now/ms})...)
			for from := []string{name}; len(waiting) > 0; {
				e := waiting[0]
				sender := from[0]
				waiting, from = waiting[1:], append(from[1:], sender)
				if sender == follow {
					out = append(out, e)
				}
				send, ok := e.(Send)
				if !ok || nodes[send.To] == nil {
					continue
				}
				raw, _ := send.Message.Encode()
				m, err := Decode(raw)
				if err != nil {
					panic(err)
				}
				came := MessageReceived{From: nodes[sender].config.Self, Message: m}
				for _, reply := range nodes[send.To].Handle(now, came) {
					if back, ok := reply.(Send); ok && back.To == sender {
						for _, more := range n.Handle(now, MessageReceived{From: nodes[send.To].config.Self, Message: back.Message}) {
							waiting = append(waiting, more)
						}
					}
				}
			}
		}
	}
	return out
}

func trio(t testing.TB) map[string]*Node {
	return map[string]*Node{"a": node(t, "a", 1), "b": node(t, "b", 2), "c": node(t, "c", 3)}
}

func owned(n *Node, now int64) (count int) {
	for s := range 8 {
		if _, _, ok := n.Holds(now, s); ok {
			count++
		}
	}
	return count
}

func TestThreeShareAndProbeOnce(t *testing.T) {
	nodes := trio(t)
	for _, n := range nodes {
		n.Handle(0, TargetsUpdated{Targets: []probe.Target{{Name: "t", Address: "x", Units: 4}}})
	}
	play(nodes, 0, 6000*ms, "")
	total := 0
	for _, n := range nodes {
		total += owned(n, 6000*ms)
	}
	if total != 8 {
		t.Fatalf("%d of 8 slots are owned", total)
	}
	asked := 0
	for _, name := range []string{"a", "b", "c"} {
		again := trio(t)
		for _, n := range again {
			n.Handle(0, TargetsUpdated{Targets: []probe.Target{{Name: "t", Address: "x", Units: 4}}})
		}
		for _, e := range play(again, 0, 16000*ms, name) {
			if _, ok := e.(SendProbe); ok {
				asked++
			}
		}
	}
	if asked < 11 || asked > 14 {
		t.Errorf("%d probes of the one target in 16 s, of which the start takes about 3", asked)
	}
	status := nodes["a"].Status(6000 * ms)
	if !status.Majority || len(status.Members) != 3 || len(status.Slots) != 8 || status.Targets != 1 {
		t.Errorf("%+v", status)
	}
}

// Without a majority nobody acts, and that is logged and visible.
func TestNoMajorityIsLoggedAndVisible(t *testing.T) {
	nodes := trio(t)
	play(nodes, 0, 6000*ms, "")
	alone := map[string]*Node{"a": nodes["a"]}
	logged := false
	for _, e := range play(alone, 6000*ms, 12000*ms, "a") {
		if l, ok := e.(Log); ok && l.Reason == "[b dead c dead]" {
			logged = true
		}
	}
	if n := owned(nodes["a"], 12000*ms); n != 0 {
		t.Errorf("it still owns %d slots", n)
	}
	if s := nodes["a"].Status(12000 * ms); !logged || s.Majority || s.Reason == "" || s.Slots[0].Reason != "no majority of the voters answers" {
		t.Errorf("logged %v, %+v", logged, s)
	}
}

// Two under one name: neither's votes count, so that one voter can't be two.
func TestTwoUnderOneNameHaveNoVote(t *testing.T) {
	nodes := trio(t)
	play(nodes, 0, 4000*ms, "")
	b := nodes["b"]
	beat := func(incarnation, beat uint64) {
		b.Handle(4000*ms, MessageReceived{From: lease.Instance{Name: "c", Incarnation: incarnation}, Message: Message{
			Gossip: &membership.Gossip{Heartbeat: beat, Entries: []membership.Entry{{Name: "c", Incarnation: incarnation, Start: beat, Version: beat, Weight: 1}}}}})
	}
	beat(99, 1)
	held := owned(b, 4000*ms)
	b.Handle(4000*ms, MessageReceived{From: lease.Instance{Name: "c", Incarnation: 99}, Message: Message{
		Lease: &lease.Message{Kind: lease.Accept, Epoch: 1, SentAt: 3999 * ms}}})
	if !b.table.IsDuplicated(4000*ms, "c") || held == 0 {
		t.Fatal("the case is not one")
	}
	// With a dead and c doubled, b has its own vote alone and must stop within a lease.
	for now := 4000 * ms; now < 6000*ms; now += 20 * ms {
		b.Handle(now, TimerFired{WallMS: now / ms})
		beat(3, uint64(1000+now/ms))
		beat(99, uint64(1000+now/ms))
		var items []lease.SlotBallot
		for s := range 8 {
			if number, _, ok := b.Holds(now, s); ok {
				items = append(items, lease.SlotBallot{Slot: s, Ballot: number})
			}
		}
		if len(items) > 0 {
			b.Handle(now, MessageReceived{From: lease.Instance{Name: "c", Incarnation: 3},
				Message: Message{Lease: &lease.Message{Kind: lease.Accept, Epoch: 1, SentAt: now, Items: items}}})
		}
	}
	if n := owned(b, 6000*ms); n != 0 {
		t.Errorf("%d slots are held by votes of a name that two run under", n)
	}
}

func TestFindingsUnderOldNumbersAreDropped(t *testing.T) {
	n := node(t, "a", 1)
	tell := func(number uint64) (found int) {
		for _, e := range n.Handle(1, MessageReceived{From: lease.Instance{Name: "b", Incarnation: 2},
			Message: Message{ProbeResults: []ProbeResult{{Target: "t", Ballot: number, Healthy: true}}}}) {
			if _, ok := e.(TargetProbed); ok {
				found++
			}
		}
		return found
	}
	if tell(7) != 1 || tell(8) != 1 || tell(7) != 0 || tell(8) != 1 {
		t.Error("a finding under an older number was taken, or a newer one was not")
	}
	if s := n.Status(1); s.StaleResults != 1 {
		t.Errorf("%d stale", s.StaleResults)
	}
}

// After all of a majority restarted with wall clocks set back, an owner's number may be below one seen for its target:
// it asks anew instead of probing for nothing.
func TestOwnerUnderALowNumberAsksAnew(t *testing.T) {
	nodes := trio(t)
	for _, n := range nodes {
		n.Handle(0, TargetsUpdated{Targets: []probe.Target{{Name: "t", Address: "x", Units: 4}}})
	}
	play(nodes, 0, 6000*ms, "")
	slot := lease.SlotOf("t", 8)
	for _, n := range nodes {
		number, _, ok := n.Holds(6000*ms, slot)
		if !ok {
			continue
		}
		n.seen["t"] = finding{number: number + 1<<20}
		n.Handle(6000*ms, ProbeEnded{ProbeResult{Target: "t", Ballot: number, Healthy: true}})
		play(nodes, 6000*ms, 8000*ms, "")
		for _, other := range nodes {
			if again, _, ok := other.Holds(8000*ms, slot); ok && again > number+1<<20 {
				return
			}
		}
	}
	t.Error("the slot is not held under a number above the one seen")
}

func TestLeavingStopsBeforeItTells(t *testing.T) {
	nodes := trio(t)
	play(nodes, 0, 6000*ms, "")
	had := owned(nodes["a"], 6000*ms)
	var released, left bool
	stopped := map[int]bool{}
	for _, e := range nodes["a"].Handle(6000*ms, ShutdownStarted{}) {
		if h, ok := e.(LeaseChanged); ok && h.Ballot == 0 {
			stopped[h.Slot] = true
		}
		if s, ok := e.(Send); ok && s.Message.Lease != nil {
			for _, i := range s.Message.Lease.Items {
				if !stopped[i.Slot] {
					t.Errorf("slot %d is released before what is done under it is stopped", i.Slot)
				}
			}
		}
		if s, ok := e.(Send); ok {
			released = released || s.Message.Lease != nil && s.Message.Lease.Kind == lease.Release
			left = left || s.Message.Gossip != nil && len(s.Message.Gossip.Entries) > 0 && s.Message.Gossip.Entries[0].Leaving
		}
	}
	if len(stopped) != had {
		t.Errorf("%d of %d slots were stopped", len(stopped), had)
	}
	if had == 0 || owned(nodes["a"], 6000*ms) != 0 || !released || !left {
		t.Errorf("it had %d slots; released %v, left %v", had, released, left)
	}
}

func FuzzDecode(f *testing.F) {
	for _, m := range []Message{{HighestBallot: 3}, {Lease: &lease.Message{Kind: lease.Propose, Epoch: 1, Items: []lease.SlotBallot{{Slot: 3, Ballot: 9}}}},
		{ProbeResults: []ProbeResult{{Target: "t", Ballot: 4, Load: []float64{1}}}},
		{Gossip: &membership.Gossip{Heartbeat: 2, Entries: []membership.Entry{{Name: "b", Incarnation: 1, Version: 2, Weight: 1}},
			Reports: []membership.Report{{Subject: "b", Observer: "a", Kind: membership.Deaf}}, BucketDigests: make([]uint64, membership.DigestBuckets)}}} {
		raw, _ := m.Encode()
		f.Add(raw)
	}
	f.Add(bytes.Repeat([]byte{0x9f}, 100))
	n := node(f, "a", 1)
	f.Fuzz(func(t *testing.T, raw []byte) {
		m, err := Decode(raw)
		if err != nil {
			return
		}
		n.Handle(2000*ms, MessageReceived{From: lease.Instance{Name: "b", Incarnation: 2}, Message: m})
		n.Handle(2000*ms, TimerFired{WallMS: 1})
	})
}
