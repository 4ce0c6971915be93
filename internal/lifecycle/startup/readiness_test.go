package startup

import (
	"errors"
	"fmt"
	"testing"
)

// With a hold the first calls of all routers come at the operator's rate, each early enough to be answered before
// the hold ends.
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
				t.Fatal(err)
			}
			if !test.fits || test.hold.CallRate == 0 {
				return
			}
			var all []int64
			for i := range max(1, test.routers) {
				all = append(all, NewCallSchedule(uint64(i), test.routers, test.hold).FirstDelay())
				if last := all[i]; last > test.hold.MaxDuration-answerAllowance {
					t.Fatalf("called after %d ms of a hold of %d", last/millisecond, test.hold.MaxDuration/millisecond)
				}
			}
			if peak := peakCalls(all, second); float64(peak) > 1.3*test.hold.CallRate+5 {
				t.Errorf("%d calls in a second at a rate of %g", peak, test.hold.CallRate)
			}
		})
	}
	var tooShort *HoldTooShortError
	err := ReadinessHold{100, 3 * second}.Check(300)
	if !errors.As(err, &tooShort) ||
		err.Error() != "300 routers call for 3000 ms at 100 a second and 500 ms are for the answer: hold is 3000 ms" {
		t.Errorf("%T: %v", err, err)
	}
	progress := NewProgress(0, RateWindow, ReadinessHold{100, 4 * second})
	progress.ListReceived()
	if progress.Ready(3*second) || !progress.Ready(4*second) {
		t.Error("not ready exactly from the end of the hold")
	}
	if progress.ServiceReached(second); !progress.Ready(second) {
		t.Error("not ready though the service has answered")
	}
}
