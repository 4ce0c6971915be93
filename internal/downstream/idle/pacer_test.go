package idle

import "testing"

func TestRateDropsWhenSaturated(t *testing.T) {
	const cores = 1
	for _, tc := range []struct {
		name string
		rate float64
		new  func() (wait func(now int64, saturated bool) int64)
	}{
		{"accept", acceptRate, func() func(int64, bool) int64 { return NewAcceptPacer(cores).accept.take }},
		{"resume", resumeRate, func() func(int64, bool) int64 { return NewResumePacer(cores).Wait }},
		{"close", closeRate, func() func(int64, bool) int64 { return NewClosePacer(cores).Wait }},
	} {
		for saturated, want := range map[bool]float64{false: tc.rate, true: tc.rate * saturatedFactor} {
			taken := takenPerSecond(tc.new(), saturated)
			if taken < 0.95*want || taken > 1.1*want {
				t.Errorf("%s pacer, saturated %v: %.0f tokens taken in a second, want about %.0f",
					tc.name, saturated, taken, want)
			}
		}
	}
}

// takenPerSecond returns how often wait returns 0 in one second of simulated time. Any other result of wait is the
// time in ns after which it is called again; after a 0 it is called again at once.
func takenPerSecond(wait func(now int64, saturated bool) int64, saturated bool) (taken float64) {
	for now := int64(0); now < second; {
		next := wait(now, saturated)
		if next == 0 {
			taken++
		}
		now += next
	}
	return taken
}

func TestEffectiveCores(t *testing.T) {
	for cores, want := range map[float64]float64{-1: 1, 0: 1, 0.001: minCores, 0.25: 0.25, 8: 8} {
		if got := effectiveCores(cores); got != want {
			t.Errorf("effectiveCores(%v) = %v, want %v", cores, got, want)
		}
	}
}

func TestSuspendDelay(t *testing.T) {
	for _, tc := range []struct {
		waiting, active int
		want            int64
	}{
		{0, 100, suspendDelay},
		{1, 0, suspendDelayUnderPressure},
		{0, 101, suspendDelayUnderPressure},
	} {
		if got := SuspendDelay(tc.waiting, tc.active, 100); got != tc.want {
			t.Errorf("SuspendDelay(%d, %d, 100) = %d ns, want %d ns", tc.waiting, tc.active, got, tc.want)
		}
	}
}

func TestMaxActiveConnections(t *testing.T) {
	for memoryBytes, want := range map[int64]int{0: minActiveConnections, 48 << 20: 1024} {
		if got := MaxActiveConnections(memoryBytes); got != want {
			t.Errorf("MaxActiveConnections(%d) = %d, want %d", memoryBytes, got, want)
		}
	}
}
