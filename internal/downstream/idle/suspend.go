package idle

import "time"

const (
	// suspendDelay is after how many ns an idle connection is suspended.
	suspendDelay = int64(time.Second)

	// suspendDelayUnderPressure is the same while other connections need the memory. It is longer than the
	// pauses between the requests of an active client: if its connection were suspended in between, its next
	// request would have to wait behind all others that are to be resumed.
	suspendDelayUnderPressure = int64(300 * time.Millisecond)

	// bytesPerActive is the memory of a connection that is not suspended: stacks, buffers, a small request.
	bytesPerActive = 24 << 10

	// activeMemoryShare is the share of the memory for clients that active connections may take.
	activeMemoryShare = 0.5

	// minActive connections may be active at once, however little memory there is.
	minActive = 64
)

// MaxWakeDelayMS is for how many milliseconds a connection on which something has been received waits until
// fewer than MaxActive are active. Then it is resumed nevertheless, or busy connections could keep it out for
// ever.
const MaxWakeDelayMS = 20

// SuspendDelay returns after how many ns an idle connection is suspended, given how many wait to be resumed and
// how many of maxActive are active.
func SuspendDelay(waiting, active, maxActive int) int64 {
	if waiting > 0 || active > maxActive {
		return suspendDelayUnderPressure
	}
	return suspendDelay
}

// MaxActive returns how many connections may hold goroutines and buffers at once, given the memory for clients
// in bytes. All suspended connections may become active at the same time; those beyond the limit wait, and what
// their clients have sent waits in the kernel.
func MaxActive(memoryBytes int64) int {
	return max(minActive, int(activeMemoryShare*float64(memoryBytes)/bytesPerActive))
}
