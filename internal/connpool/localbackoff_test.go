package connpool

import (
	"testing"
)

// All dials of a shortage together: few, ever further apart, and none later than one span after it is over.
func TestLocalBackoff(t *testing.T) {
	const within = 400 * millisecond
	s := NewLocalBackoff(within)
	var dials []int64
	for now := int64(0); now < 4*second; now += millisecond {
		if s.Active(now) {
			continue
		}
		dials = append(dials, now)
		if begins := s.DialFailed(now); begins != (len(dials) == 1) {
			t.Errorf("dial %d: begins %v", len(dials), begins)
		}
		if s.DialFailed(now) || s.DialFailed(now+millisecond) {
			t.Error("what fails together counts more than once")
		}
	}
	if len(dials) < 35 || len(dials) > 45 {
		t.Errorf("%d dials in 4 s: %v", len(dials), dials)
	}
	for i := 1; i < len(dials); i++ {
		if gap := dials[i] - dials[i-1]; gap < within/firstDelayDivisor || gap > within/maxDelayDivisor {
			t.Errorf("dials %d ms apart", gap/millisecond)
		}
	}
	if !s.DialSucceeded() || s.DialSucceeded() || s.Active(0) {
		t.Error("it does not end once a dial gets through")
	}
	if !s.DialFailed(5*second) || s.until != 5*second+within/firstDelayDivisor {
		t.Error("the next one does not begin as the first did")
	}
	if tiny := NewLocalBackoff(0); !tiny.DialFailed(0) || !tiny.Active(0) {
		t.Error("with no time at all it dials in a loop")
	}
}
