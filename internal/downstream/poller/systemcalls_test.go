//go:build linux

package poller

import (
	"testing"

	"tealpath/internal/neterr"

	"golang.org/x/sys/unix"
)

// Only an error that proves the end of a connection counts as its end.
func TestPeekAndDiscardByError(t *testing.T) {
	for errno, want := range map[unix.Errno]PeekResult{
		unix.EAGAIN:       NoData,
		unix.EINTR:        Data, // called again
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
				t.Errorf("peek %d, want %d", got, want)
			}
			calls.receive = 1
			if ended := calls.Discard(fd); ended != (want == EndOfStream) {
				t.Errorf("discard says that the connection ended: %v", ended)
			}
		})
	}
}

func TestPeekOfInvalidDescriptorIsItsEnd(t *testing.T) {
	if got := Kernel.Peek(-1); got != EndOfStream {
		t.Errorf("peek %d, want the end of the stream", got)
	}
}

// What a peer has sent before it closed is thrown away in steps of maxDiscard, then its end is seen.
func TestDiscardStopsAtItsLimit(t *testing.T) {
	client, server := connect(t)
	fd := descriptorOf(t, server)
	mustWrite(t, client, string(make([]byte, maxDiscard+1)))
	neterr.Close(client)
	awaitPeerClosed(t, fd)
	if Kernel.Discard(fd) {
		t.Fatal("the end is seen before all bytes are read")
	}
	if got := Kernel.Peek(fd); got != Data {
		t.Errorf("peek %d after the first step, want data", got)
	}
	if !Kernel.Discard(fd) {
		t.Error("the end is not seen after all bytes are read")
	}
}

// awaitPeerClosed waits until the peer is known to have closed, behind whatever it has sent.
func awaitPeerClosed(t *testing.T, fd int) {
	t.Helper()
	polled := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	n, err := retryInterrupted(func() (int, error) { return unix.Poll(polled, int(testTimeout.Milliseconds())) })
	if err != nil || n != 1 {
		t.Fatalf("the peer has not closed: %v", err)
	}
	if !Kernel.PeerClosed(fd) {
		t.Error("PeerClosed does not say so")
	}
}

// Where the kernel cannot say, something may be there to be read, and no peer is taken for closed.
func TestFailedPollLosesNoRequest(t *testing.T) {
	forEachErrno(t, []unix.Errno{unix.ENOMEM, unix.EINVAL, unix.EFAULT}, func(t *testing.T, errno unix.Errno) {
		client, server := connect(t)
		neterr.Close(client)
		fd := descriptorOf(t, server)
		calls := newFaultyCalls(errno)
		calls.poll = 2
		if !calls.Readable(fd) {
			t.Error("not readable")
		}
		if calls.PeerClosed(fd) {
			t.Error("the peer is taken for closed")
		}
	})
}

func TestInterruptedPollIsRetried(t *testing.T) {
	_, server := connect(t)
	calls := newFaultyCalls(unix.EINTR)
	calls.poll = 3
	if calls.Readable(descriptorOf(t, server)) {
		t.Error("readable, though nothing has been sent")
	}
	if calls.poll != 0 {
		t.Errorf("%d faults are left: it is not called again", calls.poll)
	}
}
