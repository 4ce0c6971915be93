package downstream

import (
	"maps"
	"slices"

	"tealpath/internal/neterr"
)

// CloseIdle starts to close each connection that has no request in flight, unwritten response or partly received
// request. It closes the listener once its backlog is empty, so that the connections in the backlog are admitted
// first. Further calls close the connections that have become idle since.
func (s *Server) CloseIdle() {
	if !s.draining.Load() && !s.hasBacklog() {
		s.draining.Store(true)
		neterr.Close(s.listener)
	}
	s.mu.Lock()
	connections := slices.Collect(maps.Values(s.connections))
	s.mu.Unlock()
	for _, c := range connections {
		if !c.isLingering() && !c.isReading() { // a partly received request may still become complete
			c.tryClose()
		}
	}
	s.idle.closeAllIdle()
	s.idle.closeFinished()
}

// Flushed reports whether every response is written and no received data is unread. On a busy core, a request
// may still wait to be read, or a connection to be accepted, when the process is about to end.
func (s *Server) Flushed() bool {
	if s.draining.Load() {
		if !s.acceptFinished.Load() {
			return false
		}
	} else if s.hasBacklog() {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.connections {
		if !c.flushed() {
			return false
		}
	}
	return !s.idle.hasUnread()
}

// flushed reports whether every response to the client is written and no data from it remains to be read, or none will
// be read any more.
func (c *connection) flushed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.queue) > 0 || c.writing {
		return false
	}
	return c.phase >= phaseEnding || c.draining || !c.reading && !c.server.hasUnread(c.conn)
}

// OpenConnections returns the number of connections that are not closed. The listener counts as one while it
// accepts.
func (s *Server) OpenConnections() int {
	open := 0
	// Checked first, so that a connection that is admitted in the meantime is counted below.
	if !s.acceptFinished.Load() {
		open = 1
	}
	return open + s.idle.openDescriptors() + int(s.rejecting.Load())
}
