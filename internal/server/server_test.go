package server

import (
	"testing"

	"tealpath/internal/config"

	"github.com/rs/zerolog"
)

// Without a configured memory limit, the Go runtime must have a limit nevertheless: a share of defaultMemoryMB.
func TestMemoryLimitIsShareOfConfiguredMemory(t *testing.T) {
	for _, test := range []struct {
		name     string
		memoryMB int64 // configured memory, MiB; 0: none is configured
		want     int   // memory limit of the Go runtime, MiB
	}{
		{"less than the default", 32, 22},
		{"more than the default", 192, 134},
		{"not configured", 0, 44},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := New(&config.Config{MemoryMB: test.memoryMB}, nil, zerolog.Nop())
			if got := s.memoryBytes(collectorMemoryShare) >> 20; got != test.want {
				t.Errorf("memory limit of %d MiB, want %d", got, test.want)
			}
		})
	}
}
