package startup

import (
	"errors"
	"fmt"
	"testing"
)

// If Check accepts a ReadinessHold, all routers make their first calls to the discovery service at its CallRate, each
// early enough to be answered before the hold ends.
func TestReadinessHold(t *testing.T) {
	for _, test := range []struct {
		routers int
		hold    ReadinessHold
		fits    bool
	}{
		{300, ReadinessHold{100, 4 * second}, true},
		{300, ReadinessHold{100, 3 * second}, false},
		{5000, ReadinessHold{1000, 6 * second}, true},
		{0, ReadinessHold{1, 2 * second}, true},
		{300, ReadinessHold{}, true},
	} {
		t.Run(fmt.Sprint(test.routers, test.hold), func(t *testing.T) {
			err := test.hold.Check(test.routers)
			if (err == nil) != test.fits {
				t.Fatalf("error %v, want none: %v", err, test.fits)
			}
			if !test.fits || test.hold.CallRate == 0 {
				return
			}
			var all []int64
			for i := range max(1, test.routers) {
				all = append(all, NewCallSchedule(uint64(i), test.routers, test.hold).FirstDelay(0))
				if last := all[i]; last > test.hold.MaxDuration-answerAllowance {
					t.Fatalf("first call after %d ms, too late for a hold of %d ms",
						last/millisecond, test.hold.MaxDuration/millisecond)
				}
			}
			if peak := peakCalls(all, second); float64(peak) > 1.3*test.hold.CallRate+5 {
				t.Errorf("%d calls in one second, the rate is %g per second", peak, test.hold.CallRate)
			}
		})
	}
	var tooShort *HoldTooShortError
	err := ReadinessHold{100, 3 * second}.Check(300)
	if !errors.As(err, &tooShort) ||
		err.Error() != "a hold of 3000 ms is too short: 300 routers need 3000 ms for their calls at 100 per second, "+
			"and 500 ms for the answer" {
		t.Errorf("error %v of type %T, want a *HoldTooShortError", err, err)
	}
	progress := NewProgress(0, RateWindow, ReadinessHold{100, 4 * second})
	progress.ListReceived()
	if progress.Ready(3*second) || !progress.Ready(4*second) {
		t.Error("ready before the end of the hold, or not ready at its end")
	}
	if progress.ServiceReached(second); !progress.Ready(second) {
		t.Error("not ready although the service has answered")
	}
}

// A router that has a list serves the clients that come to it while its readiness is held. So whatever the spread of
// the first calls, it calls the service, also once more if it was refused, by the time at which a change after its
// start counts as known.
func TestHeldStartCallsBeforeTheNotificationDeadline(t *testing.T) {
	for _, hold := range []ReadinessHold{{0.2, 16 * second}, {10, 31 * second}, {1, 60 * second}, {100, 5 * second}} {
		for _, routers := range []int{1, 3, 30, 300} {
			for seed := range uint64(200) {
				schedule := NewCallSchedule(seed, routers, hold)
				schedule.ListReceived()
				first := schedule.FirstDelay(0)
				if first > maxNotificationTime-answerAllowance {
					t.Fatalf("%v, %d routers, seed %d: first call after %d ms", hold, routers, seed, first/millisecond)
				}
				if retry := first + schedule.CallEnded(first, Refused); retry > maxNotificationTime-answerAllowance {
					t.Fatalf("%v, %d routers, seed %d: called after %d ms and again only after %d ms",
						hold, routers, seed, first/millisecond, retry/millisecond)
				}
			}
		}
	}
}
