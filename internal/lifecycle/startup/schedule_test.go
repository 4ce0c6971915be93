package startup

import (
	"fmt"
	"testing"
)

// refusedCalls returns the times of all calls, up to a time, of routers that start together while the service
// refuses connections. configured is their number by the settings.
func refusedCalls(routers, configured int, until int64) (all []int64) {
	for i := range routers {
		schedule := NewCallSchedule(uint64(i)+1, configured, ReadinessHold{})
		for at := schedule.FirstDelay(); at < until; at += schedule.CallEnded(at, Refused) {
			all = append(all, at)
		}
	}
	return all
}

// unscheduledCalls returns the times of the calls that routers make by a backoff without jitter: at once, then
// after 50 ms that double up to 500 ms.
func unscheduledCalls(routers int, until int64) (all []int64) {
	for range routers {
		delay := 50 * millisecond
		for at := int64(0); at < until; {
			all = append(all, at)
			at += delay
			delay = min(2*delay, 500*millisecond)
		}
	}
	return all
}

// peakCalls returns the most calls within a span.
func peakCalls(all []int64, span int64) (peak int) {
	calls := map[int64]int{}
	for _, at := range all {
		calls[at/span]++
		peak = max(peak, calls[at/span])
	}
	return peak
}

// callsFrom returns the calls from a time on.
func callsFrom(all []int64, from int64) (late []int64) {
	for _, at := range all {
		if at >= from {
			late = append(late, at)
		}
	}
	return late
}

func TestCallsWhileTheServiceIsDown(t *testing.T) {
	const until = 30 * second
	for _, test := range []struct {
		routers, configured int
		bound               int // calls a second: the rate, and what chance adds
	}{
		{1, 1, 6},
		{3, 3, 15},
		{300, 300, 330},
		{1000, 1000, 1100},
		{5000, 5000, 5500},
		{300, 3, 1300}, // the settings name few routers: calls are spread from the second on
	} {
		t.Run(fmt.Sprintf("%d routers, %d by the settings", test.routers, test.configured), func(t *testing.T) {
			all := refusedCalls(test.routers, test.configured, until)
			unscheduled := unscheduledCalls(test.routers, until)
			if peak := peakCalls(all, second); peak > test.bound {
				t.Errorf("%d calls in a second, bound %d", peak, test.bound)
			}
			if test.configured >= 300 {
				checkQuarter(t, all, unscheduled)
				checkQuarter(t, callsFrom(all, 10*second), callsFrom(unscheduled, 10*second))
			}
			if len(all) < test.routers*4 {
				t.Errorf("%d calls in 30 s: the service's return is noticed late", len(all))
			}
		})
	}
}

// checkQuarter checks that at most a quarter as many calls come in a second as without a schedule.
func checkQuarter(t *testing.T, all, unscheduled []int64) {
	t.Helper()
	if peak, limit := peakCalls(all, second), peakCalls(unscheduled, second); 4*peak > limit {
		t.Errorf("%d calls in a second, %d without a schedule", peak, limit)
	}
}

// After a disconnect, a silence or a change of address, and at the start, the service is called in time for the
// router to be answered before it counts as notified, whatever the number of routers and the seed.
func TestCallsBeforeTheNotificationDeadline(t *testing.T) {
	for _, test := range []struct {
		name     string
		delay    func(*CallSchedule) int64
		maxDelay int64
	}{
		{"a disconnect", func(schedule *CallSchedule) int64 {
			schedule.DataReceived()
			return schedule.CallEnded(0, Disconnected)
		}, deadlineAfterDisconnect - answerAllowance},
		{"silence", func(schedule *CallSchedule) int64 {
			schedule.DataReceived()
			return schedule.CallEnded(0, Silent)
		}, deadlineAfterSilence - silenceTimeout - answerAllowance},
		{"another address", func(schedule *CallSchedule) int64 {
			return schedule.AddressChanged(0)
		}, deadlineAfterAddressChange - answerAllowance},
		{"the start", (*CallSchedule).FirstDelay, maxFirstSpread},
		{"a disconnect, and the first call fails", func(schedule *CallSchedule) int64 {
			schedule.DataReceived()
			first := schedule.CallEnded(0, Disconnected)
			return first + schedule.CallEnded(first, Refused)
		}, deadlineAfterDisconnect - answerAllowance},
	} {
		t.Run(test.name, func(t *testing.T) {
			for _, routers := range []int{0, 1, 3, 300, 100_000} {
				for seed := range uint64(200) {
					schedule := NewCallSchedule(seed, routers, ReadinessHold{})
					schedule.ListReceived() // without a list no deadline binds the router
					if delay := test.delay(schedule); delay < 0 || delay > test.maxDelay {
						t.Fatalf("%d routers: %d ms, at most %d", routers, delay/millisecond, test.maxDelay/millisecond)
					}
				}
			}
		})
	}
}

// Routers without a list serve nobody. Their calls are spread from the first on, to a tenth of those without a
// schedule in any second, and no delay is longer than all routers take to call.
func TestCallsWithoutAListAreSpreadFromTheFirst(t *testing.T) {
	const until = 30 * second
	for _, routers := range []int{300, 1000, 5000} {
		peak := peakCalls(refusedCalls(routers, routers, until), second)
		limit := peakCalls(unscheduledCalls(routers, until), second)
		if float64(peak) > 0.1*float64(limit) {
			t.Errorf("%d routers: %d calls in a second, %d without a schedule", routers, peak, limit)
		}
	}
	for seed := range uint64(50) {
		schedule := NewCallSchedule(seed, 300, ReadinessHold{})
		for range 30 {
			if delay := schedule.CallEnded(0, Refused); delay < maxNoListSpread/2 || delay > maxNoListSpread*3/2 {
				t.Fatalf("a delay of %d ms", delay/millisecond)
			}
		}
		schedule.ListReceived()
		if schedule.CallEnded(0, Refused) > maxRetryDelay {
			t.Fatal("later than the notification deadline with a list")
		}
	}
}

// slowService answers calls in order, one at a time. A router that gives up leaves its call in the queue.
type slowService struct {
	schedules []*CallSchedule
	nextCall  map[int]int64 // by router; routers that wait for an answer, or have one, are not in it
	queue     []queuedCall
	answered  int // routers
}

// queuedCall is a call that is not answered yet.
type queuedCall struct {
	router    int
	givesUpAt int64 // 0: the router has given up
}

// step has the routers call and give up that do so at a time.
func (s *slowService) step(now int64) {
	for router, schedule := range s.schedules {
		if at, calls := s.nextCall[router]; calls && at <= now {
			delete(s.nextCall, router)
			s.queue = append(s.queue, queuedCall{router, now + schedule.ReadTimeout()})
		}
	}
	for i := range s.queue {
		if call := &s.queue[i]; call.givesUpAt > 0 && call.givesUpAt <= now {
			s.nextCall[call.router] = now + s.schedules[call.router].CallEnded(now, Unanswered)
			call.givesUpAt = 0
		}
	}
}

// answerFirst answers the first call in the queue.
func (s *slowService) answerFirst() {
	if len(s.queue) == 0 {
		return
	}
	if first := s.queue[0]; first.givesUpAt > 0 {
		s.schedules[first.router].DataReceived()
		s.answered++
	}
	s.queue = s.queue[1:]
}

// A service that answers ten calls a second answers all routers in the end, though those that give up leave calls
// in its queue.
func TestSlowServiceAnswersAllInTheEnd(t *testing.T) {
	const routers, interval = 100, second / 10
	service := &slowService{nextCall: map[int]int64{}}
	for i := range routers {
		schedule := NewCallSchedule(uint64(i), routers, ReadinessHold{})
		service.schedules = append(service.schedules, schedule)
		service.nextCall[i] = schedule.FirstDelay()
	}
	for now := int64(0); now < 60*second && service.answered < routers; now += 10 * millisecond {
		service.step(now)
		if now%interval == 0 {
			service.answerFirst()
		}
	}
	if service.answered < routers {
		t.Errorf("%d of %d were answered within a minute, %d calls in the queue",
			service.answered, routers, len(service.queue))
	}
}

// A truncated answer is requested again at once, but only a few times in a row: a service that truncates all its
// answers is not called by hundreds of routers at full speed.
func TestTruncatedAnswersAreRequestedAgainAFewTimes(t *testing.T) {
	for seed := range uint64(50) {
		schedule := NewCallSchedule(seed, 300, ReadinessHold{})
		schedule.ListReceived()
		now, calls := int64(0), 0
		for ; now < 30*second; calls++ {
			schedule.CallStarted(now)
			now += millisecond
			delay := schedule.CallEnded(now, Truncated)
			wantAtOnce := calls%(maxTruncatedRetries+1) < maxTruncatedRetries
			if atOnce := delay < truncatedRetrySpread; atOnce != wantAtOnce {
				t.Fatalf("call %d: a delay of %d ms", calls, delay/millisecond)
			}
			now += delay
		}
		if calls > 90 {
			t.Fatalf("%d calls in 30 s", calls)
		}
		schedule.CallStarted(now)
		schedule.DataReceived()
		if delay := schedule.CallEnded(now+maxTruncatedAge, Truncated); delay > maxReconnectSpread {
			t.Fatalf("an old connection that is truncated is followed after %d ms", delay/millisecond)
		}
	}
}

func TestStallTimeoutFollowsTheDrainGrace(t *testing.T) {
	for _, test := range []struct{ grace, want int64 }{
		{0, maxStallTimeout},
		{250 * millisecond, 83333333},
		{60 * second, maxStallTimeout},
	} {
		schedule := NewCallSchedule(1, 1, ReadinessHold{})
		schedule.SetDrainGrace(test.grace)
		if got := schedule.StallTimeout(); got != test.want {
			t.Errorf("with a grace of %d ms an event may stall for %d ns, want %d",
				test.grace/millisecond, got, test.want)
		}
	}
}

// A call that this machine could not make counts neither as a disconnect nor as a refusal: the schedule goes on as
// before it.
func TestLocalErrorsLeaveTheSchedule(t *testing.T) {
	for _, routers := range []int{1, 300} {
		schedule := NewCallSchedule(1, routers, ReadinessHold{})
		same := NewCallSchedule(1, routers, ReadinessHold{})
		schedule.DataReceived()
		same.DataReceived()
		longest := max(maxLocalErrorDelay, maxReconnectSpread)
		for range 20 {
			if delay := schedule.CallEnded(0, LocalError); delay < minLocalErrorDelay/2 || delay > longest {
				t.Fatalf("%d routers: a delay of %d ms", routers, delay/millisecond)
			}
		}
		isSame := schedule.answerBy == same.answerBy && schedule.lastDelay == same.lastDelay
		if !schedule.hasData || !isSame || schedule.retryMoved {
			t.Errorf("%d routers: %+v, without local errors %+v", routers, schedule, same)
		}
		schedule.CallEnded(0, Refused)
		if schedule.localErrorDelay != 0 {
			t.Error("the backoff of later local errors does not start anew")
		}
	}
}
