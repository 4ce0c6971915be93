package poller

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"

	"tealpath/internal/neterr"

	"golang.org/x/sys/unix"
)

// MaxEvents is the maximum number of keys that one call of Wait returns. If Wait returns that many, more
// events may be pending.
const MaxEvents = 128

// Poller is an epoll set of suspended connections. Only one goroutine may call Wait. All other methods are
// safe for concurrent use.
type Poller struct {
	calls *SystemCalls

	// file is the epoll set. Go's runtime poller waits for it, so that no thread blocks in epoll_wait.
	file *os.File
	fd   int // descriptor of the epoll set

	// handling is true while events that Wait has returned may still have to be handled. Wait sets it before it asks
	// the kernel for events, and clears it when the kernel has returned none.
	handling atomic.Bool

	// unresumed maps each descriptor that could not be resumed to its file. The descriptor must be closed
	// through that file: otherwise the file's finalizer could later close a different descriptor with the same
	// number.
	unresumed map[int]*os.File // guarded by mu
	mu        sync.Mutex
}

// New returns a poller without suspended connections, which makes the real system calls.
func New() (*Poller, error) { return NewWithSystemCalls(Kernel) }

// NewWithSystemCalls returns a poller that uses the given system calls. Tests use it to make calls fail.
func NewWithSystemCalls(calls *SystemCalls) (*Poller, error) {
	fd, err := unix.EpollCreate1(unix.EPOLL_CLOEXEC)
	if err != nil {
		return nil, fmt.Errorf("create an epoll set: %w", err)
	}
	if err := unix.SetNonblock(fd, true); err != nil {
		closeDescriptor(fd)
		return nil, fmt.Errorf("make epoll descriptor %d non-blocking: %w", fd, err)
	}
	return &Poller{
		calls:     calls,
		file:      os.NewFile(uintptr(fd), "epoll"),
		fd:        fd,
		unresumed: map[int]*os.File{},
	}, nil
}

// Suspend closes a connection but keeps its socket open through a duplicate descriptor, which the caller owns
// from then on. Wait returns key as soon as the descriptor is readable. If Suspend fails, the connection is
// unchanged.
func (p *Poller) Suspend(conn net.Conn, key uint64) (fd int, err error) {
	var duplicateErr error
	err = Control(conn, func(own uintptr) { fd, duplicateErr = p.calls.Duplicate(int(own)) })
	if err := errors.Join(err, duplicateErr); err != nil {
		return 0, fmt.Errorf("duplicate the descriptor of a connection: %w", err)
	}
	// The connection is closed last, because it could not be reopened if the kernel refused to watch the descriptor.
	if err := p.register(fd, key); err != nil {
		closeDescriptor(fd)
		return 0, err
	}
	neterr.Close(conn)
	return fd, nil
}

// Watch makes Wait return key once data can be read from a connection that is not suspended. It exists for the
// comparison with Suspend in docs/idle.md.
func (p *Poller) Watch(conn net.Conn, key uint64) error {
	var registerErr error
	err := Control(conn, func(fd uintptr) { registerErr = p.register(int(fd), key) })
	return errors.Join(err, registerErr)
}

// register adds a descriptor to the epoll set. The first event on it is reported under key, and no further ones.
func (p *Poller) register(fd int, key uint64) error {
	event := newEvent(key)
	err := p.calls.EpollCtl(p.fd, unix.EPOLL_CTL_ADD, fd, &event)
	if errors.Is(err, unix.EEXIST) {
		// An earlier descriptor with the same number is still in the set because its removal failed.
		err = p.calls.EpollCtl(p.fd, unix.EPOLL_CTL_MOD, fd, &event)
	}
	if err != nil {
		return fmt.Errorf("add descriptor %d to the epoll set: %w", fd, err)
	}
	return nil
}

// newEvent returns the event to register in the epoll set under a key. The key occupies both fields that the kernel
// returns unchanged.
func newEvent(key uint64) unix.EpollEvent {
	return unix.EpollEvent{
		Events: unix.EPOLLIN | unix.EPOLLRDHUP | unix.EPOLLONESHOT,
		Fd:     int32(uint32(key)),
		Pad:    int32(uint32(key >> 32)),
	}
}

// keyOf returns the key under which the descriptor of an event was registered.
func keyOf(event *unix.EpollEvent) uint64 {
	return uint64(uint32(event.Fd)) | uint64(uint32(event.Pad))<<32
}

// Wait blocks until suspended connections are readable and returns their keys without duplicates. It
// overwrites keys, which may be the result of the previous call. Once the context ends, the poller can no
// longer be used.
func (p *Poller) Wait(ctx context.Context, keys []uint64) ([]uint64, error) {
	stop := context.AfterFunc(ctx, func() { neterr.Close(p.file) })
	defer stop()
	raw, err := p.file.SyscallConn()
	if err != nil {
		return nil, err
	}
	keys = keys[:0]
	var events [MaxEvents]unix.EpollEvent
	var waitErr error
	readErr := raw.Read(func(uintptr) (done bool) {
		var count int
		count, waitErr = p.collect(events[:])
		for i := range events[:count] {
			keys = append(keys, keyOf(&events[i]))
		}
		return count > 0 || waitErr != nil
	})
	return keys, errors.Join(readErr, waitErr)
}

// collect stores pending events of the epoll set in events and returns their number, which is 0 if there are none. It
// does not block.
func (p *Poller) collect(events []unix.EpollEvent) (count int, err error) {
	// Set before the kernel returns the events, so that HasEvents never misses them.
	p.handling.Store(true)
	count, err = retryInterrupted(func() (int, error) { return p.calls.EpollWait(p.fd, events, 0) })
	if err != nil {
		return 0, fmt.Errorf("wait for events of epoll descriptor %d: %w", p.fd, err)
	}
	if count <= 0 {
		p.handling.Store(false)
		return 0, nil
	}
	return count, nil
}

// Pending reports whether a call of Wait would return at once.
func (p *Poller) Pending() bool { return p.calls.Readable(p.fd) }

// HasEvents reports whether a suspended connection can be read from and has not been handled yet. The connections
// whose keys a call of Wait returns count as handled once Wait is called again.
func (p *Poller) HasEvents() bool {
	return p.handling.Load() || p.calls.Readable(p.fd)
}

// Resume turns a suspended descriptor back into a net.Conn. If Resume fails, the caller still owns the
// descriptor, but Wait no longer returns its key: the caller has to retry later or close the descriptor.
func (p *Poller) Resume(fd int) (net.Conn, error) {
	// Closing the descriptor would not remove it from the epoll set, because the resumed connection keeps the
	// socket open. The set would still contain its number when another suspended connection gets it.
	p.Remove(fd)
	file := p.takeUnresumed(fd)
	if file == nil {
		file = os.NewFile(uintptr(fd), "")
	}
	if file == nil {
		return nil, fmt.Errorf("%w %d", ErrInvalidDescriptor, fd)
	}
	conn, err := p.calls.FileConn(file)
	if err == nil {
		neterr.Close(file)
		return conn, nil
	}
	if p.calls.Pollable(file) {
		return fileConn{file}, nil
	}
	p.storeUnresumed(fd, file)
	return nil, fmt.Errorf("resume descriptor %d: %w", fd, err)
}

// storeUnresumed keeps the file of a descriptor that could not be resumed, for the next try or for closing it.
func (p *Poller) storeUnresumed(fd int, file *os.File) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unresumed[fd] = file
}

// takeUnresumed removes and returns the file of a descriptor that could not be resumed earlier, or nil if
// there is none.
func (p *Poller) takeUnresumed(fd int) *os.File {
	p.mu.Lock()
	defer p.mu.Unlock()
	file := p.unresumed[fd]
	delete(p.unresumed, fd)
	return file
}

// Remove removes a descriptor from the epoll set, so that Wait no longer returns its key. It has no effect on
// a descriptor that is not in the set. If the kernel fails to remove a descriptor, register replaces its key
// when the number is reused.
func (p *Poller) Remove(fd int) { _ = p.calls.EpollCtl(p.fd, unix.EPOLL_CTL_DEL, fd, nil) }

// CloseDescriptor closes a suspended connection, whether or not an attempt to resume it has failed.
func (p *Poller) CloseDescriptor(fd int) {
	if file := p.takeUnresumed(fd); file != nil {
		neterr.Close(file)
		return
	}
	closeDescriptor(fd)
}

// closeDescriptor closes a descriptor and ignores the error, as neterr.Close does. Reads and writes on other
// descriptors of the same socket still return any error of the socket.
func closeDescriptor(fd int) { _ = unix.Close(fd) }
