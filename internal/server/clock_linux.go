package server

import "golang.org/x/sys/unix"

// bootTime returns the time since the machine was booted, ns, from CLOCK_BOOTTIME. This clock is monotonic and
// advances while the machine is suspended. Go's monotonic clock does not: by that clock an instance on a resumed
// machine would still hold a lease that expired during the suspension.
func bootTime() int64 {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // impossible: every kernel since 2.6.39 has this clock
	}
	return t.Nano()
}
