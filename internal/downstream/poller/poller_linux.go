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

// MaxEvents is how many keys Wait returns at most. When it returns that many there may be more.
const MaxEvents = 128

// Poller is an epoll set with suspended connections. Wait is for one goroutine; Suspend, Resume,
// CloseDescriptor and the other methods may be called by several at the same time.
type Poller struct {
	calls *SystemCalls

	// file is the epoll set. It is waited for by Go's own poller, so that no thread blocks in epoll_wait.
	file *os.File
	fd   int // of file

	// handling is set from before Wait learns of events until it is called again and finds none.
	handling atomic.Bool

	// unresumed holds the file of each descriptor that could not be resumed, by descriptor. Only that file may
	// close the descriptor, as its finalizer would otherwise close whatever has the same number by then.
	unresumed map[int]*os.File // guarded by mu
	mu        sync.Mutex
}

// New returns a poller without connections.
func New() (*Poller, error) { return NewWithSystemCalls(Kernel) }

// NewWithSystemCalls is New with system calls of the caller's. Tests use it to make calls fail.
func NewWithSystemCalls(calls *SystemCalls) (*Poller, error) {
	fd, err := unix.EpollCreate1(unix.EPOLL_CLOEXEC)
	if err != nil {
		return nil, err
	}
	if err := unix.SetNonblock(fd, true); err != nil {
		closeDescriptor(fd)
		return nil, err
	}
	return &Poller{
		calls:     calls,
		file:      os.NewFile(uintptr(fd), "epoll"),
		fd:        fd,
		unresumed: map[int]*os.File{},
	}, nil
}

// Suspend closes a connection but keeps its socket open by a second descriptor, which the caller owns from then
// on. Wait returns key once something can be read from it, or at once if that is so already. After an error the
// connection is as it was.
func (p *Poller) Suspend(conn net.Conn, key uint64) (fd int, err error) {
	var duplicateErr error
	err = Control(conn, func(own uintptr) { fd, duplicateErr = p.calls.Duplicate(int(own)) })
	if err := errors.Join(err, duplicateErr); err != nil {
		return 0, err
	}
	// The connection is closed last, as it cannot be had back if the kernel refuses to watch the descriptor.
	if err := p.register(fd, key); err != nil {
		closeDescriptor(fd)
		return 0, err
	}
	neterr.Close(conn)
	return fd, nil
}

// Watch has Wait return key once something can be read from a connection that stays a net.Conn. It serves the
// comparison with Suspend in docs/idle.md.
func (p *Poller) Watch(conn net.Conn, key uint64) error {
	var registerErr error
	err := Control(conn, func(fd uintptr) { registerErr = p.register(int(fd), key) })
	return errors.Join(err, registerErr)
}

// register adds a descriptor to the epoll set, for one event.
func (p *Poller) register(fd int, key uint64) error {
	event := newEvent(key)
	err := p.calls.EpollCtl(p.fd, unix.EPOLL_CTL_ADD, fd, &event)
	if errors.Is(err, unix.EEXIST) {
		// An earlier descriptor with the same number could not be removed.
		err = p.calls.EpollCtl(p.fd, unix.EPOLL_CTL_MOD, fd, &event)
	}
	return err
}

// newEvent returns what epoll is asked for. The key takes both fields that epoll gives back as they are.
func newEvent(key uint64) unix.EpollEvent {
	return unix.EpollEvent{
		Events: unix.EPOLLIN | unix.EPOLLRDHUP | unix.EPOLLONESHOT,
		Fd:     int32(uint32(key)),
		Pad:    int32(uint32(key >> 32)),
	}
}

// keyOf returns the key of an event.
func keyOf(event *unix.EpollEvent) uint64 {
	return uint64(uint32(event.Fd)) | uint64(uint32(event.Pad))<<32
}

// Wait waits until something can be read from suspended connections and returns their keys, each one once. keys
// is overwritten and may be the result of the call before. When the context ends the poller does not work any
// more.
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

// collect asks epoll for events without waiting for them.
func (p *Poller) collect(events []unix.EpollEvent) (count int, err error) {
	// Set before the kernel returns the events, so that HasEvents reports them at any moment.
	p.handling.Store(true)
	count, err = retryInterrupted(func() (int, error) { return p.calls.EpollWait(p.fd, events, 0) })
	if err != nil {
		return 0, err
	}
	if count <= 0 {
		p.handling.Store(false)
		return 0, nil
	}
	return count, nil
}

// HasEvents says whether something can be read from a suspended connection and is not handled yet. What Wait
// has returned is handled when Wait is called again.
func (p *Poller) HasEvents() bool {
	return p.handling.Load() || p.calls.Readable(p.fd)
}

// Resume makes a net.Conn of a suspended descriptor. After an error the caller still owns the descriptor, but
// Wait returns its key no more: the caller tries again later, or closes it.
func (p *Poller) Resume(fd int) (net.Conn, error) {
	// Closing the descriptor would not take it out of the set, since the connection keeps the socket open. Its
	// number would still be there when it is used for another suspended connection.
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
	return nil, err
}

// storeUnresumed keeps the file of a descriptor that could not be resumed.
func (p *Poller) storeUnresumed(fd int, file *os.File) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unresumed[fd] = file
}

// takeUnresumed removes and returns the file of a descriptor that could not be resumed before; nil is none.
func (p *Poller) takeUnresumed(fd int) *os.File {
	p.mu.Lock()
	defer p.mu.Unlock()
	file := p.unresumed[fd]
	delete(p.unresumed, fd)
	return file
}

// Remove takes a descriptor out of the epoll set: Wait returns its key no more. It has no effect on one that is
// not in the set. If the kernel fails to remove one, register replaces its key when the number is used again.
func (p *Poller) Remove(fd int) { _ = p.calls.EpollCtl(p.fd, unix.EPOLL_CTL_DEL, fd, nil) }

// CloseDescriptor closes a suspended connection.
func (p *Poller) CloseDescriptor(fd int) {
	if file := p.takeUnresumed(fd); file != nil {
		neterr.Close(file)
		return
	}
	closeDescriptor(fd)
}

// closeDescriptor closes a bare descriptor and ignores the error, as neterr.Close does. If the socket has an
// error, reads and writes of its other descriptors return it too.
func closeDescriptor(fd int) { _ = unix.Close(fd) }
