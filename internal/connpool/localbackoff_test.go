package connpool

import (
	"testing"
)

// While this machine can open no connections the dials are few, and never further apart than the longest delay.
func TestLocalBackoff(t *testing.T) {
	const connectTimeout = 400 * millisecond
	backoff := NewLocalBackoff(connectTimeout)
	var dials []int64
	for now := int64(0); now < 4*second; now += millisecond {
		if backoff.Active(now) {
			continue
		}
		dials = append(dials, now)
		if begins := backoff.DialFailed(now); begins != (len(dials) == 1) {
			t.Errorf("dial %d: begins %v", len(dials), begins)
		}
		if backoff.DialFailed(now) || backoff.DialFailed(now+millisecond) {
			t.Error("dials that fail together count more than once")
		}
	}
	if len(dials) < 35 || len(dials) > 45 {
		t.Errorf("%d dials in 4 s: %v", len(dials), dials)
	}
	for i := 1; i < len(dials); i++ {
		gap := dials[i] - dials[i-1]
		if gap < connectTimeout/firstDelayDivisor || gap > connectTimeout/maxDelayDivisor {
			t.Errorf("dials %d ms apart", gap/millisecond)
		}
	}
	if !backoff.DialSucceeded() || backoff.DialSucceeded() || backoff.Active(0) {
		t.Error("it does not end with a dial that succeeds")
	}
	if !backoff.DialFailed(5*second) || backoff.until != 5*second+connectTimeout/firstDelayDivisor {
		t.Error("the next one does not begin as the first did")
	}
	if tiny := NewLocalBackoff(0); !tiny.DialFailed(0) || !tiny.Active(0) {
		t.Error("without a connect timeout it dials in a loop")
	}
}
