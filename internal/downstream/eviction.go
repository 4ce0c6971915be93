package downstream

import (
	"tealpath/internal/downstream/idle"
	"tealpath/internal/neterr"
	"time"
)

const (
	// maxEvictionCandidates is how many connections are looked at for one that can be closed for a new one.
	maxEvictionCandidates = 8

	// requestGracePeriod is for how long a request may take to come before its connection may be closed for
	// a new one.
	requestGracePeriod = 300 * time.Millisecond
)

// ensureCapacity closes a connection that nobody needs, for a new one. Otherwise connections that say
// nothing, or are kept idle for good, would keep out those that ask. It tells whether there may be capacity
// now.
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

// evict closes a connection that nobody needs, unless something has come on it. It tells whether it has
// done so.
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
// unread data: who has sent a request gets a response. What comes from now on is rejected. The connection's
// reader then closes the sending side and lingers: closed at once over unread data, the connection would be
// reset, and the client could lose its last response.
func (c *connection) tryClose() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.draining:
		return true
	case c.phase >= phaseLingering:
		neterr.Close(c.conn) // it has had its time
		return true
	}
	hasUnread := c.server.hasUnread(c.conn)
	if hasUnread {
		c.reading = true // as its reader will find soon; in its old state it would be the candidate again and again
		c.updateTableState()
	}
	if hasUnread || !c.quiescent() {
		return false
	}
	c.draining = true
	setReadDeadline(c.conn, time.Now())
	return true
}
