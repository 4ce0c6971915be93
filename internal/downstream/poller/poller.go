// Package poller holds idle connections as bare descriptors: without a goroutine, a buffer or a net.Conn. An
// epoll set of its own says on which of them something has been received; such a connection is then made a
// net.Conn again.
//
// It works on Linux. Elsewhere New returns errors.ErrUnsupported, and connections stay as they are.
package poller

import (
	"errors"
	"syscall"
)

var (
	// ErrNoDescriptor is the error for a connection that is not a socket.
	ErrNoDescriptor = errors.New("connection has no descriptor")

	// ErrInvalidDescriptor is the error for a number that cannot be a descriptor.
	ErrInvalidDescriptor = errors.New("invalid descriptor")
)

// PeekResult says what reading from a descriptor would give.
type PeekResult int

const (
	// NoData means that nothing has been received.
	NoData PeekResult = iota

	// Data means that there is something to read.
	Data

	// EndOfStream means that the peer has closed, or that the connection has failed.
	EndOfStream

	// Undetermined means that the kernel could not say. There may be something to read.
	Undetermined
)

// Control calls use with the descriptor of a connection, a listener or a file, which stays open during the
// call.
func Control(socket any, use func(fd uintptr)) error {
	withDescriptor, ok := socket.(syscall.Conn)
	if !ok {
		return ErrNoDescriptor
	}
	raw, err := withDescriptor.SyscallConn()
	if err != nil {
		return err
	}
	return raw.Control(use)
}
