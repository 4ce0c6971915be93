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

	// OperatorSectionsOff names the sections of the operator's file that are off because they did not fit the
	// configuration at the start.
	OperatorSectionsOff []string `json:"operator_sections_off,omitempty"`
}

// connections handles ConnectionsCommand. It runs the garbage collector, which pauses the router, so monitoring must
// not poll it.
func (s *Server) connections(context.Context, []string) (any, error) {
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	var off []string
	for _, misfit := range s.misfits {
		off = append(off, string(misfit.Section))
	}
	return Connections{
		OperatorSectionsOff: off,
		ConnectionCounts:    s.downstream.Counts(),
		Goroutines:          runtime.NumGoroutine(),
		HeapBytes:           memory.HeapAlloc,
		StackBytes:          memory.StackInuse,
	}, nil
}
