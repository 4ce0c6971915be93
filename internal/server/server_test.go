package server

import (
	"testing"

	"github.com/rs/zerolog"

	"tealpath/internal/config"
)

// Shares of a memory larger than the configured one had the router killed for it.
func TestSharesOfTheMemory(t *testing.T) {
	for _, c := range []struct {
		name string
		mb   int64
		want int // MB for the runtime
	}{{"a small one", 32, 22}, {"the usual", 192, 134}, {"none set", 0, 44}} {
		t.Run(c.name, func(t *testing.T) {
			p := New(&config.Config{MemoryMB: c.mb}, nil, zerolog.Nop())
			if got := p.bytes(memoryShare) >> 20; got != c.want {
				t.Errorf("%d MB, want %d", got, c.want)
			}
		})
	}
}
