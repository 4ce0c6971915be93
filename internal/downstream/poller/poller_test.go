//go:build linux

package poller

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"tealpath/internal/neterr"

	"golang.org/x/sys/unix"
)

// waitForKey calls Wait and fails the test unless it returns the key want and no other within testTimeout.
func waitForKey(t *testing.T, poller *Poller, want uint64) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	keys, err := poller.Wait(ctx, nil)
	if err != nil || len(keys) != 1 || keys[0] != want {
		t.Fatalf("Wait returned keys %x, error %v; want only key %x", keys, err, want)
	}
}

func TestSuspendWaitAndResume(t *testing.T) {
	const key = 1<<63 | 7 // has bits set in both of the epoll event's fields that hold the key
	for _, tc := range []struct {
		name       string
		sentBefore bool // the client sends data before rather than after the connection is suspended
	}{
		{"received before", true},
		{"received while suspended", false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			poller, err := New()
			if err != nil {
				t.Fatal(err)
			}
			client, server := connect(t)
			if tc.sentBefore {
				mustWrite(t, client, "abc")
				awaitReadable(t, descriptorOf(t, server))
			}
			fd := mustSuspend(t, poller, server, key)
			if _, err := server.Read(make([]byte, 1)); !errors.Is(err, net.ErrClosed) {
				t.Errorf("read of the suspended connection: error %v, want net.ErrClosed", err)
			}
			if !tc.sentBefore {
				if poller.HasEvents() {
					t.Error("HasEvents is true before anything has been sent")
				}
				mustWrite(t, client, "abc")
			}
			waitForKey(t, poller, key)
			if !poller.HasEvents() {
				t.Error("HasEvents is false although the returned key has not been handled yet")
			}
			if got := Kernel.Peek(fd); got != Data {
				t.Errorf("Peek returned %d, want Data", got)
			}
			resumed := mustResume(t, poller, fd)
			expectRead(t, resumed, "abc")
			mustWrite(t, resumed, "d")
			expectRead(t, client, "d")
		})
	}
}

func TestInvalidDescriptorIsNotResumed(t *testing.T) {
	if _, err := newPoller(t, Kernel).Resume(-1); !errors.Is(err, ErrInvalidDescriptor) {
		t.Errorf("Resume(-1) returned error %v, want %v", err, ErrInvalidDescriptor)
	}
}

func TestWaitEndsWithItsContext(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if _, err := newPoller(t, Kernel).Wait(ctx, nil); err == nil {
		t.Error("Wait returned no error after its context ended")
	}
}

func TestWatchKeepsConnection(t *testing.T) {
	poller := newPoller(t, Kernel)
	client, server := connect(t)
	if err := poller.Watch(server, 7); err != nil {
		t.Fatal(err)
	}
	mustWrite(t, client, "abc")
	waitForKey(t, poller, 7)
	expectRead(t, server, "abc")
}

func TestConnectionWithoutDescriptor(t *testing.T) {
	poller := newPoller(t, Kernel)
	pipe, other := net.Pipe()
	defer neterr.Close(pipe)
	defer neterr.Close(other)
	if _, err := poller.Suspend(pipe, 1); !errors.Is(err, ErrNoDescriptor) {
		t.Errorf("Suspend of a pipe: error %v, want ErrNoDescriptor", err)
	}
	if err := poller.Watch(pipe, 1); !errors.Is(err, ErrNoDescriptor) {
		t.Errorf("Watch of a pipe: error %v, want ErrNoDescriptor", err)
	}
}

func TestHalfCloseOfSuspendedConnection(t *testing.T) {
	poller := newPoller(t, Kernel)
	client, server := connect(t)
	fd := mustSuspend(t, poller, server, 1)
	defer poller.CloseDescriptor(fd)
	CloseWrite(fd)
	expectEnd(t, client)
	mustWrite(t, client, "a")
	awaitReadable(t, fd)
	if got := Kernel.Peek(fd); got != Data {
		t.Errorf("Peek returned %d, want Data", got)
	}
}

// If a descriptor cannot be removed from the epoll set, the next connection with the same descriptor number must not
// be reported under the old key.
func TestDescriptorNumberReusedAfterFailedRemoval(t *testing.T) {
	calls := newFaultyCalls(unix.ENOMEM)
	poller := newPoller(t, &calls.SystemCalls)
	client, server := connect(t)
	first := mustSuspend(t, poller, server, 1)
	calls.epollCtl = 1 // makes the removal of the first descriptor from the epoll set fail
	resumed := mustResume(t, poller, first)
	second := mustSuspend(t, poller, resumed, 2)
	defer poller.CloseDescriptor(second)
	if second != first {
		t.Fatalf("precondition: the second suspension got descriptor %d, want %d again", second, first)
	}
	mustWrite(t, client, "a")
	waitForKey(t, poller, 2)
}

// A failed suspension must not harm the connection: it can be read from, and can be suspended later.
func TestSuspendErrors(t *testing.T) {
	errnos := []unix.Errno{unix.EMFILE, unix.ENFILE, unix.ENOMEM, unix.ENOSPC, unix.EINVAL}
	for _, tc := range []struct {
		call   string
		inject func(*faultyCalls)
	}{
		{"fcntl", func(calls *faultyCalls) { calls.duplicate = 1 }},
		{"epoll_ctl", func(calls *faultyCalls) { calls.epollCtl = 1 }},
	} {
		t.Run(tc.call, func(t *testing.T) {
			forEachErrno(t, errnos, func(t *testing.T, errno unix.Errno) {
				calls := newFaultyCalls(errno)
				poller := newPoller(t, &calls.SystemCalls)
				client, server := connect(t)
				tc.inject(calls)
				if _, err := poller.Suspend(server, 1); !errors.Is(err, errno) {
					t.Fatalf("Suspend returned error %v, want %v", err, errno)
				}
				mustWrite(t, client, "a")
				expectRead(t, server, "a")
				poller.CloseDescriptor(mustSuspend(t, poller, server, 1))
			})
		})
	}
}

// An interrupted or failed call of Wait must lose no event, because the event of a connection is reported only once.
func TestWaitErrors(t *testing.T) {
	forEachErrno(t, []unix.Errno{unix.EINTR, unix.ENOMEM}, func(t *testing.T, errno unix.Errno) {
		calls := newFaultyCalls(errno)
		poller := newPoller(t, &calls.SystemCalls)
		client, server := connect(t)
		fd := mustSuspend(t, poller, server, 7)
		defer poller.CloseDescriptor(fd)
		mustWrite(t, client, "a")
		awaitReadable(t, fd)
		const faults = 2
		calls.epollWait = faults
		if errno != unix.EINTR {
			for range faults {
				if _, err := poller.Wait(t.Context(), nil); !errors.Is(err, errno) {
					t.Fatalf("Wait returned error %v, want %v", err, errno)
				}
				if !poller.HasEvents() {
					t.Error("HasEvents is false after a failed Wait although an event is pending")
				}
			}
		}
		waitForKey(t, poller, 7)
	})
}

// If no second descriptor is available, Resume returns a connection that uses the suspended descriptor itself.
func TestResumeWithoutSecondDescriptor(t *testing.T) {
	errnos := []unix.Errno{unix.EMFILE, unix.ENFILE, unix.ENOMEM, unix.ENOBUFS, unix.ENOSPC, unix.EINVAL}
	forEachErrno(t, errnos, func(t *testing.T, errno unix.Errno) {
		calls := newFaultyCalls(errno)
		poller := newPoller(t, &calls.SystemCalls)
		client, server := connect(t)
		for range 2 { // the second round suspends the connection that the first round resumed
			fd := mustSuspend(t, poller, server, 1)
			mustWrite(t, client, "abc")
			calls.fileConn = 1
			server = mustResume(t, poller, fd)
			if _, ok := server.(fileConn); !ok {
				t.Fatalf("precondition: Resume returned a %T, want a fileConn", server)
			}
			expectRead(t, server, "abc")
			expectReadTimeout(t, server)
			buffers := net.Buffers{[]byte("d"), []byte("ef")}
			if _, err := buffers.WriteTo(server); err != nil {
				t.Error(err)
			}
			expectRead(t, client, "def")
		}
		if err := server.(fileConn).CloseWrite(); err != nil {
			t.Error(err)
		}
		expectEnd(t, client)
		neterr.Close(client)
		if _, err := server.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
			t.Errorf("read after the client closed: error %v, want %v", err, io.EOF)
		}
	})
}

// expectReadTimeout checks that a read returns a timeout error once its deadline has passed.
func expectReadTimeout(t *testing.T, conn net.Conn) {
	t.Helper()
	if err := conn.SetReadDeadline(time.Now().Add(20 * time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	if _, err := conn.Read(make([]byte, 1)); !isTimeout(err) {
		t.Errorf("read past its deadline: error %v, want a timeout", err)
	}
	if err := conn.SetReadDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
}

// A descriptor that cannot be resumed stays suspended and keeps its unread data. The caller can retry or close
// it.
func TestFailedResumeIsRetriedOrClosed(t *testing.T) {
	forEachErrno(t, []unix.Errno{unix.EMFILE, unix.ENOMEM, unix.ENOSPC}, func(t *testing.T, errno unix.Errno) {
		calls := newFaultyCalls(errno)
		poller := newPoller(t, &calls.SystemCalls)
		client, server := connect(t)
		fd := mustSuspend(t, poller, server, 1)
		mustWrite(t, client, "abc")
		awaitReadable(t, fd)
		const faults = 3
		calls.fileConn, calls.pollable = faults, faults
		for range faults {
			if _, err := poller.Resume(fd); !errors.Is(err, errno) {
				t.Fatalf("Resume returned error %v, want %v", err, errno)
			}
			if got := calls.Peek(fd); got != Data {
				t.Errorf("Peek after a failed Resume returned %d, want Data", got)
			}
		}
		resumed := mustResume(t, poller, fd)
		expectRead(t, resumed, "abc")

		fd = mustSuspend(t, poller, resumed, 2)
		calls.fileConn, calls.pollable = 1, 1
		if _, err := poller.Resume(fd); err == nil {
			t.Fatal("precondition: Resume succeeded, want it to fail")
		}
		poller.CloseDescriptor(fd)
		expectEnd(t, client)
	})
}

func BenchmarkSuspendResume(b *testing.B) {
	poller := newPoller(b, Kernel)
	_, server := connect(b)
	b.ReportAllocs()
	for b.Loop() {
		fd, err := poller.Suspend(server, 1)
		if err != nil {
			b.Fatal(err)
		}
		if server, err = poller.Resume(fd); err != nil {
			b.Fatal(err)
		}
	}
	neterr.Close(server)
}

func BenchmarkPeek(b *testing.B) {
	_, server := connect(b)
	fd := descriptorOf(b, server)
	b.ReportAllocs()
	for b.Loop() {
		Kernel.Peek(fd)
		Kernel.PeerClosed(fd)
		Kernel.Readable(fd)
	}
}
