package server

import (
	"tealpath/internal/config"
	"testing"

	"github.com/rs/zerolog"
)

// Shares of a memory larger than the configured one had the router killed for it.
func TestSharesOfTheMemory(t *testing.T) {
	for _, test := range []struct {
		name     string
		memoryMB int64
		want     int // MB for the runtime
	}{
		{"a small one", 32, 22},
		{"the usual", 192, 134},
		{"none set", 0, 44},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := New(&config.Config{MemoryMB: test.memoryMB}, nil, zerolog.Nop())
			if got := s.memory(collectorMemoryShare) >> 20; got != test.want {
				t.Errorf("%d MB, want %d", got, test.want)
			}
		})
	}
}
