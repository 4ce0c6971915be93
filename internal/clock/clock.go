// Package clock gives a process its time. Spans (deadlines, windows, backoff, leases, ages since an arrival)
// are measured on a monotonic axis that no change of the wall clock moves; wall readings are only for what
// other machines wrote down or will read. docs/time.md says how stamps of other machines are placed on the
// axis.
//
// All readings are int64 nanoseconds.
package clock

import (
	"math"
	"time"
)

// Clock is a source of time. Implementations are safe for use by several goroutines.
type Clock interface {
	// Now is the time on the monotonic axis, ns. Its zero is the Unix epoch as the wall clock had it when the
	// axis was made, so that a reading equals the Unix time unless the wall clock is set. It never goes back.
	Now() int64

	// Wall is the wall clock's Unix time, ns. It may step either way between two readings: never subtract two
	// of them to measure a span.
	Wall() int64
}

// system is the clock of the operating system.
type system struct {
	begin time.Time // with a monotonic reading
	zero  int64     // Unix ns of begin: fixed, so that both readings come from one moment
}

// process is one for the whole process: its parts compare each other's readings.
var process = newSystem(time.Now())

func newSystem(begin time.Time) *system { return &system{begin: begin, zero: begin.UnixNano()} }

// System is the clock of the operating system, on one axis for the whole process, made when the process starts.
// As with Go's own monotonic time, the axis stands still while the machine is suspended.
func System() Clock { return process }

// Now implements Clock.
func (s *system) Now() int64 { return s.zero + int64(time.Since(s.begin)) }

// Wall implements Clock.
func (s *system) Wall() int64 { return time.Now().UnixNano() }

// Until is how long it is until a time on a clock's axis; negative once that has passed.
func Until(c Clock, at int64) time.Duration { return time.Duration(at - c.Now()) }

// FromUnixMilli converts a Unix time in ms, as the protocols carry it, to ns. What int64 cannot hold becomes
// the closest value that it can, so that a time in the far future never turns into one in the past.
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
