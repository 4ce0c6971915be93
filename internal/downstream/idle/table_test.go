package idle

import (
	"math/rand/v2"
	"testing"
	"unsafe"
)

const ms = int64(1e6)

func small(most int) *Table {
	return NewTable(Limits{MaxConnections: most, Cores: 1}, []Policy{{FirstRequestTimeout: 2000 * ms, IdleTimeout: 10000 * ms},
		{FirstRequestTimeout: 2000 * ms, IdleTimeout: 60000 * ms, MaxConnections: 3, MaxPerClient: 2}}, 1)
}

func open(t *testing.T, table *Table, now int64, client uint64, network uint16) ID {
	t.Helper()
	id, v := table.Add(now, client, network)
	if v != Admitted {
		t.Fatalf("refused: %d", v)
	}
	return id
}

func TestBounds(t *testing.T) {
	table := small(5)
	a := open(t, table, 0, 1, 1)
	open(t, table, 0, 1, 1)
	if _, v := table.Add(0, 1, 1); v != ClientLimitReached {
		t.Errorf("a client's third: %d", v)
	}
	open(t, table, 0, 2, 1)
	if _, v := table.Add(0, 3, 1); v != NetworkLimitReached {
		t.Errorf("a network's fourth: %d", v)
	}
	open(t, table, 0, 1, 0)
	open(t, table, 0, 1, 9) // unknown networks are the first
	if _, v := table.Add(0, 4, 0); v != TableFull {
		t.Errorf("the sixth of five: %d", v)
	}
	was := table.Generation(a)
	table.Remove(a)
	table.Remove(a)
	if b := open(t, table, 0, 7, 0); b != a || table.Generation(b) == was {
		t.Errorf("place %d of generation %d used again as %d of %d", a, was, b, table.Generation(b))
	}
	if table.Len() != 5 {
		t.Errorf("%d", table.Len())
	}
}

func TestWhoMakesRoom(t *testing.T) {
	table := small(10)
	fresh, busy, idle, closing := open(t, table, 0, 1, 0), open(t, table, 1, 1, 0), open(t, table, 2, 1, 0), open(t, table, 3, 1, 0)
	older := open(t, table, 3, 1, 0)
	table.SetState(3, older, StateActive)
	table.SetState(4, older, StateIdle)
	table.SetState(4, busy, StateActive)
	table.SetState(5, idle, StateActive)
	table.SetState(6, idle, StateIdle)
	table.SetState(7, closing, StateClosing)
	for _, want := range []ID{closing, fresh, older, idle} {
		got := table.EvictionCandidate(1000*ms, 300*ms)
		if got != want {
			t.Fatalf("%d (%v) makes room, want %d (%v)", got, table.State(got), want, table.State(want))
		}
		table.Remove(got)
	}
	if got := table.EvictionCandidate(1000*ms, 300*ms); got != None {
		t.Errorf("a busy one makes room: %d", got)
	}
	young := open(t, table, 1000*ms, 1, 0)
	kept := open(t, table, 900*ms, 1, 0)
	table.SetState(900*ms, kept, StateIdle)
	if got := table.EvictionCandidate(1100*ms, 300*ms); got != kept {
		t.Errorf("one whose request may be on the way goes before an idle one: %d", got)
	}
	table.Remove(kept)
	if got := table.EvictionCandidate(1100*ms, 300*ms); got != young {
		t.Errorf("%d", got)
	}
}

// Thirty thousand run out in the same instant: they are closed at the pace, slower while others wait for answers.
func TestMassExpiryIsPaced(t *testing.T) {
	const count = 30000
	for _, saturated := range []bool{false, true} {
		table := small(count)
		for range count {
			id := open(t, table, 0, 1, 0)
			table.SetState(0, id, StateActive)
			table.SetState(0, id, StateIdle)
		}
		closed := 0
		for now := int64(0); now < 20000*ms; now += ms {
			for {
				id, next := table.NextExpired(now, saturated)
				if id == None {
					if next <= now && table.Len() > 0 {
						t.Fatal("asked to come again at once")
					}
					break
				}
				if now < 10000*ms {
					t.Fatalf("closed at %d ms", now/ms)
				}
				table.Remove(id)
				closed++
			}
		}
		want := closesPerCore * 10
		if saturated {
			want *= saturatedShare
		}
		if float64(closed) < 0.95*min(want, count) || float64(closed) > 1.05*want {
			t.Errorf("saturated %v: %d closed in 10 s, %.0f are the pace", saturated, closed, want)
		}
	}
}

func TestSpreadKeepsThemApart(t *testing.T) {
	table := NewTable(Limits{MaxConnections: 1000, Cores: 100}, []Policy{{IdleTimeout: 1000 * ms, MaxJitter: 1000 * ms}}, 1)
	for range 1000 {
		table.SetState(0, open(t, table, 0, 1, 0), StateIdle)
	}
	early := 0
	for {
		id, _ := table.NextExpired(1250*ms, false)
		if id == None {
			break
		}
		table.Remove(id)
		early++
	}
	if early > 400 {
		t.Errorf("%d of 1000 ran out within a quarter of the spread", early)
	}
}

// One on which something came when its time was up goes on.
func TestWokenInTheInstantOfItsExpiry(t *testing.T) {
	table := small(10)
	id := open(t, table, 0, 1, 0)
	table.SetState(0, id, StateIdle)
	if got, _ := table.NextExpired(10000*ms, false); got != id {
		t.Fatal("it does not expire")
	}
	table.SetState(10000*ms, id, StateActive)
	if got, next := table.NextExpired(20000*ms, false); got != None || next < 1<<60 {
		t.Errorf("a busy one expires: %d at %d", got, next)
	}
	table.SetState(20000*ms, id, StateIdle)
	if _, next := table.NextExpired(20000*ms, false); next != 30000*ms {
		t.Errorf("it expires at %d ms", next/ms)
	}
}

// Drawn changes against a plain list: counts, bounds and order.
func TestAgainstAPlainList(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	table := small(50)
	type plain struct {
		state State
		since int64
	}
	list := map[ID]plain{}
	for now := int64(1); now < 20000; now++ {
		if rng.IntN(3) == 0 {
			if id, v := table.Add(now, rng.Uint64N(9), 0); v == Admitted {
				if _, been := list[id]; been {
					t.Fatal("a place is used twice")
				}
				list[id] = plain{StateNew, now}
			}
		}
		for id, p := range list {
			switch rng.IntN(40) {
			case 0:
				table.Remove(id)
				delete(list, id)
			case 1, 2, 3:
				s := State(rng.IntN(int(states)))
				table.SetState(now, id, s)
				if s != p.state {
					list[id] = plain{s, now}
				}
			}
		}
		var counts [states]int
		oldest := int64(1 << 62)
		for _, p := range list {
			if counts[p.state]++; p.state == StateIdle {
				oldest = min(oldest, p.since)
			}
		}
		for s := range states {
			if table.Count(s) != counts[s] {
				t.Fatalf("%v: %d, want %d", s, table.Count(s), counts[s])
			}
		}
		if id := table.oldest(StateIdle); id != None && table.StateSince(id) != oldest {
			t.Fatalf("idle since %d, the oldest is %d", table.StateSince(id), oldest)
		}
	}
}

func TestEntriesAreSmallAndHoldNoPointer(t *testing.T) {
	if size := unsafe.Sizeof(entry{}); size > 48 {
		t.Errorf("%d bytes", size)
	}
}

func TestAdmissionLeavesTheCoreToAnswers(t *testing.T) {
	for saturated, want := range map[bool]float64{false: acceptsPerCore, true: acceptsPerCore * saturatedShare} {
		a, taken := NewAcceptPacer(1), 0.
		for now := int64(0); now < 1e9; {
			wait := a.accept.take(now, saturated)
			if wait == 0 {
				taken++
			}
			now += wait
		}
		if taken < 0.95*want || taken > 1.1*want {
			t.Errorf("saturated %v: %.0f taken in a second, want %.0f", saturated, taken, want)
		}
	}
}

// Hundreds that say nothing come before one that asks, on a quarter of a core and while others wait for answers: its turn
// is there within half a second, and what they cost stays paced.
func TestTheSilentTakeNoTurns(t *testing.T) {
	for _, saturated := range []bool{false, true} {
		a, taken, rested := NewAcceptPacer(0.25), 0, 0
		now := int64(0)
		for n := 0; n < 500; {
			switch turn, wait := a.Decide(now, now, saturated, true); turn {
			case Accept:
				taken, n = taken+1, n+1
			case AcceptSuspended:
				rested, n = rested+1, n+1
			default:
				now += wait
			}
		}
		for {
			turn, wait := a.Decide(now, now, saturated, false)
			if turn == Accept {
				break
			}
			if turn == AcceptSuspended {
				t.Fatal("one that asks was laid to rest")
			}
			now += wait
		}
		if now > second/2 {
			t.Errorf("saturated %v: the one that asks has its turn after %.2f s", saturated, float64(now)/second)
		}
		if most := acceptsPerCore*0.25*hurryShare*float64(now)/second + 3; float64(taken) > most {
			t.Errorf("saturated %v: %d taken in %.2f s, %.0f may be", saturated, taken, float64(now)/second, most)
		}
		if most := restsPerCore*0.25*float64(now)/second + 8; float64(rested) > most || rested < 300 {
			t.Errorf("saturated %v: %d laid to rest, 300 to %.0f wanted", saturated, rested, most)
		}
	}
}

// Hundreds that all ask are taken in within a bounded time, also while others wait for answers: none is left in the backlog
// for seconds. Until somebody may have waited for long the pace leaves the core to those that wait for answers.
func TestThoseThatAskAreHurried(t *testing.T) {
	a, now, early := NewAcceptPacer(0.25), int64(0), 0
	for n := 0; n < 600; {
		turn, wait := a.Decide(now, now, true, false)
		if turn == Accept {
			if n++; float64(now) <= hurryAfter {
				early++
			}
		}
		now += wait
	}
	if now > second {
		t.Errorf("the last of 600 has its turn after %.2f s", float64(now)/second)
	}
	if most := acceptsPerCore*0.25*saturatedShare*hurryAfter/second + 2; float64(early) > most {
		t.Errorf("%d taken in within the first %.1f s, %.0f may be", early, hurryAfter/second, most)
	}
}

func TestWhoHasGone(t *testing.T) {
	for _, c := range []struct {
		waited int64
		closed bool
		want   bool
	}{{0, true, false}, {second / 50, true, false}, {second / 10, true, true}, {second, false, false}, {-second, true, false}} {
		if got := Abandoned(c.waited, c.closed); got != c.want {
			t.Errorf("waited %d, closed %v: %v", c.waited, c.closed, got)
		}
	}
}

func BenchmarkSetState(b *testing.B) {
	table := NewTable(Limits{MaxConnections: 100000, Cores: 1}, []Policy{{IdleTimeout: 1e9, MaxJitter: 1e6}}, 1)
	var ids []ID
	for range 100000 {
		id, _ := table.Add(0, 1, 0)
		ids = append(ids, id)
	}
	for i := 0; b.Loop(); i++ {
		table.SetState(int64(i), ids[i%len(ids)], StateActive)
		table.SetState(int64(i), ids[i%len(ids)], StateIdle)
	}
}
