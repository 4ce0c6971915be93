package operatorconfig

import (
	"context"
	"net"
	"os"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// failing is a listener whose first accepts fail with an error.
type failing struct {
	net.Listener
	fault error
	left  atomic.Int64
}

func (f *failing) Accept() (net.Conn, error) {
	if f.left.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Net: "unix", Err: os.NewSyscallError("accept4", f.fault)}
	}
	return f.Listener.Accept()
}

// Without descriptors or memory the socket waits and goes on; it ended, and the instance with it.
func TestAcceptErrors(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM} {
		path := filepath.Join(t.TempDir(), "s")
		listener, err := net.Listen("unix", path)
		if err != nil {
			t.Fatal(err)
		}
		f := &failing{Listener: listener, fault: errno}
		f.left.Store(3)
		ctx, cancel := context.WithCancel(t.Context())
		over := make(chan error, 1)
		go func() {
			over <- accept(ctx, f, map[string]Handler{"x": func(context.Context, []string) (any, error) { return 1, nil }})
		}()
		begun, answer := time.Now(), 0
		if err := Ask(ctx, path, &answer, "x"); err != nil || answer != 1 || time.Since(begun) < 3*acceptGap {
			t.Errorf("%v: %d, %v after %v", errno, answer, err, time.Since(begun))
		}
		cancel()
		if err := <-over; err != nil {
			t.Errorf("%v: %v", errno, err)
		}
	}
	listener, err := net.Listen("unix", filepath.Join(t.TempDir(), "s"))
	if err != nil {
		t.Fatal(err)
	}
	f := &failing{Listener: listener, fault: syscall.EINVAL}
	f.left.Store(1)
	if err := accept(t.Context(), f, nil); err == nil {
		t.Error("an error that does not pass is waited out")
	}
}
