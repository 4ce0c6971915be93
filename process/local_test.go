package process

import (
	"net"
	"os"
	"syscall"
	"testing"
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
