package startup

import (
	"fmt"
	"testing"
)

// refusedCalls returns the times, before until, of the calls that routers make if they start together and the service
// refuses all connections. configured is the number of routers in the settings.
func refusedCalls(routers, configured int, until int64) (all []int64) {
	for i := range routers {
		schedule := NewCallSchedule(uint64(i)+1, configured, ReadinessHold{})
		for at := schedule.FirstDelay(0); at < until; at += schedule.CallEnded(at, Refused) {
			all = append(all, at)
		}
	}
	return all
}

// unscheduledCalls returns the times of the calls of routers that back off without jitter: at once, then after delays
// that double from 50 ms to 500 ms.
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

// peakCalls returns the largest number of calls in one interval. The intervals follow each other from time 0.
func peakCalls(all []int64, interval int64) (peak int) {
	calls := map[int64]int{}
	for _, at := range all {
		calls[at/interval]++
		peak = max(peak, calls[at/interval])
	}
	return peak
}

// callsFrom returns the calls that are made at or after a time.
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
		bound               int // maximum number of calls in one second: the target rate and a margin for random peaks
	}{
		{1, 1, 6},
		{3, 3, 15},
		{300, 300, 330},
		{1000, 1000, 1100},
		{5000, 5000, 5500},
		{300, 3, 1300}, // the settings state too few routers, so only later calls are spread enough
	} {
		t.Run(fmt.Sprintf("%d routers, %d in the settings", test.routers, test.configured), func(t *testing.T) {
			all := refusedCalls(test.routers, test.configured, until)
			unscheduled := unscheduledCalls(test.routers, until)
			if peak := peakCalls(all, second); peak > test.bound {
				t.Errorf("%d calls in one second, want at most %d", peak, test.bound)
			}
			if test.configured >= 300 {
				checkQuarter(t, all, unscheduled)
				checkQuarter(t, callsFrom(all, 10*second), callsFrom(unscheduled, 10*second))
			}
			if len(all) < test.routers*4 {
				t.Errorf("%d calls in 30 s, want at least %d, or routers notice too late that the service is back",
					len(all), test.routers*4)
			}
		})
	}
}

// checkQuarter checks that the peak of calls per second is at most a quarter of the peak without a schedule.
func checkQuarter(t *testing.T, all, unscheduled []int64) {
	t.Helper()
	if peak, limit := peakCalls(all, second), peakCalls(unscheduled, second); 4*peak > limit {
		t.Errorf("%d calls in one second, want at most a quarter of %d", peak, limit)
	}
}

// After a disconnect, a silence or a change of address, and at the start, a router calls the service early enough to
// be answered before the notification deadline, for any number of routers and any seed.
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
		{"the start", func(schedule *CallSchedule) int64 { return schedule.FirstDelay(0) }, maxFirstSpread},
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
					schedule.ListReceived() // without a list no deadline applies
					if delay := test.delay(schedule); delay < 0 || delay > test.maxDelay {
						t.Fatalf("%d routers: a delay of %d ms, want at most %d ms",
							routers, delay/millisecond, test.maxDelay/millisecond)
					}
				}
			}
		})
	}
}

// outageCalls returns the times, until the given one, of the calls of each of the routers with a list that lose their
// connection at time 0 and are refused from then on. The seeds of the routers follow firstSeed.
func outageCalls(routers int, firstSeed uint64, until int64) (all [][]int64) {
	for i := range routers {
		schedule := NewCallSchedule(firstSeed+uint64(i), routers, ReadinessHold{})
		schedule.ListReceived()
		schedule.DataReceived()
		var calls []int64
		for at := schedule.CallEnded(0, Disconnected); at < until; at += schedule.CallEnded(at, Refused) {
			calls = append(calls, at)
		}
		all = append(all, calls)
	}
	return all
}

// Once a service is back, each router has to call it at once, however long the outage was: a cache that began to drain
// 6.5 s before its end counts as known 0.5 s after it. The delay used to grow to 5 s.
func TestServiceIsCalledSoonAfterAnOutage(t *testing.T) {
	const limit = answerAllowance
	for _, routers := range []int{1, 4, 20, 36} {
		for _, outage := range []int64{2 * second, 4 * second, 8 * second, 20 * second, 40 * second, 60 * second} {
			for seed := range uint64(50) {
				for router, calls := range outageCalls(routers, seed, outage+maxRetryDelay) {
					late := callsFrom(calls, outage)
					if len(late) == 0 || late[0]-outage > limit {
						t.Fatalf("%d routers, an outage of %d ms, seed %d: router %d calls at %v from its end on, want within %d ms",
							routers, outage/millisecond, seed, router, late, limit/millisecond)
					}
				}
			}
		}
	}
}

// However soon few routers call, the calls of all routers stay within the target rate of retries, once the connections
// that were lost together have been tried again.
func TestCallsDuringAnOutageSpareTheService(t *testing.T) {
	const margin = 1.2 // for random peaks
	for _, routers := range []int{4, 20, 100, 300} {
		var all []int64
		for _, calls := range outageCalls(routers, 1, 30*second) {
			all = append(all, calls...)
		}
		if peak := peakCalls(callsFrom(all, 2*second), second); float64(peak) > margin*retryRate {
			t.Errorf("%d routers: %d calls in one second, want %.0f at most", routers, peak, margin*retryRate)
		}
	}
}

// Routers without a list serve no client, so all their calls are spread, including the first ones. The peak of
// calls per second is at most a tenth of the peak without a schedule, and delays have an upper bound.
func TestCallsWithoutListAreSpread(t *testing.T) {
	const until = 30 * second
	for _, routers := range []int{300, 1000, 5000} {
		peak := peakCalls(refusedCalls(routers, routers, until), second)
		limit := peakCalls(unscheduledCalls(routers, until), second)
		if float64(peak) > 0.1*float64(limit) {
			t.Errorf("%d routers: %d calls in one second, want at most a tenth of %d", routers, peak, limit)
		}
	}
	for seed := range uint64(50) {
		schedule := NewCallSchedule(seed, 300, ReadinessHold{})
		for range 30 {
			if delay := schedule.CallEnded(0, Refused); delay < maxNoListSpread/2 || delay > maxNoListSpread*3/2 {
				t.Fatalf("a delay of %d ms, want %d to %d ms",
					delay/millisecond, maxNoListSpread/2/millisecond, maxNoListSpread*3/2/millisecond)
			}
		}
		schedule.ListReceived()
		if delay := schedule.CallEnded(0, Refused); delay > maxRetryDelay {
			t.Fatalf("a delay of %d ms with a list, want at most %d ms", delay/millisecond, maxRetryDelay/millisecond)
		}
	}
}

// slowService answers calls in order, one at a time. The call of a router that gives up stays in the queue.
type slowService struct {
	schedules []*CallSchedule
	// nextCall is the time of the next call by router. It has no entry for a router that waits for an answer or has
	// got one.
	nextCall map[int]int64
	queue    []queuedCall
	answered int // number of routers that got an answer
}

// queuedCall is a call that is not answered yet.
type queuedCall struct {
	router    int
	givesUpAt int64 // when the router gives up the call, ns; 0: it has given up
}

// step makes the calls that are due now, and gives up those whose timeout has passed.
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

// answerFirst removes the first call from the queue. Its router gets an answer unless it has given up the call.
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

// A service that answers ten calls per second answers all routers within a minute, although the calls of routers that
// have given up stay in its queue.
func TestSlowServiceAnswersAllRouters(t *testing.T) {
	const routers, interval = 100, second / 10
	service := &slowService{nextCall: map[int]int64{}}
	for i := range routers {
		schedule := NewCallSchedule(uint64(i), routers, ReadinessHold{})
		service.schedules = append(service.schedules, schedule)
		service.nextCall[i] = schedule.FirstDelay(0)
	}
	for now := int64(0); now < 60*second && service.answered < routers; now += 10 * millisecond {
		service.step(now)
		if now%interval == 0 {
			service.answerFirst()
		}
	}
	if service.answered < routers {
		t.Errorf("%d of %d routers were answered within a minute, %d calls are still queued",
			service.answered, routers, len(service.queue))
	}
}

// A truncated answer is requested again almost at once, but only maxTruncatedRetries times in a row, so that hundreds
// of routers do not overload a service that truncates all its answers.
func TestTruncatedAnswersAreRetriedFewTimes(t *testing.T) {
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
				t.Fatalf("call %d: a delay of %d ms, want a retry at once: %v",
					calls, delay/millisecond, wantAtOnce)
			}
			now += delay
		}
		if calls > 90 {
			t.Fatalf("%d calls in 30 s, want at most 90", calls)
		}
		schedule.CallStarted(now)
		schedule.DataReceived()
		if delay := schedule.CallEnded(now+maxAnswerAge, Truncated); delay > maxReconnectSpread {
			t.Fatalf("a delay of %d ms after an old connection was truncated, want at most %d ms",
				delay/millisecond, maxReconnectSpread/millisecond)
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
		schedule.SetShortestGracePeriod(test.grace)
		if got := schedule.StallTimeout(0); got != test.want {
			t.Errorf("a grace period of %d ms: the stall timeout is %d ns, want %d ns",
				test.grace/millisecond, got, test.want)
		}
	}
}

// If the service writes an event with pauses longer than the stall timeout, each call ends inside the same event. The
// timeout must grow from call to call until it is longer than the pauses, or the event would never be received. A pause
// seen in a complete event must be allowed for in the answer to the next call.
func TestStallTimeoutGrowsWithThePausesOfTheService(t *testing.T) {
	for _, grace := range []int64{250 * millisecond, 20 * millisecond} {
		for _, pause := range []int64{100 * millisecond, 400 * millisecond, 1500 * millisecond} {
			schedule := NewCallSchedule(1, 1, ReadinessHold{})
			schedule.SetShortestGracePeriod(grace)
			calls := 0
			for ; schedule.StallTimeout(0) < pause && calls < 20; calls++ {
				schedule.EventStalled()
			}
			if calls > 5 {
				t.Errorf("a pause of %d ms: %d calls stall, want 5 at most", pause/millisecond, calls)
			}
			schedule.EventReceived(pause)
			if got := schedule.StallTimeout(0); got < pause {
				t.Errorf("a pause of %d ms was seen: the stall timeout is %d ms, want more",
					pause/millisecond, got/millisecond)
			}
			for range 100 {
				schedule.EventReceived(0)
			}
			if got := schedule.StallTimeout(0); got > grace/stallGraceDivisor {
				t.Errorf("100 events without a pause: the stall timeout is %d ms, want %d ms",
					got/millisecond, grace/stallGraceDivisor/millisecond)
			}
		}
	}
}

// Of what comes after the answer to a call the router counts as notified only some time after the service has fallen
// silent, so an event may pause for longer there. What it has learned of one service says nothing of another.
func TestStallTimeoutOfNewsAndAfterAddressChange(t *testing.T) {
	schedule := NewCallSchedule(1, 1, ReadinessHold{})
	schedule.SetShortestGracePeriod(250 * millisecond)
	schedule.CallStarted(second)
	if got := schedule.StallTimeout(second + maxAnswerAge); got != maxStallTimeout {
		t.Errorf("stall timeout of news: %d ms, want %d ms", got/millisecond, maxStallTimeout/millisecond)
	}
	initial := schedule.StallTimeout(second)
	schedule.EventReceived(second)
	schedule.EventStalled()
	schedule.AddressChanged(second)
	if got := schedule.StallTimeout(second); got != initial {
		t.Errorf("stall timeout at the new address: %d ms, want %d ms", got/millisecond, initial/millisecond)
	}
}

// A call that this machine could not make counts neither as a disconnect nor as a refused call: the deadline and the
// backoff of the schedule stay as they are.
func TestLocalErrorsKeepScheduleState(t *testing.T) {
	for _, routers := range []int{1, 300} {
		schedule := NewCallSchedule(1, routers, ReadinessHold{})
		same := NewCallSchedule(1, routers, ReadinessHold{})
		schedule.DataReceived()
		same.DataReceived()
		longest := max(maxLocalErrorDelay, maxReconnectSpread)
		for range 20 {
			if delay := schedule.CallEnded(0, LocalError); delay < minLocalErrorDelay/2 || delay > longest {
				t.Fatalf("%d routers: a delay of %d ms, want %d to %d ms",
					routers, delay/millisecond, minLocalErrorDelay/2/millisecond, longest/millisecond)
			}
		}
		isSame := schedule.answerDeadline == same.answerDeadline && schedule.lastDelay == same.lastDelay
		if !schedule.hasData || !isSame || schedule.retryAdvanced {
			t.Errorf("%d routers: state %+v, want that without local errors, %+v", routers, schedule, same)
		}
		schedule.CallEnded(0, Refused)
		if schedule.localErrorDelay != 0 {
			t.Error("the delay of later local errors does not start again from the shortest")
		}
	}
}
