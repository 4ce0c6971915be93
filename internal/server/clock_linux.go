package server

import "golang.org/x/sys/unix"

// bootTime is a clock in ns that never goes back, is not set by anybody and goes on while the machine is
// suspended: Go's own stands still then, and an owner would wake with a lease that is long over.
func bootTime() int64 {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // every kernel since 2.6.39 has it
	}
	return t.Nano()
}
