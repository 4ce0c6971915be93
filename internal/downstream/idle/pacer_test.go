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

// While memory is free, a connection with data must not wait for the number of active ones; without memory its requests
// must be rejected once they have waited for MaxWait.
func TestResumeDecision(t *testing.T) {
	limits := ResumeLimits{MaxActive: 100, ReservedBytes: 1 << 20, MaxWait: 500}
	const enough = 1<<20 + bytesPerActiveConnection
	for _, test := range []struct {
		active       int
		free, waited int64
		want         ResumeDecision
	}{
		{99, 0, 0, Resume},
		{99, -1, 1000, Resume},
		{100, enough, 0, Resume},
		{5000, enough, 1000, Resume},
		{100, enough - 1, 0, ResumeLater},
		{100, enough - 1, 499, ResumeLater},
		{100, enough - 1, 500, ResumeAndReject},
		{100, -1, 500, ResumeAndReject},
	} {
		if got := limits.Decide(test.active, test.free, test.waited); got != test.want {
			t.Errorf("Decide(%d, %d, %d) = %d, want %d", test.active, test.free, test.waited, got, test.want)
		}
	}
}

// Data that has waited for longer than maxPacedWait must not wait for a rate, even on a saturated router.
func TestLongWaitingDataIsNotPaced(t *testing.T) {
	pacer := NewResumePacer(0.1)
	for range 100 {
		pacer.WaitToResume(0, 0, true)
	}
	if wait := pacer.WaitToResume(0, maxPacedWait, true); wait <= 0 {
		t.Errorf("data that has waited for %d ns is not paced, want it paced up to then", maxPacedWait)
	}
	if wait := pacer.WaitToResume(0, maxPacedWait+1, true); wait != 0 {
		t.Errorf("data that has waited for longer has to wait for %d ns more, want 0", wait)
	}
}

func TestMaxActiveConnections(t *testing.T) {
	for memoryBytes, want := range map[int64]int{0: minActiveConnections, 48 << 20: 1024} {
		if got := MaxActiveConnections(memoryBytes); got != want {
			t.Errorf("MaxActiveConnections(%d) = %d, want %d", memoryBytes, got, want)
		}
	}
}
