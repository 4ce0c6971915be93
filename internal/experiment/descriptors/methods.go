package descriptors

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"

	"tealpath/internal/downstream/poller"
)

// waitInGoroutines starts a goroutine for each connection, which waits for data without holding a buffer.
func waitInGoroutines(_ context.Context, conns []net.Conn, received chan<- int) (func(), error) {
	for i, conn := range conns {
		socket, ok := conn.(syscall.Conn)
		if !ok {
			return nil, fmt.Errorf("connection of type %T has no descriptor: %w", conn, errors.ErrUnsupported)
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

// waitUntilReadable waits until something is received. raw.Read calls the function that it is given at once, and again
// when the connection is readable.
func waitUntilReadable(raw syscall.RawConn) error {
	calls := 0
	return raw.Read(func(uintptr) bool {
		calls++
		return calls > 1
	})
}

// watchByPoller has a poller watch the connections, which stay net.Conns.
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

// suspendToDescriptors suspends the connections, so that only their descriptors remain, which a poller watches.
func suspendToDescriptors(ctx context.Context, conns []net.Conn, received chan<- int) (func(), error) {
	watcher, err := poller.New()
	if err != nil {
		return nil, err
	}
	store := &suspendedConns{watcher: watcher, descriptors: make([]int32, len(conns))}
	for i, conn := range conns {
		descriptor, err := watcher.Suspend(conn, uint64(i))
		if err != nil {
			return nil, err
		}
		store.descriptors[i], conns[i] = int32(descriptor), nil
	}
	go forEachEvent(ctx, watcher, func(key uint64) {
		if store.resume(key) {
			received <- int(key)
		}
	})
	return store.closeAll, nil
}

// resumedDescriptor replaces the descriptor of a connection that has been resumed.
const resumedDescriptor = -1

// suspendedConns holds the suspended connections and those that have been resumed.
type suspendedConns struct {
	watcher *poller.Poller

	mu          sync.Mutex
	descriptors []int32    // guarded by mu; by key: a connection's descriptor, or resumedDescriptor
	resumed     []net.Conn // guarded by mu; connections resumed so far
}

// resume turns the suspended connection with a key back into a net.Conn, and reports whether that succeeded.
func (s *suspendedConns) resume(key uint64) bool {
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

func (s *suspendedConns) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, descriptor := range s.descriptors {
		if descriptor != resumedDescriptor {
			s.watcher.CloseDescriptor(int(descriptor))
		}
	}
	closeQuietly(s.resumed...)
}

// forEachEvent calls do with the key of each connection on which something was received, until the context ends or
// the poller fails.
func forEachEvent(ctx context.Context, watcher *poller.Poller, do func(key uint64)) {
	for keys, err := watcher.Wait(ctx, nil); err == nil; keys, err = watcher.Wait(ctx, keys) {
		for _, key := range keys {
			do(key)
		}
	}
}

// closeQuietly closes closers and ignores errors, since a failed Close loses nothing that the comparison needs.
func closeQuietly[C io.Closer](closers ...C) {
	for _, closer := range closers {
		_ = closer.Close()
	}
}
