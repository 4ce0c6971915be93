package downstream

import (
	"context"
	"maps"
	"net"
	"slices"
	"strconv"
	"tealpath/internal/neterr"
	"tealpath/internal/protocol/thrift"
	"tealpath/internal/router"
	"time"
)

const (
	// writeTimeout is for how long a client may take nothing of what is written to it.
	writeTimeout = 10 * time.Second

	// maxBatchBytes is about how many bytes are written at once, under one deadline: little enough that a
	// slow client that takes some all the time is not taken for a dead one.
	maxBatchBytes = 1 << 18

	// maxQueuedPieces is how many pieces of responses wait for one client, at three pieces a response. A
	// client that keeps to the protocol has 32 requests in flight at most.
	maxQueuedPieces = 3 * 1000
)

// Fields of a response in the protocol.
const (
	fieldNotModified = "ok304"
	fieldRetryAfter  = "later" // ms
)

// Which struct a response has in the protocol, beside the result.
const (
	structRejected = 1
	structFailed   = 2
)

// Respond writes the final response to a request, if its client's connection is still there. It never waits.
func (s *Server) Respond(response router.Respond) {
	c := s.lookup(response.Client)
	if c == nil {
		return
	}
	answer := newAnswer(response)
	if response.Kind == router.Served && !s.memory.admitResponse(len(answer.Body)) {
		answer = failedAnswer(response.Seq)
	}
	c.respond(answer)
	if response.Kind == router.BadRequest {
		c.closeForProtocolViolation()
	}
}

// newAnswer returns a response in the protocol's form.
func newAnswer(response router.Respond) thrift.Answer {
	answer := thrift.Answer{Method: methodCall, Seq: response.Seq}
	switch response.Kind {
	case router.Served:
		answer.Good = true
		if response.NotModified {
			answer.Fields = [][2]string{{fieldNotModified, "1"}}
		} else {
			answer.Body = response.Body
		}
	case router.Rejected:
		answer.Field = structRejected
		if ms := response.RetryAfter / int64(time.Millisecond); ms > 0 {
			answer.Fields = [][2]string{{fieldRetryAfter, strconv.FormatInt(ms, 10)}}
		}
	case router.Failed:
		answer.Field = structFailed
	case router.BadRequest:
		answer.Fault, answer.Text = thrift.ProtocolError, response.Reason.Error()
	}
	return answer
}

// rejectedAnswer returns the response to a request of which nothing was executed.
func rejectedAnswer(seq int32) thrift.Answer {
	return thrift.Answer{Method: methodCall, Seq: seq, Field: structRejected}
}

// failedAnswer returns the response to a request that may have been executed.
func failedAnswer(seq int32) thrift.Answer {
	return thrift.Answer{Method: methodCall, Seq: seq, Field: structFailed}
}

// failRequests fails all requests in flight.
func (c *connection) failRequests() {
	c.mu.Lock()
	inFlight := slices.Sorted(maps.Keys(c.inFlight))
	c.mu.Unlock()
	for _, seq := range inFlight {
		c.respond(failedAnswer(seq))
	}
}

// respond queues the response to a request in flight. It removes and queues under one lock: between the two
// a connection that ends once nothing is in flight would end without the response.
func (c *connection) respond(answer thrift.Answer) {
	pieces := thrift.Frame(answer)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inFlight[answer.Seq] {
		delete(c.inFlight, answer.Seq)
		c.enqueue(pieces)
	}
}

// send queues a response to what was never in flight.
func (c *connection) send(answer thrift.Answer) {
	pieces := thrift.Frame(answer)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.enqueue(pieces)
}

// enqueue queues the pieces of a response. c.mu is locked.
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
		neterr.Close(c.conn) // its client sends requests without end and reads nothing
	}
	c.signalWriter()
}

// signalWriter has the writer look at the queue and the phase again.
func (c *connection) signalWriter() {
	select {
	case c.writeSignal <- struct{}{}:
	default:
	}
}

// writeResponses writes what is queued, until the connection fails or ends with all written.
func (c *connection) writeResponses(ctx context.Context) {
	for {
		batch, size, over := c.nextBatch()
		switch {
		case over:
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

// nextBatch takes from the queue what is to be written at once, and its size. over tells that the writer
// has nothing left to do.
func (c *connection) nextBatch() (batch net.Buffers, size int64, over bool) {
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

// writeBatch writes a batch, and closes the connection and returns false if that fails.
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

// writeAll writes buffers, and goes on after transient errors.
func writeAll(conn net.Conn, buffers *net.Buffers) error {
	return neterr.Retry(func() error {
		_, err := buffers.WriteTo(conn)
		return err
	})
}
