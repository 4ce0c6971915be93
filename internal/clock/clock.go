// Package clock provides monotonic time and wall clock time. Durations (deadlines, windows, backoff, leases, ages
// since an arrival) are measured in monotonic time, which does not change when the wall clock is set. Wall clock
// readings are used only for timestamps that are exchanged with other machines. docs/time.md describes how timestamps
// of other machines are converted to monotonic time.
//
// All times are int64 nanoseconds.
package clock

import (
	"math"
	"time"
)

// Clock is a source of time. Implementations are safe for concurrent use.
type Clock interface {
	// Now returns the monotonic time in ns. When the clock is created, the monotonic time equals the wall clock's Unix
	// time; the two differ once the wall clock has been set. The monotonic time never goes back.
	Now() int64

	// Wall returns the wall clock's Unix time in ns. The wall clock may be set forward or back between two readings,
	// so that their difference must not be used as a duration.
	Wall() int64
}

// system is a Clock that reads the clocks of the operating system.
type system struct {
	begin    time.Time // creation time of this clock, with a monotonic reading
	beginNow int64     // value of Now at begin: the Unix time of begin, ns
}

// processClock is shared by all packages of the process, so that times read in one can be compared with those read in
// another.
var processClock = newSystem(time.Now())

func newSystem(begin time.Time) *system { return &system{begin: begin, beginNow: begin.UnixNano()} }

// System returns the clock of the operating system. It is the same for the whole process and is created when the
// process starts. Like Go's monotonic time, its monotonic time stands still while the machine is suspended.
func System() Clock { return processClock }

// Now implements Clock.
func (s *system) Now() int64 { return s.beginNow + int64(time.Since(s.begin)) }

// Wall implements Clock. It reads the wall clock at each call.
func (s *system) Wall() int64 { return time.Now().UnixNano() }

// Until returns the duration until a monotonic time of the clock. It is negative if that time has passed.
func Until(c Clock, at int64) time.Duration { return time.Duration(at - c.Now()) }

// FromUnixMilli converts a Unix time in ms, the unit of the protocols, to ns. If the result does not fit into an
// int64, it returns the largest or smallest int64, so that a time in the far future never becomes one in the past.
func FromUnixMilli(ms int64) int64 {
	const nanoseconds = int64(time.Millisecond)
	switch {
	case ms > math.MaxInt64/nanoseconds:
		return math.MaxInt64
	case ms < math.MinInt64/nanoseconds:
		return math.MinInt64
	}
	return ms * nanoseconds
}
