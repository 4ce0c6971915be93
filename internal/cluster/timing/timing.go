// Package timing has what the packages of a cluster share about instants and lengths of time: nanoseconds of
// a monotonic clock that reads 0 or more, and whose rate may be off by a known drift.
package timing

import "time"

// Never is the instant of what has not happened.
const Never = int64(-1)

// Happened reports whether an instant is one at which something happened, and not Never.
func Happened(at int64) bool { return at >= 0 }

// Milliseconds converts a length of time in ns, cutting off what is under a millisecond.
func Milliseconds(nanoseconds int64) int64 { return time.Duration(nanoseconds).Milliseconds() }

// HoldDuration is for how long a lease holder may act after it sent the renewal that a quorum accepted, by
// its own clock, ns. leaseDuration is for how long the voters count it in, by theirs. It is shorter than the
// lease by so much that the lease of no voter ends before, as long as the rates of both clocks are off by a
// share of maxDrift at most (docs/duties.md has the proof).
func HoldDuration(leaseDuration int64, maxDrift float64) int64 {
	return int64(float64(leaseDuration) * (1 - maxDrift) / (1 + maxDrift))
}

// LongestLease is how long a lease of leaseDuration by a slow clock may last by a fast one, ns, not rounded.
// A voter that has restarted grants nothing for so long, because it may have granted a lease and forgotten
// it.
func LongestLease(leaseDuration int64, maxDrift float64) float64 {
	return float64(leaseDuration) * (1 + maxDrift) / (1 - maxDrift)
}
