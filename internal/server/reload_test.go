package server

import (
	"context"
	"errors"
	"fmt"
	"os"
	"syscall"
	"testing"

	"tealpath/internal/config"
	"tealpath/internal/logevent"
)

// Loading is retried while this machine lacks descriptors or memory, and the delay is logged once. Other errors are
// returned without a retry.
func TestLoadWithRetry(t *testing.T) {
	for errno, attempts := range map[syscall.Errno]int{
		syscall.EMFILE: 4,
		syscall.ENFILE: 4,
		syscall.ENOMEM: 4,
		syscall.ENOENT: 1,
		syscall.EIO:    1,
	} {
		t.Run(errno.Error(), func(t *testing.T) {
			calls := 0
			load := func() (Loaded, error) {
				if calls++; calls <= 3 {
					return Loaded{}, fmt.Errorf("configuration: %w", &os.PathError{Op: "open", Path: "x", Err: errno})
				}
				return Loaded{Config: &config.Config{}}, nil
			}
			var logged []logevent.Event
			emit := func(event logevent.Event) { logged = append(logged, event) }
			next, err := loadWithRetry(t.Context(), load, emit)
			if calls != attempts {
				t.Errorf("%d attempts, want %d", calls, attempts)
			}
			if loaded := next.Config != nil; loaded != (attempts > 1) {
				t.Errorf("loaded: %v, want %v", loaded, attempts > 1)
			}
			if attempts == 1 && !errors.Is(err, errno) {
				t.Errorf("error %v, want %v", err, errno)
			}
			if len(logged) != min(attempts-1, 1) {
				t.Errorf("logged %v, want %d events", logged, min(attempts-1, 1))
			}
			for _, event := range logged {
				if delayed, ok := event.(ConfigLoadDelayed); !ok || !errors.Is(delayed.Cause, errno) {
					t.Errorf("logged %v, want a ConfigLoadDelayed with %v", event, errno)
				}
			}
		})
	}
	t.Run("the retries end with the server", func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		load := func() (Loaded, error) { return Loaded{}, syscall.EMFILE }
		if _, err := loadWithRetry(ctx, load, func(logevent.Event) {}); err == nil {
			t.Error("no error after the context of the server ended")
		}
	})
}
