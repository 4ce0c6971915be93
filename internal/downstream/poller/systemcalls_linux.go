package poller

import (
	"errors"
	"net"
	"os"
	"time"

	"tealpath/internal/neterr"

	"golang.org/x/sys/unix"
)

// SystemCalls are the system calls that suspended connections take. Tests replace some to make them fail.
type SystemCalls struct {
	Duplicate func(fd int) (int, error)
	EpollCtl  func(set, operation, fd int, event *unix.EpollEvent) error
	EpollWait func(set int, events []unix.EpollEvent, milliseconds int) (int, error)
	Receive   func(fd int, buffer []byte, flags int) (int, error)
	Poll      func(descriptors []unix.PollFd, milliseconds int) (int, error)
	FileConn  func(file *os.File) (net.Conn, error) // as net.FileConn: takes a descriptor of its own
	Pollable  func(file *os.File) bool              // whether Go's own poller waits for the file
}

// Kernel are the system calls of this machine.
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

// retryInterrupted makes a system call again for as long as a signal interrupts it.
func retryInterrupted(call func() (int, error)) (int, error) {
	for {
		n, err := call()
		if !errors.Is(err, unix.EINTR) {
			return n, err
		}
	}
}

// Peek says what reading from a descriptor would give, and leaves it unread.
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
	case neterr.IsEnd(err):
		return EndOfStream
	}
	return Undetermined
}

const (
	discardBuffer = 4 << 10  // bytes that Discard reads at once
	maxDiscard    = 32 << 10 // bytes that one call of Discard reads at most, so that no peer can keep it busy
)

// Discard reads what has been received on a descriptor and throws it away, up to maxDiscard bytes. It says
// whether the peer has closed or the connection has failed.
func (c *SystemCalls) Discard(fd int) (ended bool) {
	buffer := make([]byte, discardBuffer)
	for range maxDiscard / discardBuffer {
		n, err := retryInterrupted(func() (int, error) { return c.Receive(fd, buffer, unix.MSG_DONTWAIT) })
		if err != nil {
			return neterr.IsEnd(err)
		}
		if n == 0 {
			return true
		}
	}
	return false
}

// Readable says whether a descriptor can be read from, or a listener accepted from. It is true if the kernel
// cannot say.
func (c *SystemCalls) Readable(fd int) bool {
	ready, err := c.pollOnce(&unix.PollFd{Fd: int32(fd), Events: unix.POLLIN})
	return ready || err != nil
}

// PeerClosed says whether the peer is known to have closed, even if something that it sent before is not read
// yet.
func (c *SystemCalls) PeerClosed(fd int) bool {
	const closed = unix.POLLRDHUP | unix.POLLHUP | unix.POLLERR
	polled := unix.PollFd{Fd: int32(fd), Events: unix.POLLRDHUP}
	ready, err := c.pollOnce(&polled)
	return ready && err == nil && polled.Revents&closed != 0
}

// pollOnce asks for the events of one descriptor without waiting for them.
func (c *SystemCalls) pollOnce(polled *unix.PollFd) (ready bool, err error) {
	descriptors := []unix.PollFd{*polled}
	n, err := retryInterrupted(func() (int, error) { return c.Poll(descriptors, 0) })
	*polled = descriptors[0]
	return n > 0, err
}

// CloseWrite half-closes a suspended connection: the peer sees its end and may still send. It fails only if the
// peer has gone, and then there is nobody to notify.
func CloseWrite(fd int) { _ = unix.Shutdown(fd, unix.SHUT_WR) }
