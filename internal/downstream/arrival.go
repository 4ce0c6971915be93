package downstream

import (
	"net"
	"sync"
	"time"

	"tealpath/internal/downstream/poller"
)

const (
	// minBlockedRead is the minimum duration, in ns, of a read or wait that is taken to have blocked: its data arrived
	// only after it had begun.
	minBlockedRead = int64(time.Millisecond)

	// minEmptyAgeForPeek is an age in ns. If a connection was last known to have no unread data longer ago than that,
	// its reader checks for unread data before it reads. How long the read takes does not show whether the data
	// arrived only during the read, since on a busy core any read may take long.
	minEmptyAgeForPeek = int64(5 * time.Millisecond)

	// maxHeartbeatInterval is the time without a heartbeat, in ns, after which the process is considered to
	// have been paused.
	maxHeartbeatInterval = int64(maxMaintenanceInterval + 50*time.Millisecond)

	// maxCatchUpTime is the maximum time, in ns, that a process needs after a pause to read everything that
	// arrived during it.
	maxCatchUpTime = int64(20 * time.Millisecond)
)

// heartbeat detects pauses of the process, during which it got no processor time. A pause is noticed only if record is
// called at intervals well below maxHeartbeatInterval.
type heartbeat struct {
	mu         sync.Mutex
	last       int64 // guarded by mu; time of the last heartbeat, ns; 0: none yet
	pauseStart int64 // guarded by mu; time of the last heartbeat before the most recent pause, ns
	pauseEnd   int64 // guarded by mu; time of the first heartbeat after that pause, ns; 0: no pause yet
}

// record notes that the process is running at the time now, in ns. If the last heartbeat is longer ago than
// maxHeartbeatInterval, the time in between counts as a pause.
func (h *heartbeat) record(now int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.last > 0 && now-h.last > maxHeartbeatInterval {
		h.pauseStart, h.pauseEnd = h.last, now
	}
	h.last = now
}

// earliestArrival returns the earliest time, in ns, at which data can have arrived if a goroutine that waited
// for it wakes up now. That is now, unless the process was paused.
func (h *heartbeat) earliestArrival(now int64) int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case h.last > 0 && now-h.last > maxHeartbeatInterval:
		return h.last
	case h.pauseEnd > 0 && now-h.pauseEnd < maxCatchUpTime:
		return h.pauseStart
	}
	return now
}

// arrivalReader reads from a connection and tracks the earliest time at which the data of the last read can
// have arrived. It is used only by the connection's reader.
type arrivalReader struct {
	net.Conn
	server     *Server
	earliest   int64  // earliest time at which the data of the last read can have arrived, ns
	emptySince int64  // last time at which the connection was known to have no unread data, ns
	segments   uint32 // TCP segments with data that were received until emptySince
}

// begin sets the time since which unread data may wait on the connection, and the number of segments received
// by then.
func (a *arrivalReader) begin(since int64, segments uint32) {
	a.emptySince, a.segments = since, segments
}

// Read implements io.Reader, and sets earliest if it returns data.
func (a *arrivalReader) Read(buffer []byte) (int, error) {
	called := a.server.now()
	waiting := called-a.emptySince > minEmptyAgeForPeek && a.server.hasUnread(a.Conn)
	count, err := a.Conn.Read(buffer)
	returned := a.server.now()
	blocked := !waiting && returned-called >= minBlockedRead
	if count == 0 {
		if blocked {
			a.emptySince = called
		}
		return count, err
	}
	stats, known := poller.ReadTCPStats(a.Conn)
	switch {
	case known && uint16(stats.Segments-a.segments) == 1: // slot.segments keeps only 16 bits of the count
		a.earliest = returned - stats.SinceLastData
	case blocked:
		a.earliest = max(called, a.server.heartbeat.earliestArrival(returned))
	default:
		a.earliest = a.emptySince
	}
	if count < len(buffer) {
		a.emptySince, a.segments = returned, stats.Segments
	} else {
		a.emptySince = a.earliest // the data left in the socket arrived after earliest
	}
	return count, err
}

// earliestArrivalOn returns the earliest time, in ns, at which data can have arrived on a connection that was
// just accepted. waitingSince is the earliest time at which the connection can have been established. It is
// used if the kernel does not report that time.
func (s *Server) earliestArrivalOn(conn net.Conn, waitingSince time.Time) int64 {
	if stats, known := poller.ReadTCPStats(conn); known {
		return s.now() - stats.SinceEstablished
	}
	return s.now() - int64(time.Since(waitingSince))
}
