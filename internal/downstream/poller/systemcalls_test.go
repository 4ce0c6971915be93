//go:build linux

package poller

import (
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// failing is the calls of the system, of which each can be made to fail with an error so many times.
type failing struct {
	SystemCalls
	fault     error
	duplicate int
	control   int
	wait      int
	receive   int
	poll      int
	connect   int
	unpolled  int
}

// fails counts a fault down.
func fails(left *int) bool {
	*left--
	return *left >= 0
}

func newFailing(fault error) *failing {
	f := &failing{fault: fault}
	f.SystemCalls = SystemCalls{
		Duplicate: func(fd int) (int, error) {
			if fails(&f.duplicate) {
				return -1, f.fault
			}
			return Kernel.Duplicate(fd)
		},
		EpollCtl: func(set, operation, fd int, event *unix.EpollEvent) error {
			if fails(&f.control) {
				return f.fault
			}
			return Kernel.EpollCtl(set, operation, fd, event)
		},
		EpollWait: func(set int, events []unix.EpollEvent, milliseconds int) (int, error) {
			if fails(&f.wait) {
				return -1, f.fault
			}
			return Kernel.EpollWait(set, events, milliseconds)
		},
		Receive: func(fd int, p []byte, flags int) (int, error) {
			if fails(&f.receive) {
				return -1, f.fault
			}
			return Kernel.Receive(fd, p, flags)
		},
		Poll: func(fds []unix.PollFd, milliseconds int) (int, error) {
			if fails(&f.poll) {
				return -1, f.fault
			}
			return Kernel.Poll(fds, milliseconds)
		},
		FileConn: func(file *os.File) (net.Conn, error) {
			if fails(&f.connect) {
				return nil, f.fault
			}
			return Kernel.FileConn(file)
		},
		Pollable: func(file *os.File) bool { return !fails(&f.unpolled) && Kernel.Pollable(file) },
	}
	return f
}

func descriptor(t *testing.T, conn net.Conn) int {
	t.Helper()
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	fd := -1
	raw.Control(func(own uintptr) { fd = int(own) })
	return fd
}

// Only what proves that the connection is over counts as its end.
func TestContentByError(t *testing.T) {
	for errno, want := range map[unix.Errno]PeekResult{unix.EAGAIN: NoData, unix.EINTR: Data, unix.ENOMEM: Undetermined, unix.ENOBUFS: Undetermined,
		unix.EIO: Undetermined, unix.EINVAL: Undetermined, unix.EFAULT: Undetermined, unix.EPERM: Undetermined, unix.ECONNRESET: EndOfStream, unix.ETIMEDOUT: EndOfStream,
		unix.EPIPE: EndOfStream, unix.ENOTCONN: EndOfStream, unix.ECONNREFUSED: EndOfStream, unix.EHOSTUNREACH: EndOfStream, unix.ENETUNREACH: EndOfStream,
		unix.EBADF: EndOfStream, unix.ENOTSOCK: EndOfStream} {
		client, server := pair(t)
		client.Write([]byte("abc"))
		time.Sleep(5 * time.Millisecond)
		calls := newFailing(errno)
		calls.receive = 1
		if got := calls.Peek(descriptor(t, server)); got != want {
			t.Errorf("%v: content %d, want %d", errno, got, want)
		}
		calls.receive = 1
		if ended := calls.Discard(descriptor(t, server)); ended != (want == EndOfStream) {
			t.Errorf("%v: drained to its end: %v", errno, ended)
		}
	}
}

// What can't be told is taken for what costs nobody a request: something may be there, and nobody has hung up.
func TestPollErrors(t *testing.T) {
	for _, errno := range []unix.Errno{unix.ENOMEM, unix.EINVAL, unix.EFAULT} {
		client, server := pair(t)
		client.Close()
		calls := newFailing(errno)
		calls.poll = 2
		if !calls.Readable(descriptor(t, server)) || calls.PeerClosed(descriptor(t, server)) {
			t.Errorf("%v: taken for an answer", errno)
		}
	}
	_, server := pair(t)
	calls := newFailing(unix.EINTR)
	calls.poll = 3
	if calls.Readable(descriptor(t, server)) {
		t.Error("interrupted, it is not asked again")
	}
}

// Without a second descriptor, or whatever else keeps a net.Conn from being made, the connection is one by its own.
func TestResumeWithoutASecondDescriptor(t *testing.T) {
	for _, errno := range []unix.Errno{unix.EMFILE, unix.ENFILE, unix.ENOMEM, unix.ENOBUFS, unix.ENOSPC, unix.EINVAL} {
		calls := newFailing(errno)
		poller, err := NewWithSystemCalls(&calls.SystemCalls)
		if err != nil {
			t.Fatal(err)
		}
		client, server := pair(t)
		client.SetDeadline(time.Now().Add(5 * time.Second))
		for range 2 { // parked again it is like any other
			fd, err := poller.Suspend(server, 1)
			if err != nil {
				t.Fatal(err)
			}
			client.Write([]byte("abc"))
			calls.connect = 1
			if server, err = poller.Resume(fd); err != nil {
				t.Fatalf("%v: %v", errno, err)
			}
			if _, ok := server.(fileConn); !ok {
				t.Fatalf("%T: the case is not one", server)
			}
			got := make([]byte, 3)
			if _, err := io.ReadFull(server, got); err != nil || string(got) != "abc" {
				t.Errorf("%q, %v", got, err)
			}
			server.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
			if _, err := server.Read(got); !errors.Is(err, os.ErrDeadlineExceeded) {
				t.Errorf("its deadline: %v", err)
			}
			server.SetReadDeadline(time.Time{})
			buffers := net.Buffers{[]byte("d"), []byte("ef")}
			if _, err := buffers.WriteTo(server); err != nil {
				t.Error(err)
			}
			if _, err := io.ReadFull(client, got); err != nil || string(got) != "def" {
				t.Errorf("%q, %v", got, err)
			}
		}
		if err := server.(fileConn).CloseWrite(); err != nil {
			t.Error(err)
		}
		if rest, err := io.ReadAll(client); err != nil || len(rest) > 0 {
			t.Errorf("its end: %q, %v", rest, err)
		}
		client.Close()
		if _, err := server.Read(make([]byte, 1)); err != io.EOF {
			t.Errorf("the client's end: %v", err)
		}
		server.Close()
	}
}

// A descriptor that the runtime's poller does not take either stays parked, with what has come on it.
func TestResumeLater(t *testing.T) {
	for _, errno := range []unix.Errno{unix.EMFILE, unix.ENOMEM, unix.ENOSPC} {
		calls := newFailing(errno)
		poller, err := NewWithSystemCalls(&calls.SystemCalls)
		if err != nil {
			t.Fatal(err)
		}
		client, server := pair(t)
		client.SetDeadline(time.Now().Add(5 * time.Second))
		fd, err := poller.Suspend(server, 1)
		if err != nil {
			t.Fatal(err)
		}
		client.Write([]byte("abc"))
		calls.connect, calls.unpolled = 3, 3
		for range 3 {
			if _, err := poller.Resume(fd); !errors.Is(err, errno) {
				t.Fatalf("%v: %v", errno, err)
			}
			if calls.Peek(fd) != Data {
				t.Errorf("%v: its request is lost", errno)
			}
		}
		again, err := poller.Resume(fd)
		if err != nil {
			t.Fatal(err)
		}
		got := make([]byte, 3)
		if _, err := io.ReadFull(again, got); err != nil || string(got) != "abc" {
			t.Errorf("%q, %v", got, err)
		}
		if fd, err = poller.Suspend(again, 2); err != nil {
			t.Fatal(err)
		}
		calls.connect, calls.unpolled = 1, 1
		if _, err := poller.Resume(fd); err == nil {
			t.Fatal("the case is not one")
		}
		poller.CloseDescriptor(fd)
		if rest, err := io.ReadAll(client); err != nil || len(rest) > 0 {
			t.Errorf("closed instead: %q, %v", rest, err)
		}
	}
}

// Where the system refuses what parking takes the connection is as it was, and its number can be parked later.
func TestParkErrors(t *testing.T) {
	for _, errno := range []unix.Errno{unix.EMFILE, unix.ENFILE, unix.ENOMEM, unix.ENOSPC, unix.EINVAL} {
		for _, call := range []string{"fcntl", "epoll_ctl"} {
			calls := newFailing(errno)
			poller, err := NewWithSystemCalls(&calls.SystemCalls)
			if err != nil {
				t.Fatal(err)
			}
			client, server := pair(t)
			if call == "fcntl" {
				calls.duplicate = 1
			} else {
				calls.control = 1
			}
			if _, err := poller.Suspend(server, 1); !errors.Is(err, errno) {
				t.Fatalf("%s %v: %v", call, errno, err)
			}
			client.Write([]byte("a"))
			if _, err := server.Read(make([]byte, 1)); err != nil {
				t.Errorf("%s %v: it is no connection any more: %v", call, errno, err)
			}
			fd, err := poller.Suspend(server, 1)
			if err != nil {
				t.Fatalf("%s %v: %v", call, errno, err)
			}
			poller.CloseDescriptor(fd)
		}
	}
}

// A number that could not be taken out of the set is told of under its new key.
func TestParkUnderANumberThatStayedInTheSet(t *testing.T) {
	calls := newFailing(unix.ENOMEM)
	poller, err := NewWithSystemCalls(&calls.SystemCalls)
	if err != nil {
		t.Fatal(err)
	}
	client, server := pair(t)
	fd, err := poller.Suspend(server, 1)
	if err != nil {
		t.Fatal(err)
	}
	calls.control = 1 // taking it out
	again, err := poller.Resume(fd)
	if err != nil {
		t.Fatal(err)
	}
	next, err := poller.Suspend(again, 2)
	if err != nil || next != fd {
		t.Fatalf("%v, descriptor %d after %d", err, next, fd)
	}
	client.Write([]byte("a"))
	if keys, err := poller.Wait(t.Context(), nil); err != nil || len(keys) != 1 || keys[0] != 2 {
		t.Errorf("%v, %v", keys, err)
	}
	poller.CloseDescriptor(next)
}

// A wait that is interrupted, or fails for a moment, loses nothing of what it had to tell.
func TestWaitErrors(t *testing.T) {
	for _, errno := range []unix.Errno{unix.EINTR, unix.ENOMEM} {
		calls := newFailing(errno)
		poller, err := NewWithSystemCalls(&calls.SystemCalls)
		if err != nil {
			t.Fatal(err)
		}
		client, server := pair(t)
		fd, err := poller.Suspend(server, 7)
		if err != nil {
			t.Fatal(err)
		}
		client.Write([]byte("a"))
		time.Sleep(5 * time.Millisecond)
		calls.wait = 2
		keys, err := poller.Wait(t.Context(), nil)
		for tries := 0; err != nil && tries < 2; tries++ {
			if !errors.Is(err, errno) || errno == unix.EINTR {
				t.Fatal(err)
			}
			keys, err = poller.Wait(t.Context(), nil)
		}
		if err != nil || len(keys) != 1 || keys[0] != 7 {
			t.Errorf("%v: %v, %v", errno, keys, err)
		}
		poller.CloseDescriptor(fd)
	}
}
