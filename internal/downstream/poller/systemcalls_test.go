//go:build linux

package poller

import (
	"testing"

	"tealpath/internal/neterr"

	"golang.org/x/sys/unix"
)

// Peek and Discard report the end of a connection only for errors that prove it.
func TestPeekAndDiscardByError(t *testing.T) {
	for errno, want := range map[unix.Errno]PeekResult{
		unix.EAGAIN:       NoData,
		unix.EINTR:        Data, // the interrupted call is repeated and finds the data
		unix.ENOMEM:       Undetermined,
		unix.ENOBUFS:      Undetermined,
		unix.EIO:          Undetermined,
		unix.EINVAL:       Undetermined,
		unix.EFAULT:       Undetermined,
		unix.EPERM:        Undetermined,
		unix.ECONNRESET:   EndOfStream,
		unix.ETIMEDOUT:    EndOfStream,
		unix.EPIPE:        EndOfStream,
		unix.ENOTCONN:     EndOfStream,
		unix.ECONNREFUSED: EndOfStream,
		unix.EHOSTUNREACH: EndOfStream,
		unix.ENETUNREACH:  EndOfStream,
		unix.EBADF:        EndOfStream,
		unix.ENOTSOCK:     EndOfStream,
	} {
		t.Run(unix.ErrnoName(errno), func(t *testing.T) {
			client, server := connect(t)
			mustWrite(t, client, "abc")
			fd := descriptorOf(t, server)
			awaitReadable(t, fd)
			calls := newFaultyCalls(errno)
			calls.receive = 1
			if got := calls.Peek(fd); got != want {
				t.Errorf("Peek returned %d, want %d", got, want)
			}
			calls.receive = 1
			if ended := calls.Discard(fd); ended != (want == EndOfStream) {
				t.Errorf("Discard reported ended = %v, want %v", ended, !ended)
			}
		})
	}
}

func TestPeekOfInvalidDescriptor(t *testing.T) {
	if got := Kernel.Peek(-1); got != EndOfStream {
		t.Errorf("Peek(-1) returned %d, want EndOfStream", got)
	}
}

// One call of Discard drops at most maxDiscard bytes. The end of the stream is reported only after all data
// before it has been dropped.
func TestDiscardStopsAtItsLimit(t *testing.T) {
	client, server := connect(t)
	fd := descriptorOf(t, server)
	mustWrite(t, client, string(make([]byte, maxDiscard+1)))
	neterr.Close(client)
	awaitPeerClosed(t, fd)
	if Kernel.Discard(fd) {
		t.Fatal("the first Discard reported the end of the stream with unread data left")
	}
	if got := Kernel.Peek(fd); got != Data {
		t.Errorf("Peek after the first Discard returned %d, want Data", got)
	}
	if !Kernel.Discard(fd) {
		t.Error("the second Discard did not report the end of the stream")
	}
}

// awaitPeerClosed waits until the kernel has received the peer's close, even if unread data precedes it.
func awaitPeerClosed(t *testing.T, fd int) {
	t.Helper()
	polled := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	n, err := retryInterrupted(func() (int, error) { return unix.Poll(polled, int(testTimeout.Milliseconds())) })
	if err != nil || n != 1 {
		t.Fatalf("the peer's close was not received within %v: poll returned %d, error %v; want 1", testTimeout, n, err)
	}
	if !Kernel.PeerClosed(fd) {
		t.Error("PeerClosed is false after the kernel has received the peer's close")
	}
}

// If poll fails, Readable returns true, so that no request is lost, and PeerClosed returns false.
func TestFailedPollLosesNoRequest(t *testing.T) {
	forEachErrno(t, []unix.Errno{unix.ENOMEM, unix.EINVAL, unix.EFAULT}, func(t *testing.T, errno unix.Errno) {
		client, server := connect(t)
		neterr.Close(client)
		fd := descriptorOf(t, server)
		calls := newFaultyCalls(errno)
		calls.poll = 2
		if !calls.Readable(fd) {
			t.Error("Readable is false after a failed poll, want true")
		}
		if calls.PeerClosed(fd) {
			t.Error("PeerClosed is true after a failed poll, want false")
		}
	})
}

func TestInterruptedPollIsRetried(t *testing.T) {
	_, server := connect(t)
	calls := newFaultyCalls(unix.EINTR)
	calls.poll = 3
	if calls.Readable(descriptorOf(t, server)) {
		t.Error("Readable is true although nothing has been sent")
	}
	if calls.poll != 0 {
		t.Errorf("%d injected EINTR errors are left, want 0: poll was not repeated", calls.poll)
	}
}
