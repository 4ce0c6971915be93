package server

import (
	"runtime"
	"runtime/debug"
	"testing"
	"time"

	"tealpath/control"
	"tealpath/internal/config"

	"github.com/rs/zerolog"
)

// Memory that the process allocates must show at once, or connections would be resumed beyond the limit. Memory that the
// collector has freed must count as free.
func TestMemoryGaugeFollowsAllocations(t *testing.T) {
	const size, tolerance = 32 << 20, 8 << 20
	debug.FreeOSMemory()
	gauge := newMemoryGauge(1 << 30)
	before := gauge.free()
	block := make([]byte, size)
	for i := 0; i < len(block); i += 4096 {
		block[i] = 1
	}
	during := gauge.free()
	runtime.KeepAlive(block)
	debug.FreeOSMemory()
	after := gauge.free()
	if used := before - during; used < size || used > size+tolerance {
		t.Errorf("an allocation of %d MB takes %d MB of the free memory", size>>20, used>>20)
	}
	if kept := before - after; kept > tolerance {
		t.Errorf("after the collection %d MB are still in use", kept>>20)
	}
}

func TestMaxResumeWaitIsFromSettings(t *testing.T) {
	settings := control.Settings{ShortestDeadline: int64(2 * time.Second)}
	server := New(&config.Config{Settings: settings}, nil, zerolog.Nop())
	if got := server.maxResumeWait(); got != 500*time.Millisecond {
		t.Errorf("a shortest deadline of 2 s: data may wait for %v, want 500ms", got)
	}
}
