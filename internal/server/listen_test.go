package server

import (
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
	"testing"

	"tealpath/internal/config"
	"tealpath/internal/operatorconfig"
	"tealpath/internal/testkit"

	"github.com/rs/zerolog"
)

// Listening is retried if the address is in use or this machine lacks resources, and after no other error.
func TestIsTransientListenError(t *testing.T) {
	for errno, want := range map[syscall.Errno]bool{
		syscall.EADDRINUSE:    true,
		syscall.EMFILE:        true,
		syscall.ENFILE:        true,
		syscall.ENOBUFS:       true,
		syscall.ENOMEM:        true,
		syscall.EACCES:        false,
		syscall.EADDRNOTAVAIL: false,
	} {
		t.Run(errno.Error(), func(t *testing.T) {
			err := &net.OpError{Op: "listen", Net: "tcp", Err: os.NewSyscallError("bind", errno)}
			if isTransientListenError(err) != want {
				t.Errorf("%v: transient: %v", errno, !want)
			}
		})
	}
}

// A start that fails once the router listens, here as the cluster has no certificate, closes the listener.
func TestFailedStartClosesListener(t *testing.T) {
	address := testkit.FreeAddress(t)
	raw := fmt.Appendf(nil, testConfig, address, "127.0.0.1:1", "null", 1.0)
	configuration, err := config.Parse(raw, "", "")
	if err != nil {
		t.Fatal(err)
	}
	operator := &operatorconfig.File{Cluster: &operatorconfig.Cluster{}}
	s := New(configuration, operator, zerolog.Nop())
	if err := s.Run(t.Context(), make(chan struct{}), nil, nil); !errors.Is(err, ErrConfig) {
		t.Errorf("the start ended with %v", err)
	}
	if testkit.IsListening(address) {
		t.Error("it listens still")
	}
}
