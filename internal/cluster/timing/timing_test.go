package timing

import "testing"

func TestHappened(t *testing.T) {
	for at, want := range map[int64]bool{Never: false, 0: true, 1: true} {
		if got := Happened(at); got != want {
			t.Errorf("Happened(%d) = %v", at, got)
		}
	}
}

func TestMillisecondsCutsOff(t *testing.T) {
	for nanoseconds, want := range map[int64]int64{0: 0, 999_999: 0, 1_000_000: 1, 2_999_999: 2, -1_500_000: -1} {
		if got := Milliseconds(nanoseconds); got != want {
			t.Errorf("Milliseconds(%d) = %d, not %d", nanoseconds, got, want)
		}
	}
}

// A holder that trusts its own clock stops before any voter's lease ends, also where the one is slow and the
// other fast.
func TestHolderStopsBeforeTheLeaseOfAnyVoter(t *testing.T) {
	const lease = int64(1_500_000_000)
	for _, drift := range []float64{0, 0.001, 0.01, 0.1} {
		held := float64(HoldDuration(lease, drift)) / (1 - drift) // real time, by a slow clock
		granted := float64(lease) / (1 + drift)                   // by a fast one
		if held > granted+1 {
			t.Errorf("drift %v: held for %.0f ns, granted for %.0f", drift, held, granted)
		}
		silent := LongestLease(lease, drift) / (1 + drift)
		if slowest := float64(lease) / (1 - drift); silent < slowest-1 {
			t.Errorf("drift %v: silent for %.0f ns, granted for up to %.0f", drift, silent, slowest)
		}
	}
}
