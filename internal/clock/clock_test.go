package clock

import (
	"math"
	"testing"
	"time"
)

// Now starts at the wall clock's time at which the clock was created. From then on it follows the monotonic clock, so
// that setting the wall clock does not move it.
func TestSystem(t *testing.T) {
	begin := time.Now()
	c := newSystem(begin)
	now, wall := c.Now(), c.Wall()
	if now < begin.UnixNano() || wall-now > int64(time.Minute) || now-wall > int64(time.Minute) {
		t.Errorf("Now %d, Wall %d, created at %d, want Now within a minute of Wall", now, wall, begin.UnixNano())
	}
	// Simulate a wall clock that was set back by an hour after the clock was created: beginNow is then an hour ahead
	// of it.
	c.beginNow = begin.Add(time.Hour).UnixNano()
	before := c.Now()
	time.Sleep(time.Millisecond)
	if after := c.Now(); after < before+int64(time.Millisecond) || before < c.beginNow || c.Wall() > c.beginNow {
		t.Errorf("Now went from %d to %d in a millisecond, want at least 1 ms and no time before %d; Wall %d, want less",
			before, after, c.beginNow, c.Wall())
	}
	if System() != System() {
		t.Error("System returned two different clocks")
	}
}

func TestUntil(t *testing.T) {
	c := newSystem(time.Now())
	for _, span := range []time.Duration{time.Hour, -time.Hour} {
		if got := Until(c, c.Now()+int64(span)); got > span || got < span-time.Minute {
			t.Errorf("Until returned %v for a time %v from now", got, span)
		}
	}
}

func TestFromUnixMilli(t *testing.T) {
	for _, test := range []struct {
		name     string
		ms, want int64
	}{
		{"zero", 0, 0},
		{"a recent time", 1764576000123, 1764576000123e6},
		{"before 1970", -5, -5e6},
		{"the maximum", math.MaxInt64, math.MaxInt64},
		{"the minimum", math.MinInt64, math.MinInt64},
		{"the largest that fits", math.MaxInt64 / 1_000_000, math.MaxInt64 / 1_000_000 * 1_000_000},
		{"the smallest that does not fit", math.MaxInt64/1_000_000 + 1, math.MaxInt64},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := FromUnixMilli(test.ms); got != test.want {
				t.Errorf("FromUnixMilli(%d) = %d, want %d", test.ms, got, test.want)
			}
		})
	}
}
