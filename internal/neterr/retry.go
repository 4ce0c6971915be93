package neterr

import (
	"errors"
	"io"
	"net"
	"syscall"
	"time"
)

// Pauses between two tries of a read or write that met a transient error; they double from the first to the last.
const (
	pauseLeast = time.Millisecond
	pauseMost  = 50 * time.Millisecond
)

// Reader reads on after transient errors. Whoever wants it to end sets a deadline on what it reads from, or closes it.
type Reader struct{ From io.Reader }

// Read implements io.Reader.
func (r Reader) Read(p []byte) (int, error) {
	for pause := pauseLeast; ; pause = min(2*pause, pauseMost) {
		n, err := r.From.Read(p)
		if n > 0 || !IsTransient(err) {
			return n, err
		}
		time.Sleep(pause)
	}
}

// Write writes all of p, and goes on after transient errors with what is not written yet.
func Write(to io.Writer, p []byte) (written int, err error) {
	err = Retry(func() error {
		n, err := to.Write(p[written:])
		written += n
		return err
	})
	return written, err
}

// Retry calls a function until it succeeds or fails for good.
func Retry(try func() error) error {
	for pause := pauseLeast; ; pause = min(2*pause, pauseMost) {
		err := try()
		if !IsTransient(err) {
			return err
		}
		time.Sleep(pause)
	}
}

// Conn is a connection whose reads and writes go on after transient errors.
type Conn struct{ net.Conn }

// Read implements io.Reader.
func (c Conn) Read(p []byte) (int, error) { return Reader{From: c.Conn}.Read(p) }

// Write implements io.Writer.
func (c Conn) Write(p []byte) (int, error) { return Write(c.Conn, p) }

// SyscallConn implements syscall.Conn, where the connection does.
func (c Conn) SyscallConn() (syscall.RawConn, error) {
	if inner, ok := c.Conn.(syscall.Conn); ok {
		return inner.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}
