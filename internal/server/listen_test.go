package server

import (
	"net"
	"os"
	"syscall"
	"testing"
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
