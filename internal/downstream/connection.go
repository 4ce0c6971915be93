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

// maxExcessRequests is how many requests in a row may come beyond those that a connection may have in
// flight. Each is rejected; with the next one the connection is closed for a protocol violation.
const maxExcessRequests = 8

// Errors that end the reading from a connection, beside those of the connection itself.
var (
	errSuspend           = errors.New("downstream: connection is idle")
	errDraining          = errors.New("downstream: connection is draining")
	errProtocolViolation = errors.New("downstream: protocol violation")
)

// phase is the stage of a connection's life. It only advances, except that a connection that could not be
// suspended is open again.
type phase int

const (
	phaseOpen       phase = iota
	phaseSuspending       // it is idle, and its goroutines end so that it can be suspended
	phaseEnding           // nothing more is read as requests; it ends once all responses are written
	phaseLingering        // its sending side is closed, and the client may read what was written
	phaseClosed           // nothing more is queued
)

// connection is a client's connection that is not suspended.
type connection struct {
	server      *Server
	id          router.ClientID
	conn        net.Conn
	slot        slotKey
	acceptedAt  time.Time     // or resumed
	writeSignal chan struct{} // has an element once the writer is to check the queue and the phase
	arrivals    arrivalReader // used by the reader alone

	mu          sync.Mutex
	phase       phase          // guarded by mu
	inFlight    map[int32]bool // guarded by mu; sequence numbers of requests without a response
	excess      int            // guarded by mu; requests in a row that came beyond those that may be in flight
	queue       net.Buffers    // guarded by mu; pieces of responses that are not written
	queuedBytes int64          // guarded by mu; of queue and of what is being written
	writing     bool           // guarded by mu
	reading     bool           // guarded by mu; something has come that is not handled yet
	responded   bool           // guarded by mu; at least once
	violated    bool           // guarded by mu; a protocol violation: it gets its responses and nothing more is read
	draining    bool           // guarded by mu; it is to end: requests read from now on are rejected
	tableState  idle.State     // guarded by mu; as the table has it
}

// newConnection makes a connection that nobody else knows yet: register gives it its ID.
func newConnection(s *Server, conn net.Conn, slot slotKey) *connection {
	return &connection{
		server:      s,
		conn:        conn,
		slot:        slot,
		acceptedAt:  time.Now(),
		writeSignal: make(chan struct{}, 1),
		arrivals:    arrivalReader{Conn: conn, server: s},
		inFlight:    map[int32]bool{},
		tableState:  idle.StateNew,
	}
}

// serve serves a connection until it is closed or suspended.
func (c *connection) serve(ctx context.Context) {
	defer neterr.Close(c.conn)
	stop := context.AfterFunc(ctx, func() { neterr.Close(c.conn) })
	defer stop()
	written, err := c.exchange(ctx)
	if errors.Is(err, errSuspend) {
		return
	}
	c.end(written, err)
}

// exchange reads requests and writes responses until nothing more can be read, or the connection is
// suspended. It returns why, errSuspend for the latter, and a channel that is closed when the writer has
// ended.
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
		c.setPhase(phaseOpen) // the system refused, or it was evicted: then its next read ends it
	}
}

func (c *connection) startWriter(ctx context.Context) <-chan struct{} {
	written := make(chan struct{})
	go func() {
		defer close(written)
		c.writeResponses(ctx)
	}()
	return written
}

// end brings a connection from which nothing more is read to its close: what is in flight is answered,
// unless its client has disconnected or has violated the protocol.
func (c *connection) end(written <-chan struct{}, readError error) {
	violated := c.beginEnding(readError)
	halfClosed := errors.Is(readError, io.EOF) || errors.Is(readError, io.ErrUnexpectedEOF)
	switch {
	case violated:
		// The other requests of such a client are failed: to serve them would cost other clients.
		c.server.post(router.ClientDisconnected{Client: c.id})
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
	c.server.post(router.ClientDisconnected{Client: c.id})
}

// beginEnding starts the phase in which only responses are written, and tells whether the client has
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

// mayStillRead tells whether a client may still read responses after an error of reading from it: it has
// closed its sending side only, or has sent what cannot be parsed, or nothing proves that it has disconnected.
// For one that has closed both sides the first write of a response fails.
func mayStillRead(readError error) bool { return !neterr.IsEnd(readError) }

// markClosed ends the queueing of responses, and releases the memory of those that could not be written.
func (c *connection) markClosed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase = phaseClosed
	c.server.memory.responseWritten(c.queuedBytes)
}

// setPhase changes the phase without an effect on the table.
func (c *connection) setPhase(next phase) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase = next
}

// closeForProtocolViolation ends the reading from a client that has sent what the protocol does not allow:
// read at full speed, such a client could take the processor time of the others. Its response is queued.
func (c *connection) closeForProtocolViolation() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violated = true
	setReadDeadline(c.conn, time.Now()) // its reader may be waiting for more
}

// requestAdmission says whether a request that was read is put in flight, and why not.
type requestAdmission int

const (
	requestAdmitted  requestAdmission = iota
	requestDuplicate                  // its sequence number is in flight already
	requestExcess                     // as many as allowed are in flight
	requestTooLate                    // the connection is draining
)

// addRequest puts a request in flight, if it may be.
func (c *connection) addRequest(seq int32) requestAdmission {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.draining:
		return requestTooLate
	case c.inFlight[seq]:
		return requestDuplicate
	case len(c.inFlight) >= c.server.config.MaxRequestsPerConnection:
		c.excess++
		if c.excess > maxExcessRequests {
			c.violated = true
		}
		return requestExcess
	}
	c.excess = 0
	c.inFlight[seq] = true
	c.updateTableState()
	return requestAdmitted
}

// removeRequest removes a request that its client has cancelled, and tells whether it was in flight.
func (c *connection) removeRequest(seq int32) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	inFlight := c.inFlight[seq]
	delete(c.inFlight, seq)
	if c.phase >= phaseEnding {
		c.signalWriter()
	}
	c.updateTableState()
	return inFlight
}

// updateTableState sets the connection's state in the table. c.mu is locked.
func (c *connection) updateTableState() {
	state := c.currentState()
	if state == c.tableState || c.phase == phaseClosed {
		return
	}
	c.tableState = state
	c.server.idle.setState(c.slot, state)
}

// currentState returns the state that the table has to have. c.mu is locked.
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

// quiescent tells whether no request is in flight and all responses are written. c.mu is locked.
func (c *connection) quiescent() bool {
	return len(c.inFlight) == 0 && len(c.queue) == 0 && !c.writing
}

// setReading notes whether something has come that is not handled yet.
func (c *connection) setReading(reading bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
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
