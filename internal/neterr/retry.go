package neterr

import (
	"errors"
	"io"
	"net"
	"syscall"
	"time"
)

// Delays before a failed operation is retried after a transient error. The delay doubles with each retry in a row,
// from the minimum to the maximum.
const (
	minRetryDelay = time.Millisecond
	maxRetryDelay = 50 * time.Millisecond
)

// Reader reads from From and retries after transient errors. To interrupt its Read, close From or set a read deadline
// on it.
type Reader struct{ From io.Reader }

// Read implements io.Reader.
func (r Reader) Read(p []byte) (int, error) {
	for delay := minRetryDelay; ; delay = min(2*delay, maxRetryDelay) {
		n, err := r.From.Read(p)
		if n > 0 || !IsTransient(err) {
			return n, err
		}
		time.Sleep(delay)
	}
}

// Write writes all of p. After a transient error it continues with the bytes that are not written yet; after any other
// error it returns the number of bytes written until then.
func Write(to io.Writer, p []byte) (written int, err error) {
	err = Retry(func() error {
		n, err := to.Write(p[written:])
		written += n
		return err
	})
	return written, err
}

// Retry calls operation until it succeeds or fails with an error that is not transient, and returns nil or that error.
// Between calls it waits, from minRetryDelay up to maxRetryDelay.
func Retry(operation func() error) error {
	for delay := minRetryDelay; ; delay = min(2*delay, maxRetryDelay) {
		err := operation()
		if !IsTransient(err) {
			return err
		}
		time.Sleep(delay)
	}
}

// Conn is a connection whose reads and writes are retried after transient errors.
type Conn struct{ net.Conn }

// Read implements io.Reader.
func (c Conn) Read(p []byte) (int, error) { return Reader{From: c.Conn}.Read(p) }

// Write implements io.Writer.
func (c Conn) Write(p []byte) (int, error) { return Write(c.Conn, p) }

// SyscallConn implements syscall.Conn. It returns errors.ErrUnsupported if the wrapped connection does not implement
// it.
func (c Conn) SyscallConn() (syscall.RawConn, error) {
	if inner, ok := c.Conn.(syscall.Conn); ok {
		return inner.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}
