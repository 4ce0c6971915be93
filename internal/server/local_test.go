package server

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
	"testing"

	"tealpath/internal/config"
	"tealpath/internal/operatorconfig"
)

// What may pass is waited for at the start; what can't is told at once.
func TestMayPass(t *testing.T) {
	for errno, want := range map[syscall.Errno]bool{syscall.EADDRINUSE: true, syscall.EMFILE: true, syscall.ENFILE: true,
		syscall.ENOBUFS: true, syscall.ENOMEM: true, syscall.EACCES: false, syscall.EADDRNOTAVAIL: false} {
		err := &net.OpError{Op: "listen", Net: "tcp", Err: os.NewSyscallError("bind", errno)}
		if mayPass(err) != want {
			t.Errorf("%v: may pass %v", errno, !want)
		}
	}
}

// A configuration that can't be read for want of descriptors or memory is read once it can be; one that is bad is told of at once.
func TestLoadWhenPossible(t *testing.T) {
	for errno, tries := range map[syscall.Errno]int{syscall.EMFILE: 4, syscall.ENFILE: 4, syscall.ENOMEM: 4, syscall.ENOENT: 1, syscall.EIO: 1} {
		calls, lines := 0, 0
		load := func() (*config.Config, *operatorconfig.File, error) {
			if calls++; calls <= 3 {
				return nil, nil, fmt.Errorf("configuration: %w", &os.PathError{Op: "open", Path: "x", Err: errno})
			}
			return &config.Config{}, nil, nil
		}
		next, _, err := loadWhenPossible(t.Context(), load, func(string) { lines++ })
		if calls != tries || (next != nil) != (tries > 1) || tries == 1 && !errors.Is(err, errno) || lines != min(tries-1, 1) {
			t.Errorf("%v: %d calls, %v, %d lines", errno, calls, err, lines)
		}
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if _, _, err := loadWhenPossible(ctx, func() (*config.Config, *operatorconfig.File, error) { return nil, nil, syscall.EMFILE }, func(string) {}); err == nil {
		t.Error("it does not end with the process")
	}
}
