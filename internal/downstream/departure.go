package downstream

import (
	"context"
	"time"

	"tealpath/internal/downstream/idle"
	"tealpath/internal/router"
)

const (
	// departureCheckInterval is how often the clients whose readers are behind are checked for whether they have closed
	// their sending side. No attempt may begin more than 100 ms after that.
	departureCheckInterval = 20 * time.Millisecond

	// minReadingTime is how long, in ns, the data of a client has to be read without a pause before the client is
	// checked.
	minReadingTime = int64(20 * time.Millisecond)
)

// watchDepartures reports clients that have closed their sending side while the end of the stream is still behind
// unread data: their readers notice it only once they have read the data, or once the router has taken a request. It
// returns when the context ends.
func (s *Server) watchDepartures(ctx context.Context) {
	ticker := time.NewTicker(departureCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.checkDepartures()
		}
	}
}

// checkDepartures checks each connection whose reader is behind.
func (s *Server) checkDepartures() {
	now := s.now()
	s.mu.Lock()
	var behind []*connection
	for _, c := range s.connections {
		if c.isBehind(now) {
			behind = append(behind, c)
		}
	}
	s.mu.Unlock()
	for _, c := range behind {
		if s.peerClosed(c.conn) {
			s.goroutines.Go(c.noteDeparture) // posts, and must not delay the check of other connections
		}
	}
}

// isBehind reports whether the client has requests in flight and its data has been read for minReadingTime without a
// pause.
func (c *connection) isBehind(now int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reading && !c.departed && len(c.inFlight) > 0 && now-c.readingSince >= minReadingTime
}

// noteDeparture records that the client has closed its sending side, and posts ClientHalfClosed if it has a request in
// flight. Later requests from it are rejected.
func (c *connection) noteDeparture() {
	c.mu.Lock()
	known, inFlight := c.departed, len(c.inFlight) > 0
	c.departed = true
	c.mu.Unlock()
	if !known && inFlight {
		c.server.post(router.ClientHalfClosed{Client: c.id}, nil)
	}
}

// hasDeparted reports whether the client has closed its sending side so long ago that its request must not be
// forwarded. arrivedAt is the earliest time, in ns, at which the end of the request can have arrived. Only the reader
// may call it.
func (c *connection) hasDeparted(arrivedAt int64) bool {
	c.mu.Lock()
	departed := c.departed
	c.mu.Unlock()
	if departed {
		return true
	}
	waited := c.server.now() - arrivedAt
	if !idle.Abandoned(waited, true) || !c.server.peerClosed(c.conn) {
		return false
	}
	c.noteDeparture()
	return true
}

// HasDeparted reports whether a client has disconnected, or has closed its sending side.
func (s *Server) HasDeparted(client router.ClientID) bool {
	c := s.lookup(client)
	return c == nil || s.peerClosed(c.conn)
}
