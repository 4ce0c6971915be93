package poller

import (
	"errors"
	"net"
	"os"
	"time"

	"golang.org/x/sys/unix"

	"tealpath/internal/neterr"
)

// SystemCalls are the calls of the system that resting connections take. Tests put errors in their place.
type SystemCalls struct {
	Duplicate func(fd int) (int, error)
	EpollCtl  func(set, operation, fd int, event *unix.EpollEvent) error
	EpollWait func(set int, events []unix.EpollEvent, milliseconds int) (int, error)
	Receive   func(fd int, p []byte, flags int) (int, error)
	Poll      func(fds []unix.PollFd, milliseconds int) (int, error)
	FileConn  func(file *os.File) (net.Conn, error) // a connection of a duplicate of a socket's descriptor
	Pollable  func(file *os.File) bool              // whether the runtime's own poller has taken the file
}

// Kernel is the calls as the system has them.
var Kernel = &SystemCalls{
	Duplicate: func(fd int) (int, error) { return unix.FcntlInt(uintptr(fd), unix.F_DUPFD_CLOEXEC, 0) },
	EpollCtl:  unix.EpollCtl,
	EpollWait: unix.EpollWait,
	Receive: func(fd int, p []byte, flags int) (int, error) {
		n, _, err := unix.Recvfrom(fd, p, flags)
		return n, err
	},
	Poll:     unix.Poll,
	FileConn: net.FileConn,
	Pollable: func(file *os.File) bool { return file.SetDeadline(time.Time{}) == nil },
}

// uninterrupted makes a call again for as long as signals interrupt it.
func uninterrupted(call func() (int, error)) (int, error) {
	for {
		n, err := call()
		if !errors.Is(err, unix.EINTR) {
			return n, err
		}
	}
}

// Peek tells what is on a descriptor.
func (c *SystemCalls) Peek(fd int) PeekResult {
	var one [1]byte
	n, err := uninterrupted(func() (int, error) { return c.Receive(fd, one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT) })
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

// maxDiscard is how much is read of what nobody waits for, at a time.
const maxDiscard = 32 << 10

// Discard reads and throws away what has come on a descriptor, some of it at a time, and tells whether the other side has ended.
func (c *SystemCalls) Discard(fd int) (ended bool) {
	buffer := make([]byte, 4<<10)
	for range maxDiscard / len(buffer) {
		n, err := uninterrupted(func() (int, error) { return c.Receive(fd, buffer, unix.MSG_DONTWAIT) })
		switch {
		case err != nil:
			return neterr.IsEnd(err)
		case n == 0:
			return true
		}
	}
	return false
}

// Readable tells whether a descriptor can be read from, or a listener accepted from, or whether that can't be told.
func (c *SystemCalls) Readable(fd int) bool {
	n, err := uninterrupted(func() (int, error) { return c.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0) })
	return err != nil || n > 0
}

// PeerClosed tells whether the other side of a descriptor is known to have closed, be it behind bytes that are not read yet.
func (c *SystemCalls) PeerClosed(fd int) bool {
	polled := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	n, err := uninterrupted(func() (int, error) { return c.Poll(polled, 0) })
	return err == nil && n > 0 && polled[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}

// CloseWrite half-closes a parked connection: its other side sees the end and may still be read from. Where that fails, as the other
// side has gone, there is nobody to be told.
func CloseWrite(fd int) { unix.Shutdown(fd, unix.SHUT_WR) }
