//go:build !linux

// Package poller holds idle connections as bare descriptors where the system has epoll; here it has not.
package poller

import (
	"context"
	"errors"
	"net"
)

// Poller is a set of parked connections.
type Poller struct{}

// New says that there is none.
func New() (*Poller, error) { return nil, errors.ErrUnsupported }

// Suspend is not to be had.
func (*Poller) Suspend(net.Conn, uint64) (int, error) { return 0, errors.ErrUnsupported }

// Watch is not to be had.
func (*Poller) Watch(net.Conn, uint64) error { return errors.ErrUnsupported }

// Wait is not to be had.
func (*Poller) Wait(context.Context, []uint64) ([]uint64, error) { return nil, errors.ErrUnsupported }

// HasEvents is never so.
func (*Poller) HasEvents() bool { return false }

// Resume is not to be had.
func (*Poller) Resume(int) (net.Conn, error) { return nil, errors.ErrUnsupported }

// Remove is not to be had.
func (*Poller) Remove(int) {}

// CloseDescriptor is not to be had.
func (*Poller) CloseDescriptor(int) {}

// SystemCalls is nothing here.
type SystemCalls struct{}

// Kernel is nothing here.
var Kernel = &SystemCalls{}

// NewWithSystemCalls says that there is none.
func NewWithSystemCalls(*SystemCalls) (*Poller, error) { return nil, errors.ErrUnsupported }

// Discard is not to be had.
func (*SystemCalls) Discard(int) bool { return true }

// Readable is not to be had.
func (*SystemCalls) Readable(int) bool { return false }

// Peek is not to be had.
func (*SystemCalls) Peek(int) PeekResult { return NoData }

// PeerClosed is told of by the system's own calls only.
func (*SystemCalls) PeerClosed(int) bool { return false }

// CloseWrite is not to be had.
func CloseWrite(int) {}
