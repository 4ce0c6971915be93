//go:build !linux

package server

import "time"

// started is the time from which bootTime counts: the start of this process.
var started = time.Now()

// bootTime returns the time of a monotonic clock, ns. This clock may stop while the machine is suspended, a case that
// leases do not cover on this platform (docs/duties.md).
func bootTime() int64 { return int64(time.Since(started)) }
