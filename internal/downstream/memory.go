package downstream

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"tealpath/internal/logevent"
	"tealpath/internal/protocol/thrift"

	"golang.org/x/sync/semaphore"
)

// requestMemoryTimeout is how long a large request waits for memory before it is rejected. No attempt may
// begin more than 100 ms after the client has closed its connection or cancelled the request, and neither is
// detected during the wait.
const requestMemoryTimeout = 50 * time.Millisecond

// errNoRequestMemory is returned for a large request for which no memory becomes free in time.
var errNoRequestMemory = errors.New("downstream: no memory for a large request")

// memoryLimits limits two totals: the memory of large requests that are being read, and that of responses that wait to
// be written.
type memoryLimits struct {
	maxBytes        int64 // bytes, for requests and responses each; for requests at least thrift.MaxFrameSize
	emit            func(logevent.Event)
	requests        *semaphore.Weighted // total size of large requests being read, bytes
	queuedResponses atomic.Int64        // bytes of unwritten responses
	exhausted       atomic.Bool         // responses have failed for lack of memory; false again on recovery
}

func newMemoryLimits(maxBytes int64, emit func(logevent.Event)) *memoryLimits {
	return &memoryLimits{
		maxBytes: maxBytes,
		emit:     emit,
		requests: semaphore.NewWeighted(max(maxBytes, thrift.MaxFrameSize)),
	}
}

// acquireRequest reserves size bytes for a large request, and returns false if they do not become free within
// requestMemoryTimeout or before ctx ends.
func (m *memoryLimits) acquireRequest(ctx context.Context, size int) bool {
	ctx, cancel := context.WithTimeout(ctx, requestMemoryTimeout)
	defer cancel()
	return m.requests.Acquire(ctx, int64(size)) == nil
}

func (m *memoryLimits) releaseRequest(size int) { m.requests.Release(int64(size)) }

// admitResponse reports whether a response with a body of bodyBytes may be queued. Without this limit, large responses
// to clients that do not read could use up all memory.
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
