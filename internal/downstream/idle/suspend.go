package idle

import "time"

const (
	// suspendDelay is the time, in ns, after which an idle connection is suspended.
	suspendDelay = int64(time.Second)

	// suspendDelayUnderPressure replaces suspendDelay while other connections need the memory. It is longer
	// than the pauses between the requests of an active client. If the client's connection were suspended
	// during such a pause, its next request would wait behind all other connections to be resumed.
	suspendDelayUnderPressure = int64(300 * time.Millisecond)

	// bytesPerActiveConnection is the memory, in bytes, of a connection that is not suspended: stacks, buffers and a
	// small request.
	bytesPerActiveConnection = 24 << 10

	// activeMemoryShare is the share of the memory for clients that active connections may use, from 0 to 1.
	activeMemoryShare = 0.5

	// minActiveConnections is the number of connections that may be active at the same time however little memory the
	// process has.
	minActiveConnections = 64
)

// MaxResumeDelayMS is the maximum time, in ms, that a suspended connection with received data waits for the number
// of active connections to fall below MaxActiveConnections. After that it is resumed anyway, because busy
// connections could otherwise delay it forever.
const MaxResumeDelayMS = 20

// SuspendDelay returns the time, in ns, after which an idle connection is suspended. waiting is the number of
// suspended connections that wait to be resumed. active is the number of active connections, and maxActive the number
// that it should not exceed.
func SuspendDelay(waiting, active, maxActive int) int64 {
	if waiting > 0 || active > maxActive {
		return suspendDelayUnderPressure
	}
	return suspendDelay
}

// MaxActiveConnections returns how many connections may hold goroutines and buffers at once if memoryBytes is the
// memory for clients. All suspended connections may receive data at the same time: those beyond the limit wait to be
// resumed, and their data stays in the kernel's buffers.
func MaxActiveConnections(memoryBytes int64) int {
	return max(minActiveConnections, int(activeMemoryShare*float64(memoryBytes)/bytesPerActiveConnection))
}
