// Package clocktest provides a clock for tests. Its wall clock can be set, as an operator or a time service
// does it, and its monotonic time can be advanced by hand.
package clocktest

import (
	"sync"
	"time"

	"tealpath/internal/clock"
)

// Clock is a clock.Clock for tests.
type Clock struct {
	mu      sync.Mutex
	running bool
	begin   time.Time
	zero    int64         // reading of the axis at begin
	ahead   time.Duration // advanced by hand
	stepped time.Duration // of the wall clock against the axis
	each    time.Duration // the wall clock steps forth and back by so much between readings
}

var _ clock.Clock = (*Clock)(nil)

// New makes a clock that stands still at a Unix time, ns, until it is advanced.
func New(at int64) *Clock { return &Clock{zero: at} }

// Running makes a clock that runs with the system's monotonic clock. Its axis begins at the time of a wall
// clock that differs from the system's by off.
func Running(off time.Duration) *Clock {
	begin := time.Now()
	return &Clock{running: true, begin: begin, zero: begin.Add(off).UnixNano()}
}

// Now implements clock.Clock.
func (c *Clock) Now() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now()
}

func (c *Clock) now() int64 {
	now := c.zero + int64(c.ahead)
	if c.running {
		now += int64(time.Since(c.begin))
	}
	return now
}

// Wall implements clock.Clock.
func (c *Clock) Wall() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stepped += c.each
	c.each = -c.each
	return c.now() + int64(c.stepped)
}

// Advance moves the axis forward, and the wall clock with it.
func (c *Clock) Advance(by time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ahead += by
}

// Step sets the wall clock forward or, by a negative span, back. The axis does not move.
func (c *Clock) Step(by time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stepped += by
}

// Swing has the wall clock step by so much, forth and back in turn, before each reading from now on.
func (c *Clock) Swing(by time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.each = by
}
