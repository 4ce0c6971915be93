package downstream

import (
	"context"
	"maps"
	"net"
	"slices"
	"strconv"
	"time"

	"tealpath/internal/neterr"
	"tealpath/internal/protocol/thrift"
	"tealpath/internal/router"
)

const (
	// writeTimeout is how long a client may take to accept one batch of responses, of about maxBatchBytes.
	writeTimeout = 10 * time.Second

	// maxBatchBytes is the approximate number of bytes that are written under one deadline. It is small enough that
	// a slow client that keeps reading does not exceed the deadline.
	maxBatchBytes = 1 << 18

	// maxQueuedPieces is how many pieces of responses, at three pieces per response, may be queued for one
	// client. A client that obeys the protocol has 32 requests in flight at most.
	maxQueuedPieces = 3 * 1000
)

// Names of the entries in the field map of a response.
const (
	fieldNotModified = "ok304"
	fieldRetryAfter  = "later" // time after which the client may retry, ms
)

// Numbers of the fields in the Thrift result of a call that was not served. The response sets one of them.
const (
	resultFieldRejected = 1
	resultFieldFailed   = 2
)

// Respond queues the final response to a request, and returns without waiting for it to be written. It does nothing if
// the client has disconnected or the request is no longer in flight. If no memory is left for the body, the request
// fails.
func (s *Server) Respond(effect router.Respond) {
	c := s.lookup(effect.Client)
	if c == nil {
		return
	}
	response := newResponse(effect)
	if effect.Kind == router.Served && !s.memory.admitResponse(len(response.Body)) {
		response = failure(effect.Seq)
	}
	c.respond(response)
	if effect.Kind == router.BadRequest {
		c.closeForProtocolViolation()
	}
}

// newResponse returns the Thrift response that tells the client the outcome in effect.
func newResponse(effect router.Respond) thrift.Response {
	response := thrift.Response{Method: methodCall, Seq: effect.Seq}
	switch effect.Kind {
	case router.Served:
		response.Good = true
		if effect.NotModified {
			response.Fields = [][2]string{{fieldNotModified, "1"}}
		} else {
			response.Body = effect.Body
		}
	case router.Rejected:
		response.ResultField = resultFieldRejected
		if ms := effect.RetryAfter / int64(time.Millisecond); ms > 0 {
			response.Fields = [][2]string{{fieldRetryAfter, strconv.FormatInt(ms, 10)}}
		}
	case router.Failed:
		response.ResultField = resultFieldFailed
	case router.BadRequest:
		response.ExceptionType = thrift.ProtocolError
		response.ExceptionText = effect.Reason.Error()
	}
	return response
}

// rejection returns the response that rejects a request: nothing of it has been executed.
func rejection(seq int32) thrift.Response {
	return thrift.Response{Method: methodCall, Seq: seq, ResultField: resultFieldRejected}
}

// failure returns the response that fails a request: it may have been executed.
func failure(seq int32) thrift.Response {
	return thrift.Response{Method: methodCall, Seq: seq, ResultField: resultFieldFailed}
}

// failRequests answers each request in flight on the connection as failed.
func (c *connection) failRequests() {
	c.mu.Lock()
	inFlight := slices.Sorted(maps.Keys(c.inFlight))
	c.mu.Unlock()
	for _, seq := range inFlight {
		c.respond(failure(seq))
	}
}

// respond queues the response to a request, or discards it if the request is not in flight. The request is removed and
// its response queued under one lock. Otherwise a connection that ends once nothing is in flight could end in between,
// without the response.
func (c *connection) respond(response thrift.Response) {
	pieces := thrift.EncodeResponse(response)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inFlight[response.Seq] {
		delete(c.inFlight, response.Seq)
		c.enqueue(pieces)
	}
}

// send queues a response to a message that was not put in flight, such as a health request or a rejected call.
func (c *connection) send(response thrift.Response) {
	pieces := thrift.EncodeResponse(response)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.enqueue(pieces)
}

// sendToCanceller queues the rejection of a request whose client has cancelled too many. A client that has had no other
// response still counts as one without a response: it must not keep its connection by cancelling everything.
func (c *connection) sendToCanceller(response thrift.Response) {
	pieces := thrift.EncodeResponse(response)
	c.mu.Lock()
	defer c.mu.Unlock()
	responded := c.responded
	c.enqueue(pieces)
	c.responded = responded
	c.updateTableState()
}

// enqueue queues the pieces of a response, or discards them if the connection is closed. If the client leaves too many
// responses unread, the connection is closed. c.mu must be locked.
func (c *connection) enqueue(pieces [][]byte) {
	if c.phase == phaseClosed {
		return
	}
	size := int64(0)
	for _, piece := range pieces {
		size += int64(len(piece))
	}
	c.queue = append(c.queue, pieces...)
	c.queuedBytes += size
	c.server.memory.responseQueued(size)
	c.responded = true
	c.updateTableState()
	if len(c.queue) > maxQueuedPieces {
		neterr.Close(c.conn) // the client keeps sending requests but reads no responses
	}
	c.signalWriter()
}

// signalWriter makes the writer check the queue and the phase again.
func (c *connection) signalWriter() {
	select {
	case c.writeSignal <- struct{}{}:
	default:
	}
}

// writeResponses writes queued responses until the connection fails, or until it is no longer open and
// everything is written.
func (c *connection) writeResponses(ctx context.Context) {
	for {
		batch, size, done := c.nextBatch()
		switch {
		case done:
			return
		case len(batch) == 0:
			select {
			case <-c.writeSignal:
			case <-ctx.Done():
				return
			}
		case !c.writeBatch(batch, size):
			return
		}
	}
}

// nextBatch removes up to about maxBatchBytes from the queue and returns them with their size in bytes. done means
// that the writer may end: no request is in flight, nothing is queued and the connection is no longer open.
func (c *connection) nextBatch() (batch net.Buffers, size int64, done bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	count := 0
	for count < len(c.queue) && size < maxBatchBytes {
		size += int64(len(c.queue[count]))
		count++
	}
	batch, c.queue = c.queue[:count:count], c.queue[count:]
	c.writing = count > 0
	c.updateTableState()
	return batch, size, c.phase != phaseOpen && len(c.inFlight) == 0 && count == 0
}

// writeBatch writes a batch. If that fails, it closes the connection and returns false.
func (c *connection) writeBatch(batch net.Buffers, size int64) bool {
	setWriteDeadline(c.conn, time.Now().Add(writeTimeout))
	err := writeAll(c.conn, &batch)
	c.mu.Lock()
	c.writing = false
	c.queuedBytes -= size
	c.mu.Unlock()
	c.server.memory.responseWritten(size)
	if err != nil {
		neterr.Close(c.conn)
	}
	return err == nil
}

// writeAll writes all buffers. After a transient error it continues with the bytes that are not written yet.
func writeAll(conn net.Conn, buffers *net.Buffers) error {
	return neterr.Retry(func() error {
		_, err := buffers.WriteTo(conn)
		return err
	})
}
