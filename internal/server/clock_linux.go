package server

import "golang.org/x/sys/unix"

// bootTime reads CLOCK_BOOTTIME, ns since the machine was booted. It is monotonic and goes on while the machine
// is suspended, unlike Go's monotonic clock, by which a resumed instance would still hold a lease that has
// expired in the meantime.
func bootTime() int64 {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // impossible: every kernel since 2.6.39 has this clock
	}
	return t.Nano()
}
