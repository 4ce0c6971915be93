// Package startup decides how a router starts among hundreds that start in the same second: when it calls the
// discovery service and when it retries, which endpoint lists it puts in force, and how far its start has come.
// It does no input or output, reads no clock and starts no goroutine; times come in as arguments, random
// numbers from a seed. docs/coldstart.md has the arithmetic and the options.
//
// All instants are ns on the caller's monotonic axis, all durations are ns, all rates are a second.
package startup

const (
	second      = int64(1e9)
	millisecond = int64(1e6)
)
