//go:build !linux

// Package poller holds idle connections as bare descriptors where the system has epoll; here it has not.
package poller

import (
	"context"
	"errors"
	"net"
)

// Lot is a set of parked connections.
type Lot struct{}

// New says that there is none.
func New() (*Lot, error) { return nil, errors.ErrUnsupported }

// Park is not to be had.
func (*Lot) Park(net.Conn, uint64) (int, error) { return 0, errors.ErrUnsupported }

// Watch is not to be had.
func (*Lot) Watch(net.Conn, uint64) error { return errors.ErrUnsupported }

// Wait is not to be had.
func (*Lot) Wait(context.Context, []uint64) ([]uint64, error) { return nil, errors.ErrUnsupported }

// Ready is never so.
func (*Lot) Ready() bool { return false }

// Resume is not to be had.
func (*Lot) Resume(int) (net.Conn, error) { return nil, errors.ErrUnsupported }

// Forget is not to be had.
func (*Lot) Forget(int) {}

// Close is not to be had.
func (*Lot) Close(int) {}

// Calls is nothing here.
type Calls struct{}

// Kernel is nothing here.
var Kernel = &Calls{}

// NewOn says that there is none.
func NewOn(*Calls) (*Lot, error) { return nil, errors.ErrUnsupported }

// Drain is not to be had.
func (*Calls) Drain(int) bool { return true }

// Readable is not to be had.
func (*Calls) Readable(int) bool { return false }

// Came is not to be had.
func (*Calls) Came(int) Content { return Nothing }

// HungUp is told of by the system's own calls only.
func (*Calls) HungUp(int) bool { return false }

// Shut is not to be had.
func Shut(int) {}
