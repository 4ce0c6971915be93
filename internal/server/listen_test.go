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

// Only two kinds of errors are transient: an address in use, and a lack of resources of this machine.
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
				t.Errorf("%v is transient: %v, want %v", errno, !want, want)
			}
		})
	}
}

// A start that fails after the listener was opened closes the listener. Here it fails because the cluster has no
// certificate.
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
		t.Errorf("Run returned %v, want an ErrConfig", err)
	}
	if testkit.IsListening(address) {
		t.Errorf("%s still accepts connections", address)
	}
}
