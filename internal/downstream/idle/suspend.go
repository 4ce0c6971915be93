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

// ResumeDecision says what to do with a suspended connection that has received data.
type ResumeDecision int

const (
	// ResumeLater means that there is no memory for the connection yet.
	ResumeLater ResumeDecision = iota

	// Resume resumes the connection.
	Resume

	// ResumeAndReject resumes the connection only to reject what it has received: there is no memory to serve it, and
	// its client cannot wait any longer.
	ResumeAndReject
)

// ResumeLimits decide when suspended connections are resumed.
type ResumeLimits struct {
	MaxActive     int   // number of active connections below which one is resumed whatever the free memory
	ReservedBytes int64 // free memory that connections beyond MaxActive have to leave
	MaxWait       int64 // longest time that received data may wait for memory, ns
}

// Decide returns what to do with a suspended connection. active is the number of active connections, freeBytes the
// memory that the process may still allocate, and waited the time, in ns, for which the connection's data has waited.
func (l ResumeLimits) Decide(active int, freeBytes, waited int64) ResumeDecision {
	switch {
	case active < l.MaxActive || freeBytes >= l.ReservedBytes+bytesPerActiveConnection:
		return Resume
	case waited < l.MaxWait:
		return ResumeLater
	}
	return ResumeAndReject
}

// SuspendDelay returns the time, in ns, after which an idle connection is suspended. waiting is the number of
// suspended connections that wait to be resumed. active is the number of active connections, and maxActive the number
// that it should not exceed.
func SuspendDelay(waiting, active, maxActive int) int64 {
	if waiting > 0 || active > maxActive {
		return suspendDelayUnderPressure
	}
	return suspendDelay
}

// MaxActiveConnections returns how many connections may hold goroutines and buffers at once, whatever the free memory,
// if memoryBytes is the memory for clients. All suspended connections may receive data at the same time: those beyond
// the limit are resumed only while memory is free, and until then their data stays in the kernel's buffers.
func MaxActiveConnections(memoryBytes int64) int {
	return max(minActiveConnections, int(activeMemoryShare*float64(memoryBytes)/bytesPerActiveConnection))
}
