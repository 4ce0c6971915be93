// Package park holds connections that are idle as bare descriptors: no goroutine, no buffer, no net.Conn. A readiness
// set of its own (epoll) tells when something has come on one; it is made a connection again then. Where there is no
// epoll, New says so, and connections stay as they are.
package park

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"syscall"

	"golang.org/x/sys/unix"
)

const eventsMost = 128

// Lot is one set of parked connections. Park, Close and Resume may be called by several goroutines.
type Lot struct {
	file *os.File // of the readiness set: waited for by Go's own poller, so that no thread hangs in it
	fd   int
	busy atomic.Bool // what Wait gave is being seen to
}

// New makes a lot.
func New() (*Lot, error) {
	fd, err := unix.EpollCreate1(unix.EPOLL_CLOEXEC)
	if err != nil {
		return nil, err
	}
	if err := unix.SetNonblock(fd, true); err != nil {
		unix.Close(fd)
		return nil, err
	}
	return &Lot{file: os.NewFile(uintptr(fd), "epoll"), fd: fd}, nil
}

// Park takes a connection's descriptor and closes the connection; key comes back with what comes on it, at once if
// something has come already. From then on the caller owns the descriptor. With an error the connection is as it was.
func (l *Lot) Park(conn net.Conn, key uint64) (fd int, err error) {
	c, ok := conn.(syscall.Conn)
	if !ok {
		return 0, errors.New("no descriptor to park")
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, err
	}
	fd = -1
	if err := raw.Control(func(own uintptr) { fd, err = unix.FcntlInt(own, unix.F_DUPFD_CLOEXEC, 0) }); err != nil {
		return 0, err
	}
	if err != nil {
		return 0, err
	}
	// Before the connection is closed: where the system refuses, it stays as it was.
	if err := l.add(fd, key); err != nil {
		unix.Close(fd)
		return 0, err
	}
	// Closing the connection closes its own descriptor only: the socket lives on by the second one. It may end by an
	// error of its own; the second one tells of that.
	conn.Close()
	return fd, nil
}

// Watch tells when something comes on a connection that stays one: the way that docs/idle.md weighs against Park.
func (l *Lot) Watch(conn net.Conn, key uint64) error {
	c, ok := conn.(syscall.Conn)
	if !ok {
		return errors.New("no descriptor to watch")
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	var failed error
	err = raw.Control(func(fd uintptr) { failed = l.add(int(fd), key) })
	return errors.Join(err, failed)
}

// add has a descriptor told once.
func (l *Lot) add(fd int, key uint64) error {
	event := unix.EpollEvent{Events: unix.EPOLLIN | unix.EPOLLRDHUP | unix.EPOLLONESHOT, Fd: int32(uint32(key)), Pad: int32(uint32(key >> 32))}
	return unix.EpollCtl(l.fd, unix.EPOLL_CTL_ADD, fd, &event)
}

// Wait waits until something has come on parked connections and gives their keys, each once. The slice is good until
// the next call.
func (l *Lot) Wait(ctx context.Context, keys []uint64) ([]uint64, error) {
	stop := context.AfterFunc(ctx, func() { l.file.Close() })
	defer stop()
	raw, err := l.file.SyscallConn()
	if err != nil {
		return nil, err
	}
	var events [eventsMost]unix.EpollEvent
	keys = keys[:0]
	var failed error
	err = raw.Read(func(fd uintptr) bool {
		l.busy.Store(true) // before it is known, so that there is no moment in which something has come unseen
		n, err := unix.EpollWait(int(fd), events[:], 0)
		if err != nil && !errors.Is(err, unix.EINTR) {
			failed = err
			return true
		}
		for _, e := range events[:max(n, 0)] {
			keys = append(keys, uint64(uint32(e.Fd))|uint64(uint32(e.Pad))<<32)
		}
		if n <= 0 {
			l.busy.Store(false)
		}
		return n > 0
	})
	return keys, errors.Join(err, failed)
}

// Ready tells whether something has come on a parked connection that is not seen to: what Wait gave is, once it is called
// again.
func (l *Lot) Ready() bool {
	if l.busy.Load() {
		return true
	}
	return Readable(l.fd)
}

// Resume makes a connection of a parked descriptor again, which is closed either way.
func (l *Lot) Resume(fd int) (net.Conn, error) {
	// Closing does not take it out of the set, as the socket lives on by another descriptor: parked again under the same
	// number it was refused as known, and one in nine idle connections was closed at its second rest.
	unix.EpollCtl(l.fd, unix.EPOLL_CTL_DEL, fd, nil)
	file := os.NewFile(uintptr(fd), "")
	if file == nil {
		return nil, fmt.Errorf("descriptor %d", fd)
	}
	defer file.Close()
	return net.FileConn(file)
}

// Came tells what is on a parked connection: bytes, its end, or nothing.
func Came(fd int) (some, ended bool) {
	var one [1]byte
	n, _, err := unix.Recvfrom(fd, one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	switch {
	case err == nil && n == 0:
		return false, true
	case err == nil:
		return true, false
	case errors.Is(err, unix.EAGAIN), errors.Is(err, unix.EINTR):
		return false, false
	}
	return false, true
}

// Forget takes a descriptor out of the set: nothing is told of it any more.
func (l *Lot) Forget(fd int) { unix.EpollCtl(l.fd, unix.EPOLL_CTL_DEL, fd, nil) }

// Shut half-closes a parked connection: its other side sees the end and may still be read from.
func Shut(fd int) { unix.Shutdown(fd, unix.SHUT_WR) }

// drainMost is how much is read of what nobody waits for, at a time.
const drainMost = 32 << 10

// Drain reads and throws away what has come on a descriptor, some of it at a time, and tells whether the other side has ended.
func Drain(fd int) (ended bool) {
	buffer := make([]byte, 4<<10)
	for range drainMost / len(buffer) {
		n, _, err := unix.Recvfrom(fd, buffer, unix.MSG_DONTWAIT)
		switch {
		case errors.Is(err, unix.EAGAIN), errors.Is(err, unix.EINTR):
			return false
		case err != nil || n == 0:
			return true
		}
	}
	return false
}

// Readable tells whether a descriptor can be read from, or a listener accepted from.
func Readable(fd int) bool {
	n, err := unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
	return err == nil && n > 0
}

// HungUp tells whether the other side of a descriptor has closed, be it behind bytes that are not read yet.
func HungUp(fd int) bool {
	polled := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	n, err := unix.Poll(polled, 0)
	return err == nil && n > 0 && polled[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}

// Close closes a parked connection.
func Close(fd int) { unix.Close(fd) }
