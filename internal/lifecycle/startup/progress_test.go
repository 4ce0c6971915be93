package startup

import (
	"fmt"
	"testing"
)

func TestPhases(t *testing.T) {
	progress := NewProgress(0, RateWindow, ReadinessHold{})
	step := func(now int64, want Phase, wantChanged bool) {
		t.Helper()
		if phase, changed := progress.Update(now); phase != want || changed != wantChanged {
			t.Errorf("at %d ms: phase %v, changed %v; want %v, %v", now/millisecond, phase, changed, want, wantChanged)
		}
	}
	step(0, NoList, false)
	progress.ServiceReached(second)
	step(second, NoList, false)
	if progress.Ready(21 * second) {
		t.Error("ready without an endpoint list")
	}
	progress.ListReceived()
	step(2*second, WarmingUp, true)
	step(9*second, WarmingUp, false)
	step(10*second, Warm, true)
	step(9*second, Warm, false)

	progress = NewProgress(0, RateWindow, ReadinessHold{})
	progress.ListReceived()
	step(0, ListKnown, true)
	step(20*second, ListKnown, false)
	progress.ServiceReached(21 * second)
	step(21*second, Warm, true)
	if !progress.Ready(21 * second) {
		t.Error("not ready with an endpoint list after the service has answered")
	}
}

// docs/oncall.md explains log lines by the names of phases and results, so a changed name would leave operators
// without help.
func TestNames(t *testing.T) {
	got := fmt.Sprint(NoList, ListKnown, WarmingUp, Warm, Phase(9), Accept, Unconfirmed, Stale, Verdict(9),
		Refused, Unreachable, Unanswered, Disconnected, Silent, Truncated, LocalError, CallResult(9))
	const want = "alone listed warming whole phase 9 accept unconfirmed stale verdict 9 " +
		"refused unreached unanswered broke silent cut not called result 9"
	if got != want {
		t.Errorf("names %q, want %q", got, want)
	}
}
