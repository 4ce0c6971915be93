//go:build linux

package poller

import (
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"tealpath/internal/neterr"

	"golang.org/x/sys/unix"
)

// testTimeout limits how long a test waits for a read, a write or a call of Wait.
const testTimeout = 10 * time.Second

// connect returns both ends of a TCP connection on loopback.
func connect(t testing.TB) (client, server net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer neterr.Close(listener)
	if client, err = net.Dial("tcp", listener.Addr().String()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { neterr.Close(client) })
	if server, err = listener.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { neterr.Close(server) })
	for _, conn := range []net.Conn{client, server} {
		if err := conn.SetDeadline(time.Now().Add(testTimeout)); err != nil {
			t.Fatal(err)
		}
	}
	return client, server
}

// mustWrite writes text to a connection and fails the test if that fails.
func mustWrite(t testing.TB, conn net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
}

// expectRead checks that the next bytes read from a connection are want.
func expectRead(t testing.TB, conn net.Conn, want string) {
	t.Helper()
	got := make([]byte, len(want))
	if _, err := io.ReadFull(conn, got); err != nil || string(got) != want {
		t.Errorf("read %q, error %v; want %q", got, err, want)
	}
}

// expectEnd checks that the peer has closed its sending side and that no unread data is left.
func expectEnd(t testing.TB, conn net.Conn) {
	t.Helper()
	if rest, err := io.ReadAll(conn); err != nil || len(rest) > 0 {
		t.Errorf("read %q, error %v; want the end of the stream without data", rest, err)
	}
}

// descriptorOf returns the descriptor of a connection. The descriptor is valid only while the connection is
// open.
func descriptorOf(t testing.TB, conn net.Conn) int {
	t.Helper()
	descriptor := -1
	if err := Control(conn, func(fd uintptr) { descriptor = int(fd) }); err != nil {
		t.Fatal(err)
	}
	return descriptor
}

// awaitReadable returns once data or the end of the stream can be read from a descriptor. It fails the test after
// testTimeout.
func awaitReadable(t testing.TB, fd int) {
	t.Helper()
	polled := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
	n, err := retryInterrupted(func() (int, error) { return unix.Poll(polled, int(testTimeout.Milliseconds())) })
	if err != nil || n != 1 {
		t.Fatalf("descriptor %d is not readable after %v: poll returned %d, error %v; want 1", fd, testTimeout, n, err)
	}
}

// newPoller returns a poller that is closed at the end of the test.
func newPoller(t testing.TB, calls *SystemCalls) *Poller {
	t.Helper()
	poller, err := NewWithSystemCalls(calls)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { neterr.Close(poller.file) })
	return poller
}

// mustSuspend suspends a connection under key and returns its descriptor. It fails the test on an error.
func mustSuspend(t testing.TB, poller *Poller, conn net.Conn, key uint64) (fd int) {
	t.Helper()
	fd, err := poller.Suspend(conn, key)
	if err != nil {
		t.Fatal(err)
	}
	return fd
}

// mustResume returns the resumed connection of a suspended descriptor. It fails the test on an error.
func mustResume(t testing.TB, poller *Poller, fd int) net.Conn {
	t.Helper()
	conn, err := poller.Resume(fd)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { neterr.Close(conn) })
	if err := conn.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	return conn
}

// faultyCalls are system calls of which some can be made to fail with errno. Each counter is the number of further
// times that the system call of the same name fails.
type faultyCalls struct {
	SystemCalls
	errno     error
	duplicate int
	epollCtl  int
	epollWait int
	receive   int
	poll      int
	fileConn  int
	pollable  int
}

// fail decrements remaining and returns errno, or returns nil if remaining is 0.
func (f *faultyCalls) fail(remaining *int) error {
	if *remaining <= 0 {
		return nil
	}
	*remaining--
	return f.errno
}

// newFaultyCalls returns system calls of which none fails until a test sets its counter. Those that fail return errno.
func newFaultyCalls(errno error) *faultyCalls {
	f := &faultyCalls{errno: errno}
	f.Duplicate = func(fd int) (int, error) {
		if err := f.fail(&f.duplicate); err != nil {
			return -1, err
		}
		return Kernel.Duplicate(fd)
	}
	f.EpollCtl = func(set, operation, fd int, event *unix.EpollEvent) error {
		if err := f.fail(&f.epollCtl); err != nil {
			return err
		}
		return Kernel.EpollCtl(set, operation, fd, event)
	}
	f.EpollWait = func(set int, events []unix.EpollEvent, milliseconds int) (int, error) {
		if err := f.fail(&f.epollWait); err != nil {
			return -1, err
		}
		return Kernel.EpollWait(set, events, milliseconds)
	}
	f.Receive = func(fd int, buffer []byte, flags int) (int, error) {
		if err := f.fail(&f.receive); err != nil {
			return -1, err
		}
		return Kernel.Receive(fd, buffer, flags)
	}
	f.Poll = func(descriptors []unix.PollFd, milliseconds int) (int, error) {
		if err := f.fail(&f.poll); err != nil {
			return -1, err
		}
		return Kernel.Poll(descriptors, milliseconds)
	}
	f.FileConn = func(file *os.File) (net.Conn, error) {
		if err := f.fail(&f.fileConn); err != nil {
			return nil, err
		}
		return Kernel.FileConn(file)
	}
	f.Pollable = func(file *os.File) bool {
		return f.fail(&f.pollable) == nil && Kernel.Pollable(file)
	}
	return f
}

// forEachErrno runs the test as a subtest for each errno, under the name of the errno.
func forEachErrno(t *testing.T, errnos []unix.Errno, test func(t *testing.T, errno unix.Errno)) {
	t.Helper()
	for _, errno := range errnos {
		t.Run(unix.ErrnoName(errno), func(t *testing.T) { test(t, errno) })
	}
}

// isTimeout reports whether an error means that a deadline has passed.
func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }
