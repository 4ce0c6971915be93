package downstream

import (
	"net"
	"sync"
	"time"

	"tealpath/internal/downstream/poller"
)

const (
	// minBlockedRead is how long a read takes at least that found nothing to read and waited, ns.
	minBlockedRead = int64(time.Millisecond)

	// minReaderAbsence is for how long a reader has not read from its connection before it checks, ahead of
	// the next read, whether something waits there, ns. On a busy core a read may take long too, so its
	// duration does not tell.
	minReaderAbsence = int64(5 * time.Millisecond)

	// maxHeartbeatInterval is after how long without a heartbeat the process is taken to have been paused, ns.
	maxHeartbeatInterval = int64(maxMaintenanceInterval + 50*time.Millisecond)

	// maxCatchUp is how long a process takes at most, after a pause, to read all that came meanwhile, ns.
	maxCatchUp = int64(20 * time.Millisecond)
)

// heartbeat detects pauses of the process, in which it got no processor time. Its owner calls record in short
// intervals.
type heartbeat struct {
	mu         sync.Mutex
	last       int64 // guarded by mu; when record was called last
	pauseStart int64 // guarded by mu; the last heartbeat before the last pause
	pauseEnd   int64 // guarded by mu; the first heartbeat after it; 0: there was none
}

// record notes that the process runs.
func (h *heartbeat) record(now int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.last > 0 && now-h.last > maxHeartbeatInterval {
		h.pauseStart, h.pauseEnd = h.last, now
	}
	h.last = now
}

// earliestArrival returns the earliest time at which something can have come that wakes a goroutine now:
// that is now, unless the process was paused.
func (h *heartbeat) earliestArrival(now int64) int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case h.last > 0 && now-h.last > maxHeartbeatInterval:
		return h.last
	case h.pauseEnd > 0 && now-h.pauseEnd < maxCatchUp:
		return h.pauseStart
	}
	return now
}

// arrivalReader reads from a connection and keeps the earliest time at which the data of the last read can
// have come. Only the connection's reader uses it.
type arrivalReader struct {
	net.Conn
	server     *Server
	earliest   int64  // ns
	emptySince int64  // when it was last known that no unread data waits on the connection, ns
	segments   uint32 // received by emptySince
}

// begin sets since when unread data may wait on the connection, and how many segments had come by then.
func (a *arrivalReader) begin(since int64, segments uint32) {
	a.emptySince, a.segments = since, segments
}

// Read implements io.Reader.
func (a *arrivalReader) Read(buffer []byte) (int, error) {
	called := a.server.now()
	waiting := called-a.emptySince > minReaderAbsence && a.server.hasUnread(a.Conn)
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
	case known && uint16(stats.Segments-a.segments) == 1: // a suspended connection keeps 16 bits of the count
		a.earliest = returned - stats.SinceLastData
	case blocked:
		a.earliest = max(called, a.server.heartbeat.earliestArrival(returned))
	default:
		a.earliest = a.emptySince
	}
	if count < len(buffer) {
		a.emptySince, a.segments = returned, stats.Segments
	} else {
		a.emptySince = a.earliest // what is left came behind it
	}
	return count, err
}

// earliestArrivalOn returns the earliest time at which data can have come on a connection that was just
// accepted, ns. waitingSince is the earliest time at which it can have been established, for where the
// kernel does not tell.
func (s *Server) earliestArrivalOn(conn net.Conn, waitingSince time.Time) int64 {
	if stats, known := poller.ReadTCPStats(conn); known {
		return s.now() - stats.SinceEstablished
	}
	return s.now() - int64(time.Since(waitingSince))
}
