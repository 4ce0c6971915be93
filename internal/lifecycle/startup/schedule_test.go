package startup

import (
	"fmt"
	"testing"
)

// simulateCalls plays n routers whose service answers as told by serve, from one start, and gives the times of
// all calls. serve tells how a call at a time ends and how long that takes.
func simulateCalls(n, said int, until int64, serve func(at int64) (CallResult, int64, bool)) (all []int64, heard map[int]int64) {
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

// peakCalls is the most calls within a span.
func peakCalls(all []int64, span int64) (peak int) {
	bins := map[int64]int{}
	for _, at := range all {
		bins[at/span]++
		peak = max(peak, bins[at/span])
	}
	return peak
}

// unscheduledCalls is how routers called without chance: at once, then after 50 ms doubling to 500 ms.
func unscheduledCalls(n int, until int64) (all []int64) {
	for range n {
		for at, wait := int64(0), 50*millisecond; at < until; at, wait = at+wait, min(2*wait, 500*millisecond) {
			all = append(all, at)
		}
	}
	return all
}

func serviceDown(int64) (CallResult, int64, bool) { return Refused, 0, false }

func TestServiceIsDown(t *testing.T) {
	for _, test := range []struct{ routers, said, bound int }{
		// bound: calls a second, the rate and what chance adds
		{1, 1, 6},
		{3, 3, 15},
		{300, 300, 330},
		{1000, 1000, 1100},
		{5000, 5000, 5500},
		{300, 3, 1300}, // the settings say 3: apart from the second call on
	} {
		t.Run(fmt.Sprint(test.routers, " routers, said to be ", test.said), func(t *testing.T) {
			all, _ := simulateCalls(test.routers, test.said, 30*second, serviceDown)
			peak, old := peakCalls(all, second), peakCalls(unscheduledCalls(test.routers, 30*second), second)
			if peak > test.bound {
				t.Errorf("%d calls in a second, bound %d", peak, test.bound)
			}
			if test.said >= 300 && 4*peak > old {
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
			if now, old := peakCalls(late(all), second), peakCalls(late(unscheduledCalls(test.routers, 30*second)), second); test.said >= 300 && 4*now > old {
				t.Errorf("later on %d calls in a second, %d before", now, old)
			}
			if len(all) < test.routers*4 {
				t.Errorf("%d calls in 30 s: the service's return is found late", len(all))
			}
		})
	}
}

// Who breaks off, stands still or moves: in time for what counts as told, whatever n and chance.
func TestCalledWithinWhatCountsAsTold(t *testing.T) {
	for _, test := range []struct {
		name string
		wait func(*CallSchedule) int64
		most int64
	}{
		{"a break", func(c *CallSchedule) int64 { c.DataReceived(); return c.CallEnded(0, Disconnected) }, deadlineAfterDisconnect - answerAllowance},
		{"silence", func(c *CallSchedule) int64 { c.DataReceived(); return c.CallEnded(0, Silent) }, deadlineAfterSilence - silenceTimeout - answerAllowance},
		{"a new address", func(c *CallSchedule) int64 { return c.AddressChanged(0) }, deadlineAfterAddressChange - answerAllowance},
		{"a start", func(c *CallSchedule) int64 { return c.FirstDelay() }, maxFirstSpread},
		{"a break, and the first call fails", func(c *CallSchedule) int64 {
			c.DataReceived()
			first := c.CallEnded(0, Disconnected)
			return first + c.CallEnded(first, Refused)
		}, deadlineAfterDisconnect - answerAllowance},
	} {
		t.Run(test.name, func(t *testing.T) {
			for _, n := range []int{0, 1, 3, 300, 100_000} {
				for seed := range uint64(200) {
					calls := NewCallSchedule(seed, n, ReadinessHold{})
					calls.ListReceived() // else nothing binds them: nobody is served
					if w := test.wait(calls); w < 0 || w > test.most {
						t.Fatalf("%d routers: %d ms, most %d", n, w/millisecond, test.most/millisecond)
					}
				}
			}
		})
	}
}

// Routers that know no list serve nobody: their calls are spread from the first on, to a tenth of before in any
// second, and none waits for longer than it takes all to call.
func TestCallsWithoutAListAreSpreadFromTheFirst(t *testing.T) {
	for _, n := range []int{300, 1000, 5000} {
		all, _ := simulateCalls(n, n, 30*second, serviceDown)
		if peak, old := peakCalls(all, second), peakCalls(unscheduledCalls(n, 30*second), second); float64(peak) > 0.1*float64(old) {
			t.Errorf("%d routers: %d calls in a second, %d before", n, peak, old)
		}
	}
	for seed := range uint64(50) {
		c := NewCallSchedule(seed, 300, ReadinessHold{})
		for range 30 {
			if w := c.CallEnded(0, Refused); w < maxNoListSpread/2 || w > maxNoListSpread*3/2 {
				t.Fatalf("waits %d ms", w/millisecond)
			}
		}
		if c.ListReceived(); c.CallEnded(0, Refused) > maxRetryDelay {
			t.Fatal("later than what counts as told")
		}
	}
}

// A service that takes ten calls a second and answers in order is heard by all in the end: who gives up in its
// queue leaves a call there that nobody waits for.
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

// A call whose answer is cut off is made again at once, but not without end: a service that cuts all it says is
// not asked by hundreds at full speed.
func TestCutAnswers(t *testing.T) {
	for seed := range uint64(50) {
		c := NewCallSchedule(seed, 300, ReadinessHold{})
		c.ListReceived()
		now, calls := int64(0), 0
		for ; now < 30*second; calls++ {
			c.CallStarted(now)
			now += millisecond
			wait := c.CallEnded(now, Truncated)
			if atOnce := wait < truncatedRetrySpread; atOnce != (calls%(maxTruncatedRetries+1) < maxTruncatedRetries) {
				t.Fatalf("call %d waits %d ms", calls, wait/millisecond)
			}
			now += wait
		}
		if calls > 90 {
			t.Fatalf("%d calls in 30 s", calls)
		}
		c.CallStarted(now)
		c.DataReceived()
		if wait := c.CallEnded(now+maxTruncatedAge, Truncated); wait > maxReconnectSpread {
			t.Fatalf("an old connection that is cut off is followed after %d ms", wait/millisecond)
		}
	}
	for _, test := range []struct{ grace, want int64 }{{0, maxStallTimeout}, {250 * millisecond, 83333333}, {60 * second, maxStallTimeout}} {
		calls := NewCallSchedule(1, 1, ReadinessHold{})
		if calls.SetDrainGrace(test.grace); calls.StallTimeout() != test.want {
			t.Errorf("with a grace of %d ms an event may stand still for %d", test.grace/millisecond, calls.StallTimeout())
		}
	}
}

// A call that the own machine could not make counts neither as a break nor as a refusal: what follows is as it
// was before.
func TestLocalErrors(t *testing.T) {
	for _, routers := range []int{1, 300} {
		c, same := NewCallSchedule(1, routers, ReadinessHold{}), NewCallSchedule(1, routers, ReadinessHold{})
		c.DataReceived()
		same.DataReceived()
		for range 20 {
			if wait := c.CallEnded(0, LocalError); wait < minLocalErrorDelay/2 || wait > max(maxLocalErrorDelay, maxReconnectSpread) {
				t.Fatalf("%d routers: a wait of %d ms", routers, wait/millisecond)
			}
		}
		if !c.hasData || c.answerBy != same.answerBy || c.lastDelay != same.lastDelay || c.retryMoved {
			t.Errorf("%d routers: %+v, without it %+v", routers, c, same)
		}
		if c.CallEnded(0, Refused); c.localErrorDelay != 0 {
			t.Error("a later shortage does not begin anew")
		}
	}
}
