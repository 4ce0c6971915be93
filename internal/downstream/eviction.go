package downstream

import (
	"time"

	"tealpath/internal/downstream/idle"
	"tealpath/internal/neterr"
)

const (
	// maxEvictionCandidates is how many connections are tried, at most, to evict one for a new one.
	maxEvictionCandidates = 8

	// requestGracePeriod is for how long a request may take to come before its connection may be closed for
	// a new one.
	requestGracePeriod = 300 * time.Millisecond
)

// ensureCapacity evicts an unused connection if the connections are at their limit, and tells whether there may
// be capacity now. Without it connections that never send a request, or stay idle, would keep out clients that
// have one.
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

// evict closes an unused connection, unless data has come on it. It tells whether it has done so.
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

// tryClose begins the close of a connection, unless it has a request in flight, an unwritten response or
// unread data: each request that was sent gets a response. Requests that come from now on are rejected. The
// connection's reader then closes the sending side and lingers: closed at once with unread data, the connection
// would be reset, and the client could lose its last response.
func (c *connection) tryClose() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.draining:
		return true
	case c.phase >= phaseLingering:
		neterr.Close(c.conn) // it lingers: its last response is written
		return true
	}
	hasUnread := c.server.hasUnread(c.conn)
	if hasUnread {
		c.reading = true // as its reader will do soon; in its old state it would be the candidate again
		c.updateTableState()
	}
	if hasUnread || !c.quiescent() {
		return false
	}
	c.draining = true
	setReadDeadline(c.conn, time.Now())
	return true
}
