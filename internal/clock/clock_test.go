package clock

import (
	"math"
	"testing"
	"time"
)

// The axis begins at the wall clock's time and follows the monotonic clock, not the wall clock.
func TestSystem(t *testing.T) {
	begin := time.Now()
	c := newSystem(begin)
	now, wall := c.Now(), c.Wall()
	if now < begin.UnixNano() || wall-now > int64(time.Minute) || now-wall > int64(time.Minute) {
		t.Errorf("now %d, wall %d, begun at %d", now, wall, begin.UnixNano())
	}
	// A wall clock set back by an hour after the start, as time.Now shows it: the zero stays where it was.
	c.zero = begin.Add(time.Hour).UnixNano()
	before := c.Now()
	time.Sleep(time.Millisecond)
	if after := c.Now(); after < before+int64(time.Millisecond) || before < c.zero || c.Wall() > c.zero {
		t.Errorf("from %d to %d over a millisecond, zero %d, wall %d", before, after, c.zero, c.Wall())
	}
	if System() != System() {
		t.Error("two axes in one process")
	}
}

func TestUntil(t *testing.T) {
	c := newSystem(time.Now())
	for _, span := range []time.Duration{time.Hour, -time.Hour} {
		if got := Until(c, c.Now()+int64(span)); got > span || got < span-time.Minute {
			t.Errorf("%v until what is %v away", got, span)
		}
	}
}

func TestFromUnixMilli(t *testing.T) {
	for _, test := range []struct {
		name     string
		ms, want int64
	}{
		{"zero", 0, 0},
		{"usual", 1764576000123, 1764576000123e6},
		{"before 1970", -5, -5e6},
		{"a year far in the future", math.MaxInt64, math.MaxInt64},
		{"far in the past", math.MinInt64, math.MinInt64},
		{"the largest that fits", math.MaxInt64 / 1_000_000, math.MaxInt64 / 1_000_000 * 1_000_000},
		{"one more", math.MaxInt64/1_000_000 + 1, math.MaxInt64},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := FromUnixMilli(test.ms); got != test.want {
				t.Errorf("%d, want %d", got, test.want)
			}
		})
	}
}
