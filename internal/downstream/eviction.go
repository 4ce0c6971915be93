package downstream

import (
	"time"

	"tealpath/internal/downstream/idle"
	"tealpath/internal/neterr"
)

const (
	// maxEvictionCandidates is how many connections are tried for eviction, at most, to make room for one new
	// connection.
	maxEvictionCandidates = 8

	// requestGracePeriod is how long a request may take to arrive before its connection may be closed to make room for
	// a new one.
	requestGracePeriod = 300 * time.Millisecond
)

// ensureCapacity evicts an unused connection if the connection limit is reached, and reports whether a slot
// may be free now. Without it, connections that never send a request or stay idle would keep out clients that
// have requests.
func (s *Server) ensureCapacity() bool {
	s.mu.Lock()
	if !s.atLimit {
		s.atLimit = true
		s.emit(ConnectionLimitReached{Limit: s.config.MaxConnections})
	}
	s.mu.Unlock()
	for range maxEvictionCandidates {
		id, hasCapacity := s.idle.evictionCandidate()
		if hasCapacity {
			return true
		}
		if id == idle.None {
			return false
		}
		s.evict(id)
	}
	return false
}

// evict closes a connection, or starts to close it, and returns true. If the connection has a request in flight, an
// unwritten response or unread data, evict leaves it open and returns false.
func (s *Server) evict(id idle.ID) bool {
	active, evicted := s.idle.evictSuspended(id)
	if active == nil {
		return evicted
	}
	if !active.tryClose() {
		return false
	}
	s.unregister(active)
	return true
}

// tryClose starts to close a connection, unless it has a request in flight, an unwritten response or unread
// data, because each request that was sent must get a response. Requests that arrive from now on are rejected.
// The connection's reader then closes the sending side and lingers. If the connection were closed at once with
// unread data, it would be reset, and the client could lose its last response.
func (c *connection) tryClose() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.draining:
		return true
	case c.phase >= phaseLingering:
		neterr.Close(c.conn) // a lingering connection has written its last response
		return true
	}
	hasUnread := c.server.hasUnread(c.conn)
	if hasUnread {
		// Set here because the reader sets it only later: until then the table could return the same candidate again.
		c.reading = true
		c.updateTableState()
	}
	if hasUnread || !c.quiescent() {
		return false
	}
	c.draining = true
	setReadDeadline(c.conn, time.Now())
	return true
}
