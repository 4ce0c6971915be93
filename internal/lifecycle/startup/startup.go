// Package startup decides how a router starts among hundreds that start in the same second: when it calls the discovery service and
// when again, which endpoint lists it believes, and how far its start has come. It does no input or output, reads no clock, starts no
// goroutine; time and chance come in. docs/coldstart.md has the arithmetic and the options.
//
// All instants are ns on the caller's monotonic axis, all durations are ns, all rates are a second.
package startup

const (
	second      = int64(1e9)
	millisecond = int64(1e6)
)
