package descriptors

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"

	"tealpath/internal/downstream/poller"
)

// waitInGoroutines has a goroutine wait for each connection, without a buffer.
func waitInGoroutines(_ context.Context, conns []net.Conn, received chan<- int) (func(), error) {
	for i, conn := range conns {
		socket, ok := conn.(syscall.Conn)
		if !ok {
			return nil, errors.ErrUnsupported
		}
		raw, err := socket.SyscallConn()
		if err != nil {
			return nil, err
		}
		go func() {
			if waitUntilReadable(raw) == nil {
				received <- i
			}
		}()
	}
	return func() { closeQuietly(conns...) }, nil
}

// waitUntilReadable waits until something was received: Read calls its function a second time then.
func waitUntilReadable(raw syscall.RawConn) error {
	calls := 0
	return raw.Read(func(uintptr) bool {
		calls++
		return calls > 1
	})
}

// watchByPoller watches the connections by a poller.
func watchByPoller(ctx context.Context, conns []net.Conn, received chan<- int) (func(), error) {
	watcher, err := poller.New()
	if err != nil {
		return nil, err
	}
	for i, conn := range conns {
		if err := watcher.Watch(conn, uint64(i)); err != nil {
			return nil, err
		}
	}
	go forEachEvent(ctx, watcher, func(key uint64) { received <- int(key) })
	return func() { closeQuietly(conns...) }, nil
}

// suspendToDescriptors suspends the connections, so that a poller has their descriptors and nothing else is left
// of them.
func suspendToDescriptors(ctx context.Context, conns []net.Conn, received chan<- int) (func(), error) {
	watcher, err := poller.New()
	if err != nil {
		return nil, err
	}
	kept := &suspended{watcher: watcher, descriptors: make([]int32, len(conns))}
	for i, conn := range conns {
		descriptor, err := watcher.Suspend(conn, uint64(i))
		if err != nil {
			return nil, err
		}
		kept.descriptors[i], conns[i] = int32(descriptor), nil
	}
	go forEachEvent(ctx, watcher, func(key uint64) {
		if kept.resume(key) {
			received <- int(key)
		}
	})
	return kept.closeAll, nil
}

// resumedDescriptor stands in place of a descriptor whose connection was resumed.
const resumedDescriptor = -1

// suspended holds suspended connections, and those that were resumed.
type suspended struct {
	watcher *poller.Poller

	mu          sync.Mutex
	descriptors []int32    // guarded by mu; by key
	resumed     []net.Conn // guarded by mu
}

// resume makes a descriptor a connection again.
func (s *suspended) resume(key uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	conn, err := s.watcher.Resume(int(s.descriptors[key]))
	if err != nil {
		return false
	}
	s.descriptors[key] = resumedDescriptor
	s.resumed = append(s.resumed, conn)
	return true
}

func (s *suspended) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, descriptor := range s.descriptors {
		if descriptor != resumedDescriptor {
			s.watcher.CloseDescriptor(int(descriptor))
		}
	}
	closeQuietly(s.resumed...)
}

// forEachEvent calls a function with the key of each connection on which something was received, until the
// context ends.
func forEachEvent(ctx context.Context, watcher *poller.Poller, do func(key uint64)) {
	for keys, err := watcher.Wait(ctx, nil); err == nil; keys, err = watcher.Wait(ctx, keys) {
		for _, key := range keys {
			do(key)
		}
	}
}

// closeQuietly closes what nothing more is wanted of: a Close that fails loses nothing.
func closeQuietly[C io.Closer](closers ...C) {
	for _, closer := range closers {
		_ = closer.Close()
	}
}
