package downstream

import (
	"bufio"
	"context"
	"io"
	"sync/atomic"
	"time"

	"tealpath/internal/logevent"
	"tealpath/internal/protocol/thrift"

	"golang.org/x/sync/semaphore"
)

// memoryTimeout is for how long a large request waits for memory before it is rejected. No attempt may
// begin 0.1 s after the client has closed its connection or cancelled the request, and neither is seen
// while the request waits.
const memoryTimeout = 50 * time.Millisecond

// memoryLimits bounds the memory of large requests that are being read and, apart from them, of responses
// that wait to be written.
type memoryLimits struct {
	maxBytes        int64 // of each
	emit            func(logevent.Event)
	requests        *semaphore.Weighted // bytes
	queuedResponses atomic.Int64        // bytes
	exhausted       atomic.Bool         // responses fail for want of memory
}

func newMemoryLimits(maxBytes int64, emit func(logevent.Event)) *memoryLimits {
	return &memoryLimits{
		maxBytes: maxBytes,
		emit:     emit,
		requests: semaphore.NewWeighted(max(maxBytes, thrift.MaxFrameSize)),
	}
}

// acquireRequest waits for the memory of a large request, and returns false if there is none in time.
func (m *memoryLimits) acquireRequest(ctx context.Context, size int) bool {
	ctx, cancel := context.WithTimeout(ctx, memoryTimeout)
	defer cancel()
	return m.requests.Acquire(ctx, int64(size)) == nil
}

func (m *memoryLimits) releaseRequest(size int) { m.requests.Release(int64(size)) }

// admitResponse tells whether there is memory for a response with a body of a size. Without this limit
// large responses to clients that do not read would take all memory.
func (m *memoryLimits) admitResponse(bodyBytes int) bool {
	if m.queuedResponses.Load()+int64(bodyBytes) > m.maxBytes {
		if !m.exhausted.Swap(true) {
			m.emit(ResponseMemoryExhausted{QueuedBytes: m.queuedResponses.Load()})
		}
		return false
	}
	if bodyBytes > 0 && m.queuedResponses.Load() < m.maxBytes/2 && m.exhausted.Swap(false) {
		m.emit(ResponseMemoryRecovered{})
	}
	return true
}

func (m *memoryLimits) responseQueued(size int64)  { m.queuedResponses.Add(size) }
func (m *memoryLimits) responseWritten(size int64) { m.queuedResponses.Add(-size) }

// rejectLarge rejects a large request for which there is no memory. head is its start, which tells which
// request it is; the rest is read and discarded.
func (c *connection) rejectLarge(in *bufio.Reader, head []byte, size int) error {
	message, err := thrift.Parse(head)
	if err != nil {
		return err
	}
	if isRequest(message) {
		switch c.addRequest(message.Seq) {
		case requestAdmitted:
			c.respond(rejection(message.Seq))
		case requestExcess:
			c.send(rejection(message.Seq))
		case requestDuplicate:
			c.sendException(message, thrift.BadSequence, duplicateSequence)
			return nil
		case requestTooLate:
			c.send(rejection(message.Seq))
			return errDraining
		}
	}
	setReadDeadline(c.conn, time.Now().Add(requestReadTimeout))
	_, err = io.CopyN(io.Discard, in, int64(size-len(head)))
	return err
}
