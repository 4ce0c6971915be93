package startup

import (
	"fmt"
	"testing"
)

// calls plays n routers whose service answers as told by serve, from one start, and gives the times of all calls. serve
// tells how a call at a time ends and how long that takes.
func calls(n, said int, until int64, serve func(at int64) (CallResult, int64, bool)) (all []int64, heard map[int]int64) {
	heard = map[int]int64{}
	for i := range n {
		c := NewCallSchedule(uint64(i)+1, said, ReadinessHold{})
		for at := c.FirstDelay(); at < until; {
			all = append(all, at)
			how, took, answered := serve(at)
			if answered {
				heard[i] = at + took
				break
			}
			if how == Unanswered {
				took = c.ReadTimeout()
			}
			at += took + c.CallEnded(at+took, how)
		}
	}
	return all, heard
}

// most is the most calls within a span.
func most(all []int64, span int64) (peak int) {
	bins := map[int64]int{}
	for _, at := range all {
		bins[at/span]++
		peak = max(peak, bins[at/span])
	}
	return peak
}

// before is how routers called without chance: at once, then after 50 ms doubling to 500 ms.
func before(n int, until int64) (all []int64) {
	for range n {
		for at, wait := int64(0), 50*millisecond; at < until; at, wait = at+wait, min(2*wait, 500*millisecond) {
			all = append(all, at)
		}
	}
	return all
}

func down(int64) (CallResult, int64, bool) { return Refused, 0, false }

func TestServiceIsDown(t *testing.T) {
	for _, c := range []struct{ routers, said, bound int }{
		// bound: calls a second, the rate and what chance adds
		{1, 1, 6}, {3, 3, 15}, {300, 300, 330}, {1000, 1000, 1100}, {5000, 5000, 5500},
		{300, 3, 1300}, // the settings say 3: apart from the second call on
	} {
		t.Run(fmt.Sprint(c.routers, " routers, said to be ", c.said), func(t *testing.T) {
			all, _ := calls(c.routers, c.said, 30*second, down)
			peak, old := most(all, second), most(before(c.routers, 30*second), second)
			if peak > c.bound {
				t.Errorf("%d calls in a second, bound %d", peak, c.bound)
			}
			if c.said >= 300 && 4*peak > old {
				t.Errorf("%d calls in a second, %d before", peak, old)
			}
			late := func(all []int64) (after []int64) {
				for _, at := range all {
					if at >= 10*second {
						after = append(after, at)
					}
				}
				return after
			}
			if now, old := most(late(all), second), most(late(before(c.routers, 30*second)), second); c.said >= 300 && 4*now > old {
				t.Errorf("later on %d calls in a second, %d before", now, old)
			}
			if len(all) < c.routers*4 {
				t.Errorf("%d calls in 30 s: the service's return is found late", len(all))
			}
		})
	}
}

// Who breaks off, stands still or moves: in time for what counts as told, whatever n and chance.
func TestCalledWithinWhatCountsAsTold(t *testing.T) {
	for _, c := range []struct {
		name string
		wait func(*CallSchedule) int64
		most int64
	}{
		{"a break", func(c *CallSchedule) int64 { c.DataReceived(); return c.CallEnded(0, Disconnected) }, toldAfterBreak - answerTime},
		{"silence", func(c *CallSchedule) int64 { c.DataReceived(); return c.CallEnded(0, Silent) }, toldAfterStop - quietMost - answerTime},
		{"a new address", func(c *CallSchedule) int64 { return c.AddressChanged(0) }, toldAfterMove - answerTime},
		{"a start", func(c *CallSchedule) int64 { return c.FirstDelay() }, firstSpreadMost},
		{"a break, and the first call fails", func(c *CallSchedule) int64 {
			c.DataReceived()
			first := c.CallEnded(0, Disconnected)
			return first + c.CallEnded(first, Refused)
		}, toldAfterBreak - answerTime},
	} {
		t.Run(c.name, func(t *testing.T) {
			for _, n := range []int{0, 1, 3, 300, 100_000} {
				for seed := range uint64(200) {
					calls := NewCallSchedule(seed, n, ReadinessHold{})
					calls.ListReceived() // else nothing binds them: nobody is served
					if w := c.wait(calls); w < 0 || w > c.most {
						t.Fatalf("%d routers: %d ms, most %d", n, w/millisecond, c.most/millisecond)
					}
				}
			}
		})
	}
}

// Routers that know no list serve nobody: their calls are spread from the first on, to a tenth of before in any second, and
// none waits for longer than it takes all to call.
func TestCallsWithoutAListAreSpreadFromTheFirst(t *testing.T) {
	for _, n := range []int{300, 1000, 5000} {
		all, _ := calls(n, n, 30*second, down)
		if peak, old := most(all, second), most(before(n, 30*second), second); float64(peak) > 0.1*float64(old) {
			t.Errorf("%d routers: %d calls in a second, %d before", n, peak, old)
		}
	}
	for seed := range uint64(50) {
		c := NewCallSchedule(seed, 300, ReadinessHold{})
		for range 30 {
			if w := c.CallEnded(0, Refused); w < aloneSpreadMost/2 || w > aloneSpreadMost*3/2 {
				t.Fatalf("waits %d ms", w/millisecond)
			}
		}
		if c.ListReceived(); c.CallEnded(0, Refused) > againMost {
			t.Fatal("later than what counts as told")
		}
	}
}

// A service that takes ten calls a second and answers in order is heard by all in the end: who gives up in its queue leaves
// a call there that nobody waits for.
func TestSlowServiceComesThrough(t *testing.T) {
	const n, each = 100, second / 10
	type call struct {
		router   int
		at, dead int64
	}
	var states [n]*CallSchedule
	next := map[int]int64{}
	for i := range states {
		states[i] = NewCallSchedule(uint64(i), n, ReadinessHold{})
		next[i] = states[i].FirstDelay()
	}
	var queue []call
	heard := 0
	for now := int64(0); now < 60*second && heard < n; now += 10 * millisecond {
		for i := range n {
			if at, waits := next[i]; waits && at <= now {
				delete(next, i)
				queue = append(queue, call{i, now, now + states[i].ReadTimeout()})
			}
		}
		for k := range queue {
			if q := &queue[k]; q.dead > 0 && q.dead <= now {
				next[q.router] = now + states[q.router].CallEnded(now, Unanswered)
				q.dead = 0 // given up, and in the queue still
			}
		}
		if now%each == 0 && len(queue) > 0 {
			if queue[0].dead > 0 {
				states[queue[0].router].DataReceived()
				heard++
			}
			queue = queue[1:]
		}
	}
	if heard < n {
		t.Errorf("%d of %d were answered within a minute, %d calls in the queue", heard, n, len(queue))
	}
}

// With a hold the first calls of all come at the operator's rate, each early enough to be answered before it ends.
func TestReadinessHold(t *testing.T) {
	for _, c := range []struct {
		routers int
		holding ReadinessHold
		fits    bool
	}{{300, ReadinessHold{100, 4 * second}, true}, {300, ReadinessHold{100, 3 * second}, false}, {5000, ReadinessHold{1000, 6 * second}, true},
		{0, ReadinessHold{1, 2 * second}, true}, {300, ReadinessHold{}, true}} {
		t.Run(fmt.Sprint(c.routers, c.holding), func(t *testing.T) {
			err := c.holding.Check(c.routers)
			if (err == nil) != c.fits {
				t.Fatal(err)
			}
			if !c.fits || c.holding.CallRate == 0 {
				return
			}
			var all []int64
			for i := range max(1, c.routers) {
				all = append(all, NewCallSchedule(uint64(i), c.routers, c.holding).FirstDelay())
				if last := all[i]; last > c.holding.MaxDuration-answerTime {
					t.Fatalf("called after %d ms of a hold of %d", last/millisecond, c.holding.MaxDuration/millisecond)
				}
			}
			if peak := most(all, second); float64(peak) > 1.3*c.holding.CallRate+5 {
				t.Errorf("%d calls in a second at a rate of %g", peak, c.holding.CallRate)
			}
		})
	}
	s := NewProgress(0, RateWindow, ReadinessHold{100, 4 * second})
	s.ListReceived()
	if s.Ready(3*second) || !s.Ready(4*second) {
		t.Error("health is held back for the hold, and no longer")
	}
	if s.ServiceReached(second); !s.Ready(second) {
		t.Error("health is held back though the service was heard")
	}
}

func TestListFilter(t *testing.T) {
	whole := func(position, generation int64, members, ready int) ListSummary {
		return ListSummary{Position: position, Generation: generation, Complete: true, Endpoints: members, ReadyEndpoints: ready,
			Digest: uint64(members)<<32 | uint64(ready)}
	}
	for _, c := range []struct {
		name string
		told []ListSummary
		at   []int64
		want string
	}{
		{"the first is used, whatever it says", []ListSummary{whole(1, 1, 0, 0)}, nil, "[use]"},
		{"nobody", []ListSummary{whole(1, 1, 8, 8), whole(5, 2, 0, 0), whole(5, 2, 0, 0)}, nil, "[use doubt use]"},
		{"nobody ready", []ListSummary{whole(1, 1, 8, 8), whole(5, 2, 8, 0)}, nil, "[use doubt]"},
		{"a third", []ListSummary{whole(1, 1, 9, 9), whole(5, 2, 3, 3), whole(5, 2, 9, 9)}, nil, "[use doubt use]"},
		{"half", []ListSummary{whole(1, 1, 8, 8), whole(5, 2, 4, 4)}, nil, "[use use]"},
		{"few were there", []ListSummary{whole(1, 1, 3, 3), whole(5, 2, 1, 1)}, nil, "[use use]"},
		{"confirmed too late", []ListSummary{whole(1, 1, 8, 8), whole(5, 2, 2, 2), whole(5, 2, 2, 2)}, []int64{0, 1, 6 * second}, "[use doubt doubt]"},
		{"doubted twice with another content", []ListSummary{whole(1, 1, 8, 8), whole(5, 2, 2, 2), whole(6, 2, 3, 3)}, nil, "[use doubt doubt]"},
		{"older", []ListSummary{whole(7, 3, 8, 8), whole(5, 2, 8, 8)}, nil, "[use old]"},
		{"the same again", []ListSummary{whole(7, 3, 8, 8), whole(7, 3, 8, 8)}, nil, "[use old]"},
		{"changes behind it", []ListSummary{whole(7, 3, 8, 8), {Position: 8, Endpoints: 1}, {Position: 8, Endpoints: 1}}, nil, "[use use old]"},
		{"a service that counts anew", []ListSummary{whole(7, 3, 8, 8), whole(1, 4, 8, 8), {Position: 2, Endpoints: 1}}, nil, "[use use use]"},
		{"one that counts anew and is behind", []ListSummary{whole(7, 3, 8, 8), whole(1, 3, 8, 8)}, nil, "[use old]"},
	} {
		t.Run(c.name, func(t *testing.T) {
			var l ListFilter
			var got []Verdict
			for i, list := range c.told {
				at := int64(i + 1)
				if c.at != nil {
					at = c.at[i] + 1
				}
				got = append(got, l.Evaluate(at, list))
			}
			if fmt.Sprint(got) != c.want {
				t.Errorf("%v, want %s", got, c.want)
			}
		})
	}
}

func TestPhases(t *testing.T) {
	s := NewProgress(0, RateWindow, ReadinessHold{})
	step := func(now int64, want Phase, another bool) {
		t.Helper()
		if p, a := s.Update(now); p != want || a != another {
			t.Errorf("at %d ms: %v, %v; want %v, %v", now/millisecond, p, a, want, another)
		}
	}
	step(0, NoList, false)
	s.ServiceReached(second)
	step(second, NoList, false)
	if s.Ready(21 * second) {
		t.Error("ready without a list")
	}
	s.ListReceived()
	step(2*second, WarmingUp, true)
	step(9*second, WarmingUp, false)
	step(10*second, Warm, true)
	step(9*second, Warm, false)

	s = NewProgress(0, RateWindow, ReadinessHold{})
	s.ListReceived()
	step(0, ListKnown, true)
	step(20*second, ListKnown, false)
	s.ServiceReached(21 * second)
	step(21*second, Warm, true)
	if !s.Ready(21*second) || fmt.Sprint(NoList, ListKnown, WarmingUp, Warm, Refused, Silent, Accept, Unconfirmed, Stale) !=
		"alone listed warming whole refused silent use doubt old" {
		t.Error("words")
	}
}

// A call whose answer is cut off is made again at once, but not without end: a service that cuts all it says is not asked by
// hundreds at full speed.
func TestCutAnswers(t *testing.T) {
	for seed := range uint64(50) {
		c := NewCallSchedule(seed, 300, ReadinessHold{})
		c.ListReceived()
		now, calls := int64(0), 0
		for ; now < 30*second; calls++ {
			c.CallStarted(now)
			now += millisecond
			wait := c.CallEnded(now, Truncated)
			if atOnce := wait < cutSpread; atOnce != (calls%(cutAgain+1) < cutAgain) {
				t.Fatalf("call %d waits %d ms", calls, wait/millisecond)
			}
			now += wait
		}
		if calls > 90 {
			t.Fatalf("%d calls in 30 s", calls)
		}
		c.CallStarted(now)
		c.DataReceived()
		if wait := c.CallEnded(now+cutYoung, Truncated); wait > breakSpreadMost {
			t.Fatalf("an old connection that is cut off is followed after %d ms", wait/millisecond)
		}
	}
	for _, c := range []struct{ grace, want int64 }{{0, stallMost}, {250 * millisecond, 83333333}, {60 * second, stallMost}} {
		calls := NewCallSchedule(1, 1, ReadinessHold{})
		if calls.SetDrainGrace(c.grace); calls.StallTimeout() != c.want {
			t.Errorf("with a grace of %d ms an event may stand still for %d", c.grace/millisecond, calls.StallTimeout())
		}
	}
}

// A call that the own machine could not make counts neither as a break nor as a refusal: what follows is as it was before.
func TestLocalErrors(t *testing.T) {
	for _, routers := range []int{1, 300} {
		c, same := NewCallSchedule(1, routers, ReadinessHold{}), NewCallSchedule(1, routers, ReadinessHold{})
		c.DataReceived()
		same.DataReceived()
		for range 20 {
			if wait := c.CallEnded(0, LocalError); wait < notCalledLeast/2 || wait > max(notCalledMost, breakSpreadMost) {
				t.Fatalf("%d routers: a wait of %d ms", routers, wait/millisecond)
			}
		}
		if !c.heard || c.by != same.by || c.last != same.last || c.once {
			t.Errorf("%d routers: %+v, without it %+v", routers, c, same)
		}
		if c.CallEnded(0, Refused); c.missed != 0 {
			t.Error("a later shortage does not begin anew")
		}
	}
}
