// Package poller holds idle connections as bare descriptors, without a goroutine, a buffer or a net.Conn. A
// separate epoll set reports which of them have received data, and such a connection is then turned back into
// a net.Conn.
//
// The package works on Linux only. On other systems New returns errors.ErrUnsupported, and connections are
// never suspended.
package poller

import (
	"errors"
	"fmt"
	"syscall"
)

var (
	// ErrNoDescriptor is returned for a connection that is not backed by a socket, such as a net.Pipe.
	ErrNoDescriptor = errors.New("connection has no descriptor")

	// ErrInvalidDescriptor is returned by Resume for a number that cannot be a descriptor, such as a negative one.
	ErrInvalidDescriptor = errors.New("invalid descriptor")
)

// PeekResult says what a read from a descriptor would find, without reading.
type PeekResult int

const (
	// NoData means that no unread data is waiting.
	NoData PeekResult = iota

	// Data means that unread data is waiting.
	Data

	// EndOfStream means that the peer has closed its sending side or that the connection has failed.
	EndOfStream

	// Undetermined means that the kernel could not tell. Unread data may be waiting.
	Undetermined
)

// Control calls f with the descriptor of a connection, a listener or a file, which stays open during the call. It
// returns an error without calling f if there is no descriptor or it is closed.
func Control(socket any, f func(fd uintptr)) error {
	withDescriptor, ok := socket.(syscall.Conn)
	if !ok {
		return fmt.Errorf("%w: %T", ErrNoDescriptor, socket)
	}
	raw, err := withDescriptor.SyscallConn()
	if err != nil {
		return err
	}
	return raw.Control(f)
}
