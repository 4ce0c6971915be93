// Package poller holds connections that are idle as bare descriptors: no goroutine, no buffer, no net.Conn. A readiness
// set of its own (epoll) tells when something has come on one; it is made a connection again then. Where there is no
// epoll, New says so, and connections stay as they are.
package poller

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"

	"golang.org/x/sys/unix"
)

const maxEvents = 128

// Poller is one set of parked connections. Suspend, CloseDescriptor and Resume may be called by several goroutines.
type Poller struct {
	calls *SystemCalls
	file  *os.File // of the readiness set: waited for by Go's own poller, so that no thread hangs in it
	fd    int
	busy  atomic.Bool // what Wait gave is being seen to

	mu    sync.Mutex
	files map[int]*os.File // of descriptors that could not be resumed: as long as there is one it alone may close the descriptor
}

// New makes a poller.
func New() (*Poller, error) { return NewWithSystemCalls(Kernel) }

// NewWithSystemCalls makes a poller that makes its calls as it is told.
func NewWithSystemCalls(calls *SystemCalls) (*Poller, error) {
	fd, err := unix.EpollCreate1(unix.EPOLL_CLOEXEC)
	if err != nil {
		return nil, err
	}
	if err := unix.SetNonblock(fd, true); err != nil {
		unix.Close(fd)
		return nil, err
	}
	return &Poller{calls: calls, file: os.NewFile(uintptr(fd), "epoll"), fd: fd, files: map[int]*os.File{}}, nil
}

// Suspend takes a connection's descriptor and closes the connection; key comes back with what comes on it, at once if
// something has come already. From then on the caller owns the descriptor. With an error the connection is as it was.
func (p *Poller) Suspend(conn net.Conn, key uint64) (fd int, err error) {
	c, ok := conn.(syscall.Conn)
	if !ok {
		return 0, errors.New("no descriptor to park")
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, err
	}
	fd = -1
	if err := raw.Control(func(own uintptr) { fd, err = p.calls.Duplicate(int(own)) }); err != nil {
		return 0, err
	}
	if err != nil {
		return 0, err
	}
	// Before the connection is closed: where the system refuses, it stays as it was.
	if err := p.add(fd, key); err != nil {
		unix.Close(fd)
		return 0, err
	}
	// Closing the connection closes its own descriptor only: the socket lives on by the second one. It may end by an
	// error of its own; the second one tells of that.
	conn.Close()
	return fd, nil
}

// Watch tells when something comes on a connection that stays one: the way that docs/idle.md weighs against Suspend.
func (p *Poller) Watch(conn net.Conn, key uint64) error {
	c, ok := conn.(syscall.Conn)
	if !ok {
		return errors.New("no descriptor to watch")
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	var failed error
	err = raw.Control(func(fd uintptr) { failed = p.add(int(fd), key) })
	return errors.Join(err, failed)
}

// add has a descriptor told once.
func (p *Poller) add(fd int, key uint64) error {
	event := unix.EpollEvent{Events: unix.EPOLLIN | unix.EPOLLRDHUP | unix.EPOLLONESHOT, Fd: int32(uint32(key)), Pad: int32(uint32(key >> 32))}
	err := p.calls.EpollCtl(p.fd, unix.EPOLL_CTL_ADD, fd, &event)
	if errors.Is(err, unix.EEXIST) { // left from one that had its number, where taking that out failed
		err = p.calls.EpollCtl(p.fd, unix.EPOLL_CTL_MOD, fd, &event)
	}
	return err
}

// Wait waits until something has come on parked connections and gives their keys, each once. The slice is good until
// the next call.
func (p *Poller) Wait(ctx context.Context, keys []uint64) ([]uint64, error) {
	stop := context.AfterFunc(ctx, func() { p.file.Close() })
	defer stop()
	raw, err := p.file.SyscallConn()
	if err != nil {
		return nil, err
	}
	var events [maxEvents]unix.EpollEvent
	keys = keys[:0]
	var failed error
	err = raw.Read(func(fd uintptr) bool {
		p.busy.Store(true) // before it is known, so that there is no moment in which something has come unseen
		n, err := uninterrupted(func() (int, error) { return p.calls.EpollWait(int(fd), events[:], 0) })
		if err != nil {
			failed = err
			return true
		}
		for _, e := range events[:max(n, 0)] {
			keys = append(keys, uint64(uint32(e.Fd))|uint64(uint32(e.Pad))<<32)
		}
		if n <= 0 {
			p.busy.Store(false)
		}
		return n > 0
	})
	return keys, errors.Join(err, failed)
}

// HasEvents tells whether something has come on a parked connection that is not seen to: what Wait gave is, once it is called
// again.
func (p *Poller) HasEvents() bool {
	if p.busy.Load() {
		return true
	}
	return p.calls.Readable(p.fd)
}

// Resume makes a connection of a parked descriptor again. With an error the descriptor is the caller's as before, but nothing is told
// of it any more: it is to be resumed later, or closed.
func (p *Poller) Resume(fd int) (net.Conn, error) {
	// Closing does not take it out of the set, as the socket lives on by another descriptor: parked again under the same
	// number it was refused as known, and one in nine idle connections was closed at its second rest.
	p.Remove(fd)
	p.mu.Lock()
	file := p.files[fd]
	delete(p.files, fd)
	p.mu.Unlock()
	if file == nil {
		file = os.NewFile(uintptr(fd), "")
	}
	if file == nil {
		return nil, fmt.Errorf("descriptor %d", fd)
	}
	conn, err := p.calls.FileConn(file)
	switch {
	case err == nil:
		file.Close()
		return conn, nil
	case p.calls.Pollable(file):
		return fileConn{file}, nil
	}
	p.mu.Lock()
	p.files[fd] = file
	p.mu.Unlock()
	return nil, err
}

// Remove takes a descriptor out of the set: nothing is told of it any more. Where it is not in it nothing is to be done.
func (p *Poller) Remove(fd int) { p.calls.EpollCtl(p.fd, unix.EPOLL_CTL_DEL, fd, nil) }

// CloseDescriptor closes a parked connection. What close(2) says is not heeded: the descriptor is free either way.
func (p *Poller) CloseDescriptor(fd int) {
	p.mu.Lock()
	file := p.files[fd]
	delete(p.files, fd)
	p.mu.Unlock()
	if file != nil {
		file.Close()
		return
	}
	unix.Close(fd)
}
