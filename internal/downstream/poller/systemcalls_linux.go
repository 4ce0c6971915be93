package poller

import (
	"errors"
	"net"
	"os"
	"time"

	"tealpath/internal/neterr"

	"golang.org/x/sys/unix"
)

// SystemCalls are the system calls that suspending and resuming connections need. Tests replace some of them
// to make them fail.
type SystemCalls struct {
	Duplicate func(fd int) (int, error)
	EpollCtl  func(set, operation, fd int, event *unix.EpollEvent) error
	EpollWait func(set int, events []unix.EpollEvent, milliseconds int) (int, error)
	Receive   func(fd int, buffer []byte, flags int) (int, error)
	Poll      func(descriptors []unix.PollFd, milliseconds int) (int, error)
	FileConn  func(file *os.File) (net.Conn, error) // like net.FileConn: duplicates the file's descriptor
	Pollable  func(file *os.File) bool              // whether Go's runtime poller can wait for the file
}

// Kernel holds the system calls of the operating system, none of them replaced.
var Kernel = &SystemCalls{
	Duplicate: func(fd int) (int, error) { return unix.FcntlInt(uintptr(fd), unix.F_DUPFD_CLOEXEC, 0) },
	EpollCtl:  unix.EpollCtl,
	EpollWait: unix.EpollWait,
	Receive: func(fd int, buffer []byte, flags int) (int, error) {
		n, _, err := unix.Recvfrom(fd, buffer, flags)
		return n, err
	},
	Poll:     unix.Poll,
	FileConn: net.FileConn,
	Pollable: func(file *os.File) bool { return file.SetDeadline(time.Time{}) == nil },
}

// retryInterrupted repeats a system call while it fails with EINTR.
func retryInterrupted(call func() (int, error)) (int, error) {
	for {
		n, err := call()
		if !errors.Is(err, unix.EINTR) {
			return n, err
		}
	}
}

// Peek reports what can be read from a descriptor: data, nothing yet or the end of the stream. It reads nothing.
func (c *SystemCalls) Peek(fd int) PeekResult {
	var buffer [1]byte
	n, err := retryInterrupted(func() (int, error) {
		return c.Receive(fd, buffer[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	switch {
	case err == nil && n == 0:
		return EndOfStream
	case err == nil:
		return Data
	case errors.Is(err, unix.EAGAIN):
		return NoData
	case neterr.IsConnectionEnded(err):
		return EndOfStream
	}
	return Undetermined
}

const (
	discardBuffer = 4 << 10  // bytes read at a time by Discard
	maxDiscard    = 32 << 10 // maximum bytes dropped by one call of Discard, so that no peer can keep it busy
)

// Discard reads and drops up to maxDiscard bytes from a descriptor. It reports whether the peer has closed its
// sending side or the connection has failed.
func (c *SystemCalls) Discard(fd int) (ended bool) {
	buffer := make([]byte, discardBuffer)
	for range maxDiscard / discardBuffer {
		n, err := retryInterrupted(func() (int, error) { return c.Receive(fd, buffer, unix.MSG_DONTWAIT) })
		if err != nil {
			return neterr.IsConnectionEnded(err)
		}
		if n == 0 {
			return true
		}
	}
	return false
}

// Readable reports whether a connection can be read from or a listener has a connection to accept. It also
// returns true if the kernel cannot tell.
func (c *SystemCalls) Readable(fd int) bool {
	ready, err := c.pollOnce(&unix.PollFd{Fd: int32(fd), Events: unix.POLLIN})
	return ready || err != nil
}

// PeerClosed reports whether the peer is known to have closed its sending side, even if unread data precedes
// the end of the stream.
func (c *SystemCalls) PeerClosed(fd int) bool {
	const closed = unix.POLLRDHUP | unix.POLLHUP | unix.POLLERR
	polled := unix.PollFd{Fd: int32(fd), Events: unix.POLLRDHUP}
	ready, err := c.pollOnce(&polled)
	return ready && err == nil && polled.Revents&closed != 0
}

// pollOnce reports, without blocking, whether one of the events in polled.Events, an error or a hang-up is pending,
// and sets polled.Revents.
func (c *SystemCalls) pollOnce(polled *unix.PollFd) (ready bool, err error) {
	descriptors := []unix.PollFd{*polled}
	n, err := retryInterrupted(func() (int, error) { return c.Poll(descriptors, 0) })
	*polled = descriptors[0]
	return n > 0, err
}

// CloseWrite half-closes a suspended connection: the peer sees the end of the stream and may still send. It
// fails only if the peer has disconnected, so the error is ignored.
func CloseWrite(fd int) { _ = unix.Shutdown(fd, unix.SHUT_WR) }
