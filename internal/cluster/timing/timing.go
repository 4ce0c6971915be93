// Package timing has the constants and functions for instants and durations that the packages below internal/cluster
// share. Both are in ns of a monotonic clock that reads 0 or more and whose rate may be off by a known drift.
package timing

import "time"

// Never stands for the instant of an event that has not happened.
const Never = int64(-1)

// Happened reports whether at is the instant of an event that has happened, which is any value but Never.
func Happened(at int64) bool { return at >= 0 }

// Milliseconds converts a duration from ns to ms and truncates it toward zero.
func Milliseconds(nanoseconds int64) int64 { return time.Duration(nanoseconds).Milliseconds() }

// HoldDuration returns how long a lease holder may act after it sent a renewal that a quorum accepted, in ns of the
// holder's clock. Each voter honors the lease for leaseDuration on its own clock. The result is shorter than
// leaseDuration, so that the holder stops before any voter's lease ends if the rates of all clocks are off by at
// most the fraction maxDrift (docs/duties.md has the proof).
func HoldDuration(leaseDuration int64, maxDrift float64) int64 {
	return int64(float64(leaseDuration) * (1 - maxDrift) / (1 + maxDrift))
}

// LongestLease returns how many ns pass on the fastest allowed clock while leaseDuration ns pass on the slowest. A
// restarted voter grants nothing for that time, because it no longer knows which leases it granted before.
func LongestLease(leaseDuration int64, maxDrift float64) float64 {
	return float64(leaseDuration) * (1 + maxDrift) / (1 - maxDrift)
}
