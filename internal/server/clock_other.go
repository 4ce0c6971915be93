//go:build !linux

package server

import "time"

var started = time.Now()

// bootTime is a clock in ns that never goes back. A suspended machine is not covered here (docs/duties.md).
func bootTime() int64 { return int64(time.Since(started)) }
