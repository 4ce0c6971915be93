//go:build !linux

package poller

import (
	"context"
	"errors"
	"net"
)

// MaxEvents exists only so that callers compile: Wait returns no keys on this system.
const MaxEvents = 1

// Poller cannot be created on this system. Its methods exist only so that callers compile.
type Poller struct{}

// New returns errors.ErrUnsupported: connections cannot be suspended on this system.
func New() (*Poller, error) { return nil, errors.ErrUnsupported }

// NewWithSystemCalls returns errors.ErrUnsupported, as New does.
func NewWithSystemCalls(*SystemCalls) (*Poller, error) { return nil, errors.ErrUnsupported }

// Suspend returns errors.ErrUnsupported.
func (*Poller) Suspend(net.Conn, uint64) (int, error) { return 0, errors.ErrUnsupported }

// Watch returns errors.ErrUnsupported.
func (*Poller) Watch(net.Conn, uint64) error { return errors.ErrUnsupported }

// Wait returns errors.ErrUnsupported.
func (*Poller) Wait(context.Context, []uint64) ([]uint64, error) { return nil, errors.ErrUnsupported }

// HasEvents returns false.
func (*Poller) HasEvents() bool { return false }

// Pending always returns false.
func (*Poller) Pending() bool { return false }

// Resume returns errors.ErrUnsupported.
func (*Poller) Resume(int) (net.Conn, error) { return nil, errors.ErrUnsupported }

// Remove does nothing.
func (*Poller) Remove(int) {}

// CloseDescriptor does nothing.
func (*Poller) CloseDescriptor(int) {}

// SystemCalls is empty, because connections cannot be suspended on this system.
type SystemCalls struct{}

// Kernel holds no system calls on this system.
var Kernel = &SystemCalls{}

// Peek returns NoData: only a read detects data or the end of the stream.
func (*SystemCalls) Peek(int) PeekResult { return NoData }

// Discard returns true, so that the connection is closed at once.
func (*SystemCalls) Discard(int) bool { return true }

// Readable returns false: it is not known whether data or a connection waits.
func (*SystemCalls) Readable(int) bool { return false }

// PeerClosed returns false: only a read detects that the peer has closed.
func (*SystemCalls) PeerClosed(int) bool { return false }

// CloseWrite does nothing.
func CloseWrite(int) {}
