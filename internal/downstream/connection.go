package downstream

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"tealpath/internal/downstream/idle"
	"tealpath/internal/neterr"
	"tealpath/internal/router"
)

// maxExcessRequests is the number of consecutive requests beyond MaxRequestsPerConnection that are merely rejected.
// The next one is a protocol violation, for which the connection is closed.
const maxExcessRequests = 8

// Errors with which readRequests ends, besides those of the connection and of the decoder.
var (
	errSuspend           = errors.New("downstream: connection is idle")
	errDraining          = errors.New("downstream: connection is draining")
	errProtocolViolation = errors.New("downstream: protocol violation")
)

// phase is a stage of a connection's life. It only advances, except that a connection whose suspension failed
// becomes open again.
type phase int

const (
	phaseOpen       phase = iota
	phaseSuspending       // the connection is idle, and its goroutines end so that it can be suspended
	phaseEnding           // no more requests are read; the phase lasts until all responses are written
	phaseLingering        // the server has closed its sending side, and the client may read what was written
	phaseClosed           // the connection has ended, and further responses to it are discarded
)

// connection is a client connection with a goroutine that reads requests and one that writes responses. A suspended
// connection has none of this type.
type connection struct {
	server      *Server
	id          router.ClientID
	conn        net.Conn
	slot        slotKey
	activeSince time.Time     // time at which the connection was accepted or last resumed
	writeSignal chan struct{} // holds an element if the writer has to check queue and phase again
	arrivals    arrivalReader // reads from conn; used only by the reading goroutine
	rejecting   bool          // requests are rejected for want of memory; used only by the reading goroutine

	mu             sync.Mutex
	phase          phase          // guarded by mu
	inFlight       map[int32]bool // guarded by mu; sequence numbers of the requests in flight
	recentCancels  recentCancels  // guarded by mu
	excessRequests int            // guarded by mu; consecutive requests beyond MaxRequestsPerConnection
	queue          net.Buffers    // guarded by mu; slices of encoded responses that are not being written yet
	queuedBytes    int64          // guarded by mu; bytes in queue and in the batch being written
	writing        bool           // guarded by mu; the writer is writing a batch of responses
	reading        bool           // guarded by mu; data from the client has been received and not handled yet
	readingSince   int64          // guarded by mu; when reading was last set, ns
	departed       bool           // guarded by mu; the client closed its sending side while data from it was unread
	responded      bool           // guarded by mu; at least one response has been queued
	violated       bool           // guarded by mu; the client has violated the protocol, so nothing more is read
	draining       bool           // guarded by mu; the connection is being closed: requests read later are rejected
	tableState     idle.State     // guarded by mu; state last recorded in idleConnections.table
}

// newConnection returns a connection without an ID. Other goroutines cannot access it until register assigns one.
func newConnection(s *Server, conn net.Conn, slot slotKey) *connection {
	return &connection{
		server:      s,
		conn:        conn,
		slot:        slot,
		activeSince: time.Now(),
		writeSignal: make(chan struct{}, 1),
		arrivals:    arrivalReader{Conn: conn, server: s},
		inFlight:    map[int32]bool{},
		tableState:  idle.StateNew,
	}
}

// serve exchanges requests and responses with the client until the connection is closed or suspended.
func (c *connection) serve(ctx context.Context) {
	defer c.stopRejecting()
	defer neterr.Close(c.conn)
	stop := context.AfterFunc(ctx, func() { neterr.Close(c.conn) })
	defer stop()
	written, err := c.exchange(ctx)
	if errors.Is(err, errSuspend) {
		return
	}
	c.end(written, err)
}

// exchange reads requests and writes responses until nothing more can be read or the connection is suspended. It
// returns why the reading ended, or errSuspend after suspension, and a channel that is closed when the writing
// goroutine has ended.
func (c *connection) exchange(ctx context.Context) (written <-chan struct{}, err error) {
	for {
		written := c.startWriter(ctx)
		err := c.readRequests(ctx)
		if !errors.Is(err, errSuspend) {
			return written, err
		}
		c.signalWriter()
		<-written
		if c.server.suspend(c) {
			return written, errSuspend
		}
		// Suspension failed, possibly because the connection was evicted, in which case readRequests ends at once.
		c.setPhase(phaseOpen)
	}
}

// startWriter starts the writer and returns a channel that is closed when the writer has ended.
func (c *connection) startWriter(ctx context.Context) <-chan struct{} {
	written := make(chan struct{})
	go func() {
		defer close(written)
		c.writeResponses(ctx)
	}()
	return written
}

// end closes a connection from which nothing more is read, once its requests in flight are answered. If the client has
// violated the protocol, they fail; if it has disconnected, they are dropped.
func (c *connection) end(written <-chan struct{}, readError error) {
	violated := c.beginEnding(readError)
	halfClosed := errors.Is(readError, io.EOF) || errors.Is(readError, io.ErrUnexpectedEOF)
	switch {
	case violated:
		// The client's other requests fail: serving them would take resources from other clients.
		c.server.post(router.ClientDisconnected{Client: c.id}, nil)
		c.failRequests()
	case halfClosed:
		c.notifyHalfClosed()
	}
	c.signalWriter()
	if !violated && !halfClosed {
		c.awaitPeerClose(written)
	}
	<-written
	c.linger()
	c.server.unregister(c)
	c.markClosed()
	c.server.post(router.ClientDisconnected{Client: c.id}, nil)
}

// beginEnding starts the phase in which only responses are written, and reports whether the client has
// violated the protocol. The requests of a client that has disconnected are dropped.
func (c *connection) beginEnding(readError error) (violated bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase = phaseEnding
	if !c.violated && !mayStillRead(readError) {
		clear(c.inFlight)
		neterr.Close(c.conn)
	}
	return c.violated
}

// mayStillRead reports whether a client may still read responses after a read from it returned an error. That
// is so if the client closed only its sending side, if it sent data that cannot be parsed, or if nothing
// proves that it has disconnected. If it has closed both sides, the first write of a response fails.
func mayStillRead(readError error) bool { return !neterr.IsConnectionEnded(readError) }

// markClosed makes the connection discard all later responses, and releases the memory of the unwritten ones.
func (c *connection) markClosed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase = phaseClosed
	c.server.memory.responseWritten(c.queuedBytes)
}

// setPhase changes only the connection's phase. The state in idleConnections.table stays as it is.
func (c *connection) setPhase(next phase) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase = next
}

// closeForProtocolViolation stops reading from a client that has violated the protocol. Reading from it at
// full speed could take processor time from other clients. The response to the violation is already queued.
func (c *connection) closeForProtocolViolation() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violated = true
	setReadDeadline(c.conn, time.Now()) // makes a read that waits for data return at once
}

// requestAdmission is the result of trying to put a request in flight.
type requestAdmission int

const (
	requestAdmitted         requestAdmission = iota
	requestDuplicate                         // a request with the same sequence number is in flight
	requestExcess                            // MaxRequestsPerConnection requests are in flight
	requestAfterManyCancels                  // too many requests were cancelled recently
	requestWhileDraining                     // the connection is draining
)

// addRequest puts a request in flight, or returns the reason why it must not be. Too many consecutive requests
// beyond MaxRequestsPerConnection mark the connection as violating the protocol.
func (c *connection) addRequest(seq int32) requestAdmission {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.draining:
		return requestWhileDraining
	case c.inFlight[seq]:
		return requestDuplicate
	case c.recentCancels.count(c.server.now()) >= maxRecentCancelsFactor*c.server.config.MaxRequestsPerConnection:
		return requestAfterManyCancels
	case len(c.inFlight) >= c.server.config.MaxRequestsPerConnection:
		c.excessRequests++
		if c.excessRequests > maxExcessRequests {
			c.violated = true
		}
		return requestExcess
	}
	c.excessRequests = 0
	c.inFlight[seq] = true
	c.updateTableState()
	return requestAdmitted
}

// removeRequest ends a request that its client has cancelled, so that a later response to it is discarded. It reports
// whether the request was in flight.
func (c *connection) removeRequest(seq int32) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	inFlight := c.inFlight[seq]
	if inFlight {
		delete(c.inFlight, seq)
		c.recentCancels.add(c.server.now())
	}
	if c.phase >= phaseEnding {
		c.signalWriter()
	}
	c.updateTableState()
	return inFlight
}

// updateTableState records the connection's current state in idleConnections.table. c.mu must be locked.
func (c *connection) updateTableState() {
	state := c.currentState()
	if state == c.tableState || c.phase == phaseClosed {
		return
	}
	c.tableState = state
	c.server.idle.setState(c.slot, state)
}

// currentState returns the state that the connection should have in idleConnections.table. c.mu must be locked.
func (c *connection) currentState() idle.State {
	switch {
	case c.phase >= phaseLingering:
		return idle.StateClosing
	case !c.quiescent():
		return idle.StateActive
	case c.reading:
		return idle.StateReading
	case c.responded:
		return idle.StateIdle
	}
	return idle.StateNew
}

// quiescent reports whether no request is in flight and all responses are written. c.mu must be locked.
func (c *connection) quiescent() bool {
	return len(c.inFlight) == 0 && len(c.queue) == 0 && !c.writing
}

// setReading records whether received data has not been handled yet.
func (c *connection) setReading(reading bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if reading && !c.reading {
		c.readingSince = c.server.now()
	}
	c.reading = reading
	c.updateTableState()
}

func (c *connection) isReading() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reading
}

func (c *connection) isQuiescent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.quiescent()
}

// hasResponded reports whether the client has had a response.
func (c *connection) hasResponded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.responded
}

func (c *connection) hasViolated() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.violated
}

func (c *connection) isDraining() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.draining
}

func (c *connection) isLingering() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase >= phaseLingering
}
