package downstream

import (
	"net"
	"sync"
	"time"

	"tealpath/internal/downstream/poller"
)

const (
	// waitedFrom is how long a read takes at the least that found nothing to be read.
	waitedFrom = int64(time.Millisecond)

	// awayFrom is for how long a reader was away from its connection from which it looks whether something waits there: a read may
	// take long on a busy core, too.
	awayFrom = int64(5 * time.Millisecond)

	// stillFrom is how long after one beat the next one is missed: the process has stood still since then.
	stillFrom = int64(janitorLongest + 50*time.Millisecond)

	// wakeMost is how long it may take until all is seen that came while the process stood still.
	wakeMost = int64(20 * time.Millisecond)
)

// heartbeat tells since when the process has stood still, as others beat it in short intervals.
type heartbeat struct {
	mu         sync.Mutex
	last       int64
	stillSince int64 // the last beat before it last stood still
	stillUntil int64
}

// beat notes that the process runs.
func (h *heartbeat) beat(now int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.last > 0 && now-h.last > stillFrom {
		h.stillSince, h.stillUntil = h.last, now
	}
	h.last = now
}

// woken gives the earliest that what wakes somebody now can have come: it is seen at once but where the process stood still.
func (h *heartbeat) woken(now int64) int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case h.last > 0 && now-h.last > stillFrom:
		return h.last
	case h.stillUntil > 0 && now-h.stillUntil < wakeMost:
		return h.stillSince
	}
	return now
}

// arrivals reads from a connection and keeps the earliest that what it gave last can have come. Only its reader uses it.
type arrivals struct {
	net.Conn
	front    *Server
	earliest int64
	drained  int64  // when it was last known that nothing unread waits on the connection
	segments uint32 // that had come then
}

// begin says since when what is unread on the connection may wait, and how many segments had come until then.
func (a *arrivals) begin(since int64, segments uint32) { a.drained, a.segments = since, segments }

// Read reads what has come, or waits for it.
func (a *arrivals) Read(p []byte) (int, error) {
	called := a.front.now()
	there := called-a.drained > awayFrom && a.front.pending(a.Conn)
	n, err := a.Conn.Read(p)
	returned := a.front.now()
	waited := !there && returned-called >= waitedFrom
	if n == 0 {
		if waited {
			a.drained = called
		}
		return n, err
	}
	received, known := poller.ReadTCPStats(a.Conn)
	switch {
	case known && uint16(received.Segments-a.segments) == 1: // parked ones keep so many bits of it
		a.earliest = returned - received.SinceLastData
	case waited:
		a.earliest = max(called, a.front.heart.woken(returned))
	default:
		a.earliest = a.drained
	}
	if n < len(p) {
		a.drained, a.segments = returned, received.Segments
	} else {
		a.drained = a.earliest // what is left came behind it
	}
	return n, err
}

// acceptedSince is the earliest that something can have come on a connection that is just accepted and waited for that since a
// time at most.
func (f *Server) acceptedSince(conn net.Conn, since time.Time) int64 {
	if received, known := poller.ReadTCPStats(conn); known {
		return f.now() - received.SinceEstablished
	}
	return f.now() - int64(time.Since(since))
}
