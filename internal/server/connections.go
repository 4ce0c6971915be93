package server

import (
	"context"
	"runtime"

	"tealpath/internal/downstream"
)

// Connections is the answer to ConnectionsCommand: counts of the clients' connections, and the memory of the process.
type Connections struct {
	downstream.ConnectionCounts
	Goroutines int    `json:"goroutines"`
	HeapBytes  uint64 `json:"heap_bytes"` // heap in use after a garbage collection, bytes
	StackBytes uint64 `json:"stack_bytes"`
}

// connections handles ConnectionsCommand. It runs the garbage collector, which pauses the router, so monitoring must
// not poll it.
func (s *Server) connections(context.Context, []string) (any, error) {
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	return Connections{
		ConnectionCounts: s.downstream.Counts(),
		Goroutines:       runtime.NumGoroutine(),
		HeapBytes:        memory.HeapAlloc,
		StackBytes:       memory.StackInuse,
	}, nil
}
