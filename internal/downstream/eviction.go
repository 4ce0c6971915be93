package downstream

import (
	"slices"
	"sync"
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
	s.evicted.add(active) // before tryClose, which may end the connection
	if !active.tryClose() {
		s.evicted.remove(active)
		return false
	}
	s.unregister(active)
	s.evicted.closeOldest(s.config.MaxConnections/closingDivisor + 1)
	return true
}

// evictedConnections holds the connections that were evicted while they were active, in the order of their eviction,
// until their descriptors are closed. They have no slot any more, so without a limit on their number a crowd of idle
// clients could take the process over its limit of descriptors.
type evictedConnections struct {
	mu          sync.Mutex
	connections []*connection // guarded by mu
}

// add adds a connection, unless it is there already.
func (e *evictedConnections) add(c *connection) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !slices.Contains(e.connections, c) {
		e.connections = append(e.connections, c)
	}
}

// remove removes a connection whose descriptor is closed, or which was not evicted after all.
func (e *evictedConnections) remove(c *connection) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if at := slices.Index(e.connections, c); at >= 0 {
		e.connections = slices.Delete(e.connections, at, at+1)
	}
}

// closeOldest closes connections beyond a number without waiting until their clients have closed their side: the oldest
// ones of those that have written their last response.
func (e *evictedConnections) closeOldest(limit int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	excess := len(e.connections) - limit
	e.connections = slices.DeleteFunc(e.connections, func(c *connection) bool {
		if excess <= 0 || !c.isLingering() {
			return false
		}
		excess--
		neterr.Close(c.conn)
		return true
	})
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
