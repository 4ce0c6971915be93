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
		t.Errorf("now %d, wall %d", now, wall)
	}
	c.Swing(time.Minute)
	if first, second := c.Wall(), c.Wall(); first-second != int64(time.Minute) {
		t.Errorf("swung by %d", first-second)
	}
	if now := c.Now(); now != 1e18+1e9 {
		t.Errorf("the axis moved to %d", now)
	}
	running := Running(-time.Hour)
	before := running.Now()
	if lag := time.Now().UnixNano() - before; lag < int64(59*time.Minute) || lag > int64(61*time.Minute) {
		t.Errorf("an hour behind: %d", lag)
	}
	running.Step(2 * time.Hour)
	time.Sleep(time.Millisecond)
	if running.Now()-before < int64(time.Millisecond) || running.Now()-before > int64(time.Minute) {
		t.Errorf("it ran from %d to %d", before, running.Now())
	}
}
