package clocktest

import (
	"testing"
	"time"
)

func TestClock(t *testing.T) {
	c := New(1e18)
	c.Step(-time.Hour)
	c.Advance(time.Second)
	if now, wall := c.Now(), c.Wall(); now != 1e18+1e9 || wall != now-int64(time.Hour) {
		t.Errorf("Now %d, Wall %d, want a second after 1e18, and an hour before Now", now, wall)
	}
	c.StepEachReading(time.Minute)
	if first, second := c.Wall(), c.Wall(); first-second != int64(time.Minute) {
		t.Errorf("the wall clock swung by %d ns, want a minute", first-second)
	}
	if now := c.Now(); now != 1e18+1e9 {
		t.Errorf("Now %d after the swings, want it unchanged", now)
	}
	running := Running(-time.Hour)
	before := running.Now()
	if lag := time.Now().UnixNano() - before; lag < int64(59*time.Minute) || lag > int64(61*time.Minute) {
		t.Errorf("the clock is %d ns behind the system's, want an hour", lag)
	}
	running.Step(2 * time.Hour)
	time.Sleep(time.Millisecond)
	if running.Now()-before < int64(time.Millisecond) || running.Now()-before > int64(time.Minute) {
		t.Errorf("Now went from %d to %d, want 1 ms to 1 min later", before, running.Now())
	}
}
