package downstream

import (
	"maps"
	"slices"

	"tealpath/internal/neterr"
)

// CloseIdle begins the close of each connection without outstanding requests, and closes the listener once its
// backlog is empty: the connections in it are admitted first. Called again, it goes on with the connections
// that were in use before.
func (s *Server) CloseIdle() {
	if !s.draining.Load() && !s.hasBacklog() {
		s.draining.Store(true)
		neterr.Close(s.listener)
	}
	s.mu.Lock()
	connections := slices.Collect(maps.Values(s.connections))
	s.mu.Unlock()
	for _, c := range connections {
		if !c.isLingering() && !c.isReading() { // the rest of a request that has come in part is waited for
			c.tryClose()
		}
	}
	s.idle.closeAllIdle()
	s.idle.closeFinished()
}

// Flushed tells whether every response is written, and nothing has come that is not read: on a busy core a
// request may wait to be read when the process is to end, and a connection to be accepted.
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

// flushed tells whether every response is written, and nothing has come that is to be read.
func (c *connection) flushed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.queue) > 0 || c.writing {
		return false
	}
	return c.phase >= phaseEnding || c.draining || !c.reading && !c.server.hasUnread(c.conn)
}

// OpenConnections returns how many connections are not closed, the listener among them while it accepts.
func (s *Server) OpenConnections() int {
	open := 0
	if !s.acceptFinished.Load() { // read first: a connection that is admitted after that is counted below
		open = 1
	}
	return open + s.idle.openDescriptors() + int(s.rejecting.Load())
}
