package server

import (
	"context"
	"runtime"
	"tealpath/internal/downstream"
)

// Connections is what a server says of its clients' connections and of what they cost.
type Connections struct {
	downstream.ConnectionCounts
	Goroutines int    `json:"goroutines"`
	HeapBytes  uint64 `json:"heap_bytes"` // in use after a collection
	StackBytes uint64 `json:"stack_bytes"`
}

// connections answers how many connections there are. It has the garbage collector run: it is for people
// and experiments.
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
