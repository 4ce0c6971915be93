// Package clocktest provides a clock for tests. Tests can set its wall clock, as an operator or a time service would,
// and advance its monotonic time.
package clocktest

import (
	"sync"
	"time"

	"tealpath/internal/clock"
)

// Clock implements clock.Clock with times that a test controls.
type Clock struct {
	mu         sync.Mutex
	running    bool
	begin      time.Time
	beginNow   int64         // value of Now when the clock was created, in ns
	advanced   time.Duration // total time added by calls of Advance
	wallOffset time.Duration // how far the wall clock is ahead of monotonic time; negative: behind
	nextSwing  time.Duration // change of wallOffset before the next call of Wall; its sign alternates; 0: no change
}

var _ clock.Clock = (*Clock)(nil)

// New returns a clock that stands still until a test changes it. Its monotonic time and its wall clock begin at the
// Unix time at, in ns.
func New(at int64) *Clock { return &Clock{beginNow: at} }

// Running returns a clock that runs with the system's monotonic clock. Its wall clock is ahead of the system's by
// offset, and its monotonic time begins at the time of its wall clock.
func Running(offset time.Duration) *Clock {
	begin := time.Now()
	return &Clock{running: true, begin: begin, beginNow: begin.Add(offset).UnixNano()}
}

// Now implements clock.Clock.
func (c *Clock) Now() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now()
}

func (c *Clock) now() int64 {
	now := c.beginNow + int64(c.advanced)
	if c.running {
		now += int64(time.Since(c.begin))
	}
	return now
}

// Wall implements clock.Clock.
func (c *Clock) Wall() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.wallOffset += c.nextSwing
	c.nextSwing = -c.nextSwing
	return c.now() + int64(c.wallOffset)
}

// Advance moves monotonic time and, by as much, the wall clock forward.
func (c *Clock) Advance(by time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advanced += by
}

// Step sets the wall clock forward or, with a negative duration, back. Monotonic time does not change.
func (c *Clock) Step(by time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.wallOffset += by
}

// StepEachReading makes the wall clock step before each of its readings, alternately forward and back by the given
// duration.
func (c *Clock) StepEachReading(by time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nextSwing = by
}
