// Package startup decides how a router starts among hundreds that start in the same second: when it calls the
// discovery service and when it retries, which endpoint lists it accepts, and which phase its startup has reached.
// It does no I/O, reads no clock and starts no goroutine: times are passed as arguments, and random numbers are
// derived from a seed. docs/coldstart.md has the calculations and the alternatives.
//
// All times are ns of the caller's monotonic clock, all durations are in ns, and all rates are per second.
package startup

const (
	second      = int64(1e9)
	millisecond = int64(1e6)
)
