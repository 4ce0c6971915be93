package adminsocket

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

// failingListener is a listener whose first calls of Accept fail with an error.
type failingListener struct {
	net.Listener
	err  error
	left atomic.Int64 // number of further calls of Accept that fail
}

func (f *failingListener) Accept() (net.Conn, error) {
	if f.left.Add(-1) >= 0 {
		return nil, f.err
	}
	return f.Listener.Accept()
}

// acceptError returns errno in the types in which net.Listener.Accept returns it.
func acceptError(errno syscall.Errno) error {
	return &net.OpError{Op: "accept", Net: "unix", Err: os.NewSyscallError("accept4", errno)}
}

// If accepting fails because the machine lacks resources, it is retried after acceptRetryDelay.
func TestAcceptRetriesLackOfResources(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM} {
		t.Run(errno.Error(), func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "s")
			listener := listen(t, path, errno, 3)
			ctx, cancel := context.WithCancel(t.Context())
			ended := make(chan error, 1)
			answerOne := func(context.Context, []string) (any, error) { return 1, nil }
			startedAt := time.Now() // before accept, which may begin at once
			go func() { ended <- accept(ctx, listener, map[string]Handler{"x": answerOne}) }()
			answer := 0
			err := Query(ctx, path, &answer, "x")
			if took := time.Since(startedAt); err != nil || answer != 1 || took < 3*acceptRetryDelay {
				t.Errorf("answer %d, error %v after %v; want answer 1 after at least %v",
					answer, err, took, 3*acceptRetryDelay)
			}
			cancel()
			if err := <-ended; err != nil {
				t.Errorf("accept returned %v after its context ended", err)
			}
		})
	}
}

func TestAcceptReturnsOtherErrors(t *testing.T) {
	listener := listen(t, filepath.Join(t.TempDir(), "s"), syscall.EINVAL, 1)
	if err := accept(t.Context(), listener, nil); err == nil {
		t.Error("accept returned no error for EINVAL")
	}
}

// listen opens a Unix socket. failures is the number of calls of Accept that fail with errno before one can succeed.
func listen(t *testing.T, path string, errno syscall.Errno, failures int64) net.Listener {
	t.Helper()
	listener, err := net.Listen("unix", path)
	if err != nil {
		t.Fatal(err)
	}
	failing := &failingListener{Listener: listener, err: acceptError(errno)}
	failing.left.Store(failures)
	return failing
}
