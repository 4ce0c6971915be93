package server

import (
	"runtime/metrics"
	"sync"
)

// Names of the runtime's metrics from which the memory in use is computed.
const (
	metricTotalMemory    = "/memory/classes/total:bytes"
	metricReleasedMemory = "/memory/classes/heap/released:bytes"
	metricFreeMemory     = "/memory/classes/heap/free:bytes"
)

// memoryGauge measures how much memory the Go runtime may still allocate before it reaches its soft limit. Garbage
// that has not been collected counts as in use: the collector runs before the limit is reached.
type memoryGauge struct {
	limit int64 // soft memory limit of the runtime, bytes

	mu      sync.Mutex
	samples [3]metrics.Sample // guarded by mu
}

func newMemoryGauge(limit int64) *memoryGauge {
	gauge := &memoryGauge{limit: limit}
	for i, name := range []string{metricTotalMemory, metricReleasedMemory, metricFreeMemory} {
		gauge.samples[i].Name = name
	}
	return gauge
}

// free returns the number of bytes that may still be allocated. It is negative if the limit has been exceeded.
func (g *memoryGauge) free() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	metrics.Read(g.samples[:])
	total, released, unused := g.samples[0].Value, g.samples[1].Value, g.samples[2].Value
	return g.limit - int64(total.Uint64()-released.Uint64()-unused.Uint64())
}
