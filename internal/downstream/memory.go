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

// memoryLimits limits two totals: the memory of large requests that the router has not handled yet, and that of
// responses that wait to be written.
type memoryLimits struct {
	maxBytes        int64 // bytes, for responses
	emit            func(logevent.Event)
	requests        *semaphore.Weighted // total size of large requests being read or waiting for the router, bytes
	queuedResponses atomic.Int64        // bytes of unwritten responses
	exhausted       atomic.Bool         // responses have failed for lack of memory; false again on recovery
}

// newMemoryLimits returns the limits of a configuration. That for requests is at least thrift.MaxFrameSize, so that any
// request can be received.
func newMemoryLimits(config Config, emit func(logevent.Event)) *memoryLimits {
	return &memoryLimits{
		maxBytes: config.MaxBytes,
		emit:     emit,
		requests: semaphore.NewWeighted(max(config.MaxRequestBytes, thrift.MaxFrameSize)),
	}
}

// acquireRequest reserves size bytes for a large request, and returns false if they do not become free within
// requestMemoryTimeout or before ctx ends.
func (m *memoryLimits) acquireRequest(ctx context.Context, size int) (reservation requestMemory, acquired bool) {
	ctx, cancel := context.WithTimeout(ctx, requestMemoryTimeout)
	defer cancel()
	if m.requests.Acquire(ctx, int64(size)) != nil {
		return requestMemory{}, false
	}
	return requestMemory{limits: m, bytes: int64(size)}, true
}

// requestMemory is the memory that is reserved for one request. It is reserved until the router has handled the
// request: from then on, the router's own limit on the bodies of requests in flight applies. The zero value is for a
// small request, which needs no reservation.
type requestMemory struct {
	limits *memoryLimits
	bytes  int64
}

// release ends the reservation. Further calls do nothing.
func (r *requestMemory) release() {
	if r.bytes > 0 {
		r.limits.requests.Release(r.bytes)
		r.bytes = 0
	}
}

// handOver returns a function that ends the reservation, and makes release do nothing. The function is nil if nothing
// is reserved.
func (r *requestMemory) handOver() (release func()) {
	if r.bytes == 0 {
		return nil
	}
	reservation := *r
	r.bytes = 0
	return reservation.release
}

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
