package timing

import "testing"

func TestHappened(t *testing.T) {
	for at, want := range map[int64]bool{Never: false, 0: true, 1: true} {
		if got := Happened(at); got != want {
			t.Errorf("Happened(%d) = %v, want %v", at, got, want)
		}
	}
}

func TestMillisecondsTruncates(t *testing.T) {
	for nanoseconds, want := range map[int64]int64{0: 0, 999_999: 0, 1_000_000: 1, 2_999_999: 2, -1_500_000: -1} {
		if got := Milliseconds(nanoseconds); got != want {
			t.Errorf("Milliseconds(%d) = %d, want %d", nanoseconds, got, want)
		}
	}
}

// The holder must stop before the lease of a voter ends even if the holder's clock is the slowest allowed and the
// voter's the fastest. The time in which a restarted voter grants nothing must likewise outlast a lease granted by the
// slowest clock.
func TestHolderStopsBeforeAnyVotersLeaseEnds(t *testing.T) {
	const lease = int64(1_500_000_000)
	for _, drift := range []float64{0, 0.001, 0.01, 0.1} {
		held := float64(HoldDuration(lease, drift)) / (1 - drift) // longest real time, ns, for which a holder acts
		granted := float64(lease) / (1 + drift)                   // shortest real time, ns, of a voter's lease
		if held > granted+1 {
			t.Errorf("drift %v: held for %.0f ns, want at most the %.0f ns it is granted for", drift, held, granted)
		}
		silent := LongestLease(lease, drift) / (1 + drift)
		if slowest := float64(lease) / (1 - drift); silent < slowest-1 {
			t.Errorf("drift %v: silent for %.0f ns, want at least the %.0f ns of a lease", drift, silent, slowest)
		}
	}
}
