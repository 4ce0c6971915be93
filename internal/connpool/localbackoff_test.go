package connpool

import (
	"testing"
)

// While every dial fails because of an error on this machine, few dials are made. The time between two of them is at
// least the first delay of the backoff and at most the longest one.
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
			t.Errorf("dial %d: the backoff begins: %v, want %v", len(dials), begins, len(dials) == 1)
		}
		if backoff.DialFailed(now) || backoff.DialFailed(now+millisecond) {
			t.Error("a dial that fails during the delay begins another backoff")
		}
	}
	if len(dials) < 35 || len(dials) > 45 {
		t.Errorf("%d dials in 4 s, want 35 to 45: %v", len(dials), dials)
	}
	for i := 1; i < len(dials); i++ {
		gap := dials[i] - dials[i-1]
		if gap < connectTimeout/firstDelayDivisor || gap > connectTimeout/maxDelayDivisor {
			t.Errorf("dials %d ms apart, want %d to %d ms", gap/millisecond,
				connectTimeout/firstDelayDivisor/millisecond, connectTimeout/maxDelayDivisor/millisecond)
		}
	}
	if !backoff.End() || backoff.End() || backoff.Active(0) {
		t.Error("the backoff does not end with the first dial that succeeds")
	}
	if !backoff.DialFailed(5*second) || backoff.until != 5*second+connectTimeout/firstDelayDivisor {
		t.Error("the second backoff does not begin with the first delay")
	}
	if tiny := NewLocalBackoff(0); !tiny.DialFailed(0) || !tiny.Active(0) {
		t.Error("with a connect timeout of 0 there is no delay after a failed dial")
	}
}
